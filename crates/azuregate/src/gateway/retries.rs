//! What the requests of one service share about retries.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use azuregate_core::{late::UsualTime, names::ServiceName, retry::RetryBudget};

/// The retries of one service; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRetries {
    budget: Arc<RetryBudget>,
    response_time: Arc<Mutex<UsualTime>>,
}

impl ServiceRetries {
    /// Counts one request.
    pub(crate) fn deposit(&self) {
        self.budget.deposit();
    }

    /// Takes one retry, if the budget has one.
    pub(crate) fn try_take(&self) -> bool {
        self.budget.try_take()
    }

    /// Takes in how long the head of an answer took.
    pub(crate) fn record(&self, taken_ms: u64) {
        self.response_time.lock().unwrap_or_else(PoisonError::into_inner).record(taken_ms);
    }

    /// After how many milliseconds the head of an answer is late.
    pub(crate) fn late_after_ms(&self) -> Option<u64> {
        self.response_time.lock().unwrap_or_else(PoisonError::into_inner).late_after_ms()
    }
}

/// The retries of all services.
#[derive(Debug, Default)]
pub(crate) struct RetriesByService {
    services: Mutex<HashMap<ServiceName, ServiceRetries>>,
}

impl RetriesByService {
    /// The retries of one service.
    pub(crate) fn get(&self, service: &ServiceName) -> ServiceRetries {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.entry(service.clone()).or_default().clone()
    }
}
