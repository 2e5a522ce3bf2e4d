/*!
How far a shift has come, and what bounds the movement of one instance.

The position of a shift follows from its row and the time alone, so an instance
that starts in the middle starts where the others are. [`MovementLimiter`] bounds what
one instance moves, whatever becomes of rows, clocks and backend servers.
*/

use std::collections::VecDeque;

use crate::{
    policy::{Cap, Shares, Shift, WHOLE_PPM},
    time::Millis,
};

/// What a shift uses of its cap, in parts per million.
///
/// The rest is room for the difference between the instances' clocks, up to one
/// sixtieth of the window, and for requests that overflow.
pub const RAMP_CAP_USE_PPM: u64 = 920_000;

/// How many parts a window is counted in. What is counted reaches back over one
/// part and one gap between requests more than the window; with few parts the
/// ramp itself would meet the bound.
const BUCKETS: u64 = 64;

impl Shift {
    /// The share of traffic that the whole shift moves, in parts per million.
    ///
    /// What nearness gives differs between instances, so a shift from or to it
    /// is taken to move everything.
    pub fn distance_ppm(&self) -> u64 {
        let (from, to) = (&self.from_share_ppm, &self.to_share_ppm);
        if from.is_empty() || to.is_empty() {
            return u64::from(WHOLE_PPM);
        }
        let gained = to.iter().map(|(zone, &ppm)| ppm.saturating_sub(share(from, zone)));
        gained.map(u64::from).sum()
    }

    /// When it ends, in milliseconds since the Unix epoch.
    pub fn end_at_ms(&self) -> Millis {
        let span = u128::from(self.distance_ppm()) * u128::from(self.cap.window_ms);
        let rate = u128::from(self.cap.share_ppm) * u128::from(RAMP_CAP_USE_PPM);
        let span_ms = (span * u128::from(WHOLE_PPM)).div_ceil(rate.max(1));
        self.start_at_ms + Millis(u64::try_from(span_ms).unwrap_or(u64::MAX))
    }

    /// How much of its way it has come at `epoch_ms`, in parts per million.
    pub fn progress_ppm(&self, epoch_ms: Millis) -> u32 {
        let whole_ms = self.end_at_ms().since(self.start_at_ms).0.max(1);
        let done_ms = epoch_ms.since(self.start_at_ms).0.min(whole_ms);
        let progress = u128::from(done_ms) * u128::from(WHOLE_PPM) / u128::from(whole_ms);
        u32::try_from(progress).unwrap_or(WHOLE_PPM)
    }

    /// The shares at `epoch_ms`, or `None` when one end is nearness.
    pub fn shares_at(&self, epoch_ms: Millis) -> Option<Shares> {
        let (from, to) = (&self.from_share_ppm, &self.to_share_ppm);
        if from.is_empty() || to.is_empty() {
            return None;
        }
        let progress = i64::from(self.progress_ppm(epoch_ms));
        let blend = |a: u32, b: u32| {
            let moved = (i64::from(b) - i64::from(a)) * progress / i64::from(WHOLE_PPM);
            u32::try_from(i64::from(a) + moved).unwrap_or(0)
        };
        let zones = from.keys().chain(to.keys());
        let mut shares: Shares =
            zones.map(|zone| (zone.clone(), blend(share(from, zone), share(to, zone)))).collect();
        // Each zone is rounded by itself; the largest takes what is left over.
        let sum: i64 = shares.values().map(|&ppm| i64::from(ppm)).sum();
        if let Some(largest) = shares.values_mut().max() {
            let whole = i64::from(*largest) + i64::from(WHOLE_PPM) - sum;
            *largest = u32::try_from(whole).unwrap_or(0);
        }
        shares.retain(|_, ppm| *ppm > 0);
        Some(shares)
    }
}

fn share(shares: &Shares, zone: &crate::names::ZoneName) -> u32 {
    shares.get(zone).copied().unwrap_or(0)
}

/// Bounds what one instance moves in any window.
///
/// Clocks that jump, rows that arrive late and backend servers that die all move
/// the place where an instance ought to be. It goes there no faster than the cap
/// allows: the movements of the last window are added up and never exceed it.
/// If each instance keeps this bound, so does the whole, which is the mean of
/// its instances weighted by their traffic.
#[derive(Clone, Debug, Default)]
pub struct MovementLimiter {
    buckets: VecDeque<Bucket>,
    last_request_at_ms: Millis,
    previous_request_at_ms: Millis,
}

/// Movements of one part of a window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// When a request last saw the shares from before the first of them.
    started_at_ms: Millis,
    share: f64,
}

impl MovementLimiter {
    /// Starts to count at `now_ms` of monotonic time.
    pub fn start(&mut self, now_ms: Millis) {
        self.last_request_at_ms = now_ms;
    }

    /// What the last window has seen moved, as of the last budget.
    pub fn used(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.share).sum()
    }

    /// What may move at `now_ms` of monotonic time, as a share of the whole.
    ///
    /// An instance that had nothing to do for more than a window gets what it
    /// might have used meanwhile: no request of its own fell into that time.
    pub fn budget(&mut self, cap: Cap, now_ms: Millis) -> f64 {
        let cap_share = f64::from(cap.share_ppm) / f64::from(WHOLE_PPM);
        self.previous_request_at_ms = std::mem::replace(&mut self.last_request_at_ms, now_ms);
        let idle_ms = now_ms.since(self.previous_request_at_ms).0;
        if idle_ms > cap.window_ms {
            self.buckets.clear();
            return cap_share * idle_ms as f64 / cap.window_ms as f64;
        }
        let oldest_ms = cap.window_ms + bucket_ms(cap);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| now_ms.since(bucket.started_at_ms).0 >= oldest_ms)
        {
            self.buckets.pop_front();
        }
        (cap_share - self.used()).max(0.0)
    }

    /// Notes that `share` was moved out of the last budget.
    pub fn spend(&mut self, cap: Cap, share: f64) {
        // What moves between two requests counts from the first of them: it was
        // the last to see the shares from before.
        let started_at_ms = self.previous_request_at_ms;
        if self.last_request_at_ms.since(started_at_ms).0 > cap.window_ms {
            return;
        }
        match self.buckets.back_mut() {
            Some(last) if started_at_ms.since(last.started_at_ms).0 < bucket_ms(cap) => {
                last.share += share
            }
            _ => self.buckets.push_back(Bucket { started_at_ms, share }),
        }
    }
}

fn bucket_ms(cap: Cap) -> u64 {
    cap.window_ms.div_ceil(BUCKETS)
}
