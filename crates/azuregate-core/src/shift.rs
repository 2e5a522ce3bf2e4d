/*!
The progress of traffic shifts, and the limit on what one instance moves.

The progress of a shift is a function of its row and the time alone, so an
instance that starts during a shift agrees with the others. [`MovementLimiter`]
bounds what one instance moves, even if rows arrive late, clocks jump or backend
servers fail.
*/

use std::collections::VecDeque;

use crate::{
    policy::{Cap, Shares, Shift, WHOLE_PPM},
    time::Millis,
};

/// The fraction of its cap that a shift uses, in parts per million.
///
/// The rest allows for clock differences between instances of up to 1/60 of the
/// window, and for overflowing requests.
pub const RAMP_CAP_USE_PPM: u64 = 920_000;

/// Number of buckets per window. Counts cover the window plus one bucket and one
/// gap between requests, so with few buckets the ramp itself would reach the cap.
const BUCKETS: u64 = 64;

impl Shift {
    /// Returns the share of traffic that the whole shift moves, in parts per
    /// million.
    ///
    /// The shares of proximity routing differ between instances, so a shift from
    /// or to it is assumed to move all traffic.
    pub fn distance_ppm(&self) -> u64 {
        let (from, to) = (&self.from_share_ppm, &self.to_share_ppm);
        if from.is_empty() || to.is_empty() {
            return u64::from(WHOLE_PPM);
        }
        let gained = to.iter().map(|(zone, &ppm)| ppm.saturating_sub(share(from, zone)));
        gained.map(u64::from).sum()
    }

    /// Returns the end time, in milliseconds since the Unix epoch.
    pub fn end_at_ms(&self) -> Millis {
        let span = u128::from(self.distance_ppm()) * u128::from(self.cap.window_ms);
        let rate = u128::from(self.cap.share_ppm) * u128::from(RAMP_CAP_USE_PPM);
        let span_ms = (span * u128::from(WHOLE_PPM)).div_ceil(rate.max(1));
        self.start_at_ms + Millis(u64::try_from(span_ms).unwrap_or(u64::MAX))
    }

    /// Returns the progress at `epoch_ms`, in parts per million.
    pub fn progress_ppm(&self, epoch_ms: Millis) -> u32 {
        let whole_ms = self.end_at_ms().since(self.start_at_ms).0.max(1);
        let done_ms = epoch_ms.since(self.start_at_ms).0.min(whole_ms);
        let progress = u128::from(done_ms) * u128::from(WHOLE_PPM) / u128::from(whole_ms);
        u32::try_from(progress).unwrap_or(WHOLE_PPM)
    }

    /// Returns the shares at `epoch_ms`, or `None` for a shift from or to
    /// proximity routing.
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
        // Each zone is rounded on its own; the largest absorbs the difference.
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

/// A sliding-window limit on the share of traffic that one instance moves.
///
/// Clock jumps, late rows and failed backend servers change the target shares at
/// once. The shares follow no faster than the cap allows: the movements of the last
/// window never add up to more. The deployment as a whole is the traffic-weighted
/// mean of its instances, so it keeps the cap if each instance does.
#[derive(Clone, Debug, Default)]
pub struct MovementLimiter {
    buckets: VecDeque<Bucket>,
    last_request_at_ms: Millis,
    previous_request_at_ms: Millis,
}

/// Movements in one bucket of the window.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Time of the last request that saw the shares before these movements.
    started_at_ms: Millis,
    share: f64,
}

impl MovementLimiter {
    /// Starts counting at `now_ms` of monotonic time.
    pub fn start(&mut self, now_ms: Millis) {
        self.last_request_at_ms = now_ms;
    }

    /// Returns the share moved in the last window, as of the last call of
    /// [`MovementLimiter::budget`].
    pub fn used(&self) -> f64 {
        self.buckets.iter().map(|bucket| bucket.share).sum()
    }

    /// Returns the share that may move at `now_ms` of monotonic time, as a fraction
    /// of all traffic; after idle time it may exceed 1.
    ///
    /// An instance without requests for more than a window receives the budget of
    /// the whole idle time, in which none of its requests could see a movement.
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

    /// Records that `share` of the last budget was moved.
    pub fn spend(&mut self, cap: Cap, share: f64) {
        // Movement between two requests counts from the first of them, the last
        // request to see the previous shares.
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
