//! Limits the retries that all instances send together.

use std::collections::{HashMap, VecDeque};

use super::{Members, share::Share};
use crate::names::ServiceName;

/// The share of the permitted ratio and burst that is used. Retries reach backend servers later
/// than they are counted, and instances learn of each other at different times.
const USED_SHARE: f64 = 0.85;
/// Tokens of requests within this fraction of the window can be saved up.
const CARRYOVER_DIVISOR: u64 = 8;

/// The retries that all instances together may send for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries in any window as a share of its requests.
    pub ratio: f64,
    /// The length of the window.
    pub window_ms: u64,
    /// Retries in any window beyond that share.
    pub burst: f64,
}

/// An instance's retry budgets for all services.
///
/// # Examples
///
/// ```
/// use azuregate_core::{balance::{RetryBudgets, RetryLimits}, names::ServiceName};
///
/// let limits = RetryLimits { ratio: 0.2, window_ms: 10_000, burst: 0.0 };
/// let mut budgets = RetryBudgets::new(limits);
/// let service = ServiceName::new("shop");
/// assert!(!budgets.try_acquire(&service, 0));
/// for now_ms in 0..10 {
///     budgets.record_request(&service, now_ms);
/// }
/// assert!(budgets.try_acquire(&service, 10));
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    limits: RetryLimits,
    /// This instance's part of the burst.
    burst_part: u32,
    budgets: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates empty budgets without a part of the burst.
    pub fn new(limits: RetryLimits) -> RetryBudgets {
        RetryBudgets { limits, burst_part: 0, budgets: HashMap::new() }
    }

    /// Replaces the limits. What was saved up stays, within the new limits.
    pub fn set_limits(&mut self, limits: RetryLimits, members: &Members) {
        self.limits = limits;
        self.update_burst_part(members);
    }

    /// Recomputes this instance's part of the burst; to be called when the members have changed.
    ///
    /// The whole tokens of the burst are divided among the registered instances.
    pub fn update_burst_part(&mut self, members: &Members) {
        let registered = members.registered().map(|member| member.instance.as_str());
        let share = Share::of("retry-burst", members.local().as_str(), registered, u32::MAX);
        let burst = (self.limits.burst * USED_SHARE) as u32;
        self.burst_part = share
            .map_or(0, |Share { rank, parts }| burst / parts + u32::from(rank < burst % parts));
        for budget in self.budgets.values_mut() {
            budget.set_limits(&self.limits, self.burst_part);
        }
    }

    /// Counts a client's request for `service`.
    pub fn record_request(&mut self, service: &ServiceName, now_ms: u64) {
        self.budget(service).record_request(now_ms);
    }

    /// Takes a retry for `service` if the budget allows it, and returns whether it does.
    pub fn try_acquire(&mut self, service: &ServiceName, now_ms: u64) -> bool {
        self.budget(service).try_acquire(now_ms)
    }

    /// Returns the number of retries that are left for `service`.
    pub fn available(&mut self, service: &ServiceName, now_ms: u64) -> usize {
        self.budget(service).available(now_ms)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            let mut budget = RetryBudget::default();
            budget.set_limits(&self.limits, self.burst_part);
            self.budgets.insert(service.clone(), budget);
        }
        self.budgets.get_mut(service).expect("it was just added")
    }
}

/// An instance's retry budget for one service: a token bucket that requests fill.
///
/// Guards against retry storms: when many backend servers fail, retries of every request
/// would keep the service from recovering. Each request pays for a fraction of one retry, once
/// and at one instance, so retries of all instances stay within the ratio of their requests even
/// if clients move or instances restart. A budget begins empty for the same reason: retries of
/// the previous run of the instance still count.
#[derive(Clone, Debug, Default)]
struct RetryBudget {
    ratio: f64,
    carryover_ms: u64,
    burst_part: usize,
    /// What requests have paid for the next token.
    fraction: f64,
    /// When tokens were paid for, and how many.
    tokens: VecDeque<(u64, usize)>,
    available: usize,
}

impl RetryBudget {
    fn set_limits(&mut self, limits: &RetryLimits, burst_part: u32) {
        self.ratio = limits.ratio * USED_SHARE;
        self.carryover_ms = limits.window_ms / CARRYOVER_DIVISOR;
        self.burst_part = usize::try_from(burst_part).unwrap_or(usize::MAX);
    }

    fn record_request(&mut self, now_ms: u64) {
        self.fraction += self.ratio;
        let paid = self.fraction as usize;
        self.fraction -= paid as f64;
        self.available += paid;
        match self.tokens.back_mut() {
            Some((paid_ms, count)) if *paid_ms == now_ms => *count += paid,
            _ if paid > 0 => self.tokens.push_back((now_ms, paid)),
            _ => {}
        }
        self.discard_expired(now_ms);
    }

    fn try_acquire(&mut self, now_ms: u64) -> bool {
        self.discard_expired(now_ms);
        let Some((_, count)) = self.tokens.front_mut() else { return false };
        *count -= 1;
        if *count == 0 {
            self.tokens.pop_front();
        }
        self.available -= 1;
        true
    }

    fn available(&mut self, now_ms: u64) -> usize {
        self.discard_expired(now_ms);
        self.available
    }

    /// Discards old tokens beyond the part of the burst.
    fn discard_expired(&mut self, now_ms: u64) {
        while let Some((paid_ms, count)) = self.tokens.front_mut()
            && self.available > self.burst_part
            && *paid_ms + self.carryover_ms < now_ms
        {
            let discarded = (*count).min(self.available - self.burst_part);
            *count -= discarded;
            self.available -= discarded;
            if *count == 0 {
                self.tokens.pop_front();
            }
        }
    }
}
