//! A budget that bounds the retries of a service.
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

/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLI: u64 = 1_000;
/// Deposit for each new request, in thousandths of a retry.
const DEPOSIT_MILLI: u64 = 100;
/// Upper limit of the balance, in thousandths of a retry. It bounds a burst of retries,
/// and only the last 200 requests count as recent.
const MAX_BALANCE_MILLI: u64 = 20_000;

/// Limits retries to a share of recent requests.
///
/// Without it, each request that fails under load would be sent several times and keep
/// the overload alive. With it, retries add at most a tenth to the load, however many
/// requests fail.
///
/// The budget is lock-free and can be shared between threads.
#[derive(Debug)]
pub struct RetryBudget {
    balance_milli: AtomicU64,
}

impl Default for RetryBudget {
    /// Returns a full budget, so that the first requests of a process can be retried.
    fn default() -> RetryBudget {
        RetryBudget { balance_milli: AtomicU64::new(MAX_BALANCE_MILLI) }
    }
}

impl RetryBudget {
    /// Adds the share of one new request. Retries do not count as new requests.
    pub fn deposit(&self) {
        let add = |milli: u64| Some((milli + DEPOSIT_MILLI).min(MAX_BALANCE_MILLI));
        let _ = self.balance_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws one retry; returns whether the balance allowed it.
    pub fn try_withdraw(&self) -> bool {
        let withdraw = |milli: u64| milli.checked_sub(RETRY_COST_MILLI);
        self.balance_milli.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }
}
