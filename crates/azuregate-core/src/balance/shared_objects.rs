//! Detects whether several regions request the same objects.

use std::collections::{HashSet, VecDeque};

/// Duration of one generation of recorded objects; the current and the previous one are kept.
const GENERATION_MS: u64 = 10_000;
/// Bounds the memory of a generation to some hundred kilobytes.
const MAX_OBJECTS_PER_GENERATION: usize = 8_192;
/// Objects sent to the other instances at a time.
const SAMPLE_SIZE: usize = 4;
const EVALUATION_INTERVAL_MS: u64 = 5_000;
/// Number of remote samples below which there is no evaluation.
const MIN_REMOTE_SAMPLES: u32 = 32;

/// Compares samples of the objects requested in other regions with those requested here.
///
/// Each region prefers its own servers while its objects are not requested elsewhere. If they
/// are, the preference would cache every object once per region, and the caches would
/// overflow.
///
/// Objects count as regional until there are samples, so that a restart of all instances
/// moves none.
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
    /// Records that a client requested `object` from this instance.
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

    /// Takes the objects to send to the other instances.
    pub(super) fn take_sample(&mut self) -> Vec<u32> {
        self.sample.drain(..).collect()
    }

    /// Records objects requested in another region, and returns whether
    /// [`is_shared`](SharedObjectDetector::is_shared) has changed.
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
        // Hysteresis between a quarter and a half: clients that move to another region
        // request the same objects in both for a while.
        self.is_shared = match was_shared {
            true => self.remote_matches * 4 > self.remote_samples,
            false => self.remote_matches * 2 > self.remote_samples,
        };
        (self.remote_samples, self.remote_matches, self.evaluated_at_ms) = (0, 0, now_ms);
        self.is_shared != was_shared
    }

    /// Returns whether other regions request the same objects.
    pub(super) fn is_shared(&self) -> bool {
        self.is_shared
    }
}
