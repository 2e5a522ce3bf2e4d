//! Idempotency keys that are held in memory by one start of one instance.
//!
//! The caller names the home of a key in `Azuregate-Home`, as returned by
//! `/v1/entries`, and names the same home in each repeat. Only that start of the
//! instance may run the request, and it needs no write to the platform. Once it is
//! gone, the request is never run again.

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

/// The home of an idempotency key, written as `entry-1.1733184000123.1733184060000`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HomeToken {
    /// The instance.
    pub instance: InstanceId,
    /// Its start number.
    pub start: StartNumber,
    /// When the token was issued, in milliseconds since the Unix epoch.
    pub issued_at_ms: Millis,
}

impl fmt::Display for HomeToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.instance, self.start, self.issued_at_ms.0)
    }
}

/// The error of parsing a text that is not a home token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseHomeTokenError;

impl FromStr for HomeToken {
    type Err = ParseHomeTokenError;

    fn from_str(text: &str) -> Result<HomeToken, ParseHomeTokenError> {
        // Splits from the right, since the name of an instance may contain dots.
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

/// The limits of a home table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Config {
    /// How long a token is valid after it was issued.
    pub validity_ms: u64,
    /// How far the clock of the issuing instance may be ahead.
    pub skew_ms: u64,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size of all stored answers together, in bytes.
    pub max_answer_bytes: usize,
}

impl Config {
    /// Returns how long a key is kept.
    ///
    /// A key is first used no earlier than its token was issued, less the skew. After
    /// the validity and twice the skew, its token has expired and is rejected, so the
    /// key can be evicted without the risk that its request runs again.
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

/// The idempotency keys that are held by one start of an instance.
#[derive(Debug)]
pub struct HomeTable {
    config: Config,
    keys: HashMap<String, Entry>,
    /// Keys in the order of their first use.
    expiry_queue: VecDeque<(Millis, String, u64)>,
    /// Keys in the order in which their answers were stored.
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
    /// Creates an empty table.
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

    /// Decides about a request. The number identifies the claim if the decision is
    /// [`Decision::Run`].
    ///
    /// `now_ms` must not go back, and must agree with the Unix epoch within the skew.
    pub fn claim(
        &mut self,
        key: &str,
        fingerprint: u64,
        issued_at_ms: Millis,
        now_ms: Millis,
    ) -> (Decision, u64) {
        self.evict_expired(now_ms);
        if let Some(entry) = self.keys.get(key) {
            let is_same_request = entry.fingerprint == fingerprint;
            let settled = entry.settled.as_ref();
            let decision =
                claim::decide_settled(is_same_request, settled, ErrorKind::ClaimInProgress);
            return (decision, entry.sequence);
        }
        // An evicted key must not run again. A token that has expired, or was issued by
        // a clock too far ahead, could belong to such a key.
        let is_from_future = issued_at_ms > now_ms + Millis(self.config.skew_ms);
        if is_from_future || now_ms.since(issued_at_ms).0 > self.config.validity_ms {
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

    /// Records how the request of a claim ended.
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

    /// Releases a claim whose request certainly did not run.
    pub fn release(&mut self, key: &str, sequence: u64) {
        if self.keys.get(key).is_some_and(|entry| entry.sequence == sequence) {
            self.keys.remove(key);
        }
    }

    /// Returns the time until the oldest key expires, in milliseconds from `now_ms`:
    /// when a full table has room again.
    pub fn next_expiry_in_ms(&self, now_ms: Millis) -> u64 {
        let oldest = self.expiry_queue.front();
        oldest.map_or(0, |(first_used_at_ms, ..)| {
            (*first_used_at_ms + Millis(self.config.retention_ms())).since(now_ms).0
        })
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether the table holds no key.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the size of all stored answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn evict_expired(&mut self, now_ms: Millis) {
        let retention_ms = self.config.retention_ms();
        while let Some((first_used_at_ms, _, _)) = self.expiry_queue.front()
            && now_ms.since(*first_used_at_ms).0 > retention_ms
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

    /// Evicts the oldest answers while they exceed the limit; their keys are kept.
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
