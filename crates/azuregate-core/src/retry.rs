//! How many retries a service may make.
//!
//! ```
//! use azuregate_core::retry::RetryBudget;
//!
//! let budget = RetryBudget::default();
//! for _ in 0..10 {
//!     budget.deposit();
//! }
//! assert!(budget.try_withdraw());
//! ```

use std::sync::atomic::{AtomicU64, Ordering};

/// What one retry costs, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;
/// What each new request adds, in thousandths of a retry: one in ten.
const DEPOSIT_MILLI: u64 = 100;
/// What is kept at the most, in thousandths of a retry.
///
/// It also bounds how far back "recent" goes: only the last 200 requests count.
const MAX_BALANCE_MILLI: u64 = 20_000;

/// Lets retries be a share of recent requests.
///
/// Without it, each failure under load makes up to two more requests, the load
/// that made the first fail. A share of recent requests bounds that to a tenth
/// more, however many fail, and retries die out.
///
/// It is shared between requests without a lock.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicU64,
}

impl Default for RetryBudget {
    /// A full budget: the first requests of a process may be retried too.
    fn default() -> RetryBudget {
        RetryBudget { balance_milli: AtomicU64::new(MAX_BALANCE_MILLI) }
    }
}

impl RetryBudget {
    /// Counts a new request; a retry is no new request.
    pub fn deposit(&self) {
        let add = |milli: u64| Some((milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI));
        let _ = self.balance_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one retry, or says that there is none.
    pub fn try_withdraw(&self) -> bool {
        let withdraw = |milli: u64| milli.checked_sub(RETRY_COST_MILLI);
        self.balance_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }
}
