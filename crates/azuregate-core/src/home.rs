//! Idempotency keys that belong to one start of one instance.
//!
//! The caller names the home of a key in `Azuregate-Home`, as `/v1/entries` gave
//! it, and names the same one again in each repeat. Only that start may run the
//! request, from memory, with no write to the platform. When it is gone, nobody
//! may.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
    str::FromStr,
};

use crate::{
    claim::{self, Decision, Settled},
    error::ErrorKind,
    names::{InstanceId, StartNumber},
    time::Millis,
};

/// The home of an idempotency key, as `entry-1.1733184000123.1733184060000`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HomeToken {
    /// The instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// When the token was given out, in milliseconds since the Unix epoch.
    pub issued_at_ms: Millis,
}

impl fmt::Display for HomeToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.instance, self.start, self.issued_at_ms.0)
    }
}

/// A text that names no home.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseHomeTokenError;

impl FromStr for HomeToken {
    type Err = ParseHomeTokenError;

    fn from_str(text: &str) -> Result<HomeToken, ParseHomeTokenError> {
        // From the right, since the name of an instance may hold dots.
        let (rest, issued) = text.rsplit_once('.').ok_or(ParseHomeTokenError)?;
        let (instance, start) = rest.rsplit_once('.').ok_or(ParseHomeTokenError)?;
        if instance.is_empty() {
            return Err(ParseHomeTokenError);
        }
        Ok(HomeToken {
            instance: InstanceId::new(instance),
            start: StartNumber(start.parse().map_err(|_| ParseHomeTokenError)?),
            issued_at_ms: Millis(issued.parse().map_err(|_| ParseHomeTokenError)?),
        })
    }
}

/// How much a home remembers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// How long a token may be used after it was given out.
    pub validity_ms: u64,
    /// How far the clock of the instance that gave it out may be ahead.
    pub skew_ms: u64,
    /// How many keys are remembered at the most.
    pub max_keys: usize,
    /// How much all kept answers may take together, in bytes.
    pub max_answer_bytes: usize,
}

impl Config {
    /// How long a key is remembered.
    ///
    /// A key is first seen no earlier than its token was given out, less the
    /// skew. So a key that is forgotten after validity and twice the skew can
    /// only come back with a token that has expired, and is refused.
    fn retention_ms(&self) -> u64 {
        self.validity_ms + 2 * self.skew_ms
    }
}

impl Default for Config {
    fn default() -> Config {
        Config {
            validity_ms: 600_000,
            skew_ms: 60_000,
            max_keys: 100_000,
            max_answer_bytes: 32 << 20,
        }
    }
}

/// The keys that one start of an instance is the home of.
#[derive(Debug)]
pub struct HomeTable {
    config: Config,
    keys: HashMap<String, Entry>,
    /// Keys in the order in which they were first seen.
    expiry_queue: VecDeque<(Millis, String, u64)>,
    /// Keys in the order in which their answers came.
    answer_queue: VecDeque<(String, u64)>,
    answer_bytes: usize,
    next_sequence: u64,
}

#[derive(Debug)]
struct Entry {
    sequence: u64,
    fingerprint: u64,
    settled: Option<Settled>,
}

impl HomeTable {
    /// A home that has seen no key.
    pub fn new(config: Config) -> HomeTable {
        HomeTable {
            config,
            keys: HashMap::new(),
            expiry_queue: VecDeque::new(),
            answer_queue: VecDeque::new(),
            answer_bytes: 0,
            next_sequence: 0,
        }
    }

    /// Decides for a request; with [`Decision::Run`] comes the number that names
    /// this claim.
    ///
    /// `now_ms` never goes back, and agrees with the Unix epoch but for the skew.
    pub fn claim(
        &mut self,
        key: &str,
        fingerprint: u64,
        issued_at_ms: Millis,
        now_ms: Millis,
    ) -> (Decision, u64) {
        self.evict_expired(now_ms);
        if let Some(entry) = self.keys.get(key) {
            let same = entry.fingerprint == fingerprint;
            let settled = entry.settled.as_ref();
            let decision = claim::decide_settled(same, settled, ErrorKind::ClaimInProgress);
            return (decision, entry.sequence);
        }
        // The failure: a key that was forgotten comes back, and runs again. A
        // token too old, or from a clock too far ahead, could be of such a key.
        let ahead = issued_at_ms > now_ms + Millis(self.config.skew_ms);
        if ahead || now_ms.since(issued_at_ms).0 > self.config.validity_ms {
            return (Decision::Reject(ErrorKind::HomeExpired), 0);
        }
        if self.keys.len() >= self.config.max_keys {
            return (Decision::Reject(ErrorKind::ClaimsFull), 0);
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let entry = Entry { sequence, fingerprint, settled: None };
        self.keys.insert(key.to_owned(), entry);
        self.expiry_queue.push_back((now_ms, key.to_owned(), sequence));
        (Decision::Run, sequence)
    }

    /// Keeps how the request of a claim ended.
    pub fn settle(&mut self, key: &str, sequence: u64, settled: Settled) {
        let Some(entry) = self.keys.get_mut(key).filter(|entry| entry.sequence == sequence) else {
            return;
        };
        if let Settled::Answer(answer) = &settled {
            self.answer_bytes += answer.size_bytes();
            self.answer_queue.push_back((key.to_owned(), sequence));
        }
        entry.settled = Some(settled);
        self.evict_answers();
    }

    /// Gives up a claim whose request certainly did not run.
    pub fn release(&mut self, key: &str, sequence: u64) {
        if self.keys.get(key).is_some_and(|entry| entry.sequence == sequence) {
            self.keys.remove(key);
        }
    }

    /// When the oldest key will be forgotten, in milliseconds from `now_ms`: when a
    /// full home has room again.
    pub fn next_expiry_in_ms(&self, now_ms: Millis) -> u64 {
        let oldest = self.expiry_queue.front();
        oldest.map_or(0, |(seen_ms, ..)| {
            (*seen_ms + Millis(self.config.retention_ms())).since(now_ms).0
        })
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// What the kept answers take, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn evict_expired(&mut self, now_ms: Millis) {
        let retention_ms = self.config.retention_ms();
        while let Some((seen_ms, _, _)) = self.expiry_queue.front()
            && now_ms.since(*seen_ms).0 > retention_ms
        {
            let Some((_, key, sequence)) = self.expiry_queue.pop_front() else { return };
            if self.keys.get(&key).is_none_or(|entry| entry.sequence != sequence) {
                continue;
            }
            let Some(entry) = self.keys.remove(&key) else { continue };
            if let Some(Settled::Answer(answer)) = entry.settled {
                self.answer_bytes -= answer.size_bytes();
            }
        }
    }

    /// Drops the oldest answers while they take too much; their keys stay.
    fn evict_answers(&mut self) {
        while self.answer_bytes > self.config.max_answer_bytes {
            let Some((key, sequence)) = self.answer_queue.pop_front() else { return };
            let Some(entry) = self.keys.get_mut(&key) else { continue };
            if entry.sequence != sequence {
                continue;
            }
            if let Some(Settled::Answer(answer)) = entry.settled.replace(Settled::NotKept) {
                self.answer_bytes -= answer.size_bytes();
            }
        }
    }
}
