//! Whether the clients of an object are in one region.

use std::collections::{HashSet, VecDeque};

/// For how long an object counts as requested here, at least.
const GENERATION_MS: u64 = 10_000;
/// Objects that are kept for each such time: some hundred kilobytes at the most.
const MAX_OBJECTS_PER_GENERATION: usize = 8_192;
/// Objects that are told to the others at a time.
const SAMPLE_SIZE: usize = 4;
/// How often what was heard is judged.
const EVALUATION_INTERVAL_MS: u64 = 5_000;
/// Objects that must have been heard of for a judgement.
const MIN_REMOTE_SAMPLES: u32 = 32;

/// Finds out whether objects are requested in one region each or in several.
///
/// The failure: a region that prefers its own servers for objects that other regions
/// request as well makes each object known to a server in every region. Servers see
/// more objects than they remember, and an overload outlasts its cause. Instances
/// tell each other some of the objects that they got requests for; where another
/// region often requests the same ones, the preference ends.
///
/// It begins as if objects were regional, so that a restart of all instances moves
/// nothing.
#[derive(Clone, Debug, Default)]
pub(super) struct SharedObjectDetector {
    current: HashSet<u32>,
    previous: HashSet<u32>,
    generation_started_at_ms: u64,
    sample: VecDeque<u32>,
    remote_samples: u32,
    remote_matches: u32,
    evaluated_at_ms: u64,
    is_shared: bool,
}

impl SharedObjectDetector {
    /// Takes in that a client requested `object` here.
    pub(super) fn record_local(&mut self, object: u32, now_ms: u64) {
        if now_ms >= self.generation_started_at_ms + GENERATION_MS {
            self.previous = std::mem::take(&mut self.current);
            self.generation_started_at_ms = now_ms;
        }
        if self.current.len() < MAX_OBJECTS_PER_GENERATION {
            self.current.insert(object);
        }
        self.sample.push_back(object);
        if self.sample.len() > SAMPLE_SIZE {
            self.sample.pop_front();
        }
    }

    /// Objects to tell the other instances; each is told once.
    pub(super) fn take_sample(&mut self) -> Vec<u32> {
        self.sample.drain(..).collect()
    }

    /// Takes in what an instance of another region got requests for; returns whether
    /// the judgement has changed.
    pub(super) fn record_remote(&mut self, objects: &[u32], now_ms: u64) -> bool {
        for object in objects {
            let is_local = self.current.contains(object) || self.previous.contains(object);
            self.remote_samples += 1;
            self.remote_matches += u32::from(is_local);
        }
        if now_ms < self.evaluated_at_ms + EVALUATION_INTERVAL_MS
            || self.remote_samples < MIN_REMOTE_SAMPLES
        {
            return false;
        }
        let was_shared = self.is_shared;
        // Between a quarter and a half it stays as it was: clients that move from one
        // region to another request the same objects in both for a while.
        self.is_shared = match was_shared {
            true => self.remote_matches * 4 > self.remote_samples,
            false => self.remote_matches * 2 > self.remote_samples,
        };
        (self.remote_samples, self.remote_matches, self.evaluated_at_ms) = (0, 0, now_ms);
        self.is_shared != was_shared
    }

    /// Whether other regions request the same objects.
    pub(super) fn is_shared(&self) -> bool {
        self.is_shared
    }
}
