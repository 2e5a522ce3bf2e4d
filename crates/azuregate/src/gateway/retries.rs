//! Retry state shared by the requests of a service.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use azuregate_core::{latency::LatencyEstimator, names::ServiceName, retry::RetryBudget};

/// Retry budget and response times of one service; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceRetries {
    budget: Arc<RetryBudget>,
    response_time: Arc<Mutex<LatencyEstimator>>,
}

impl ServiceRetries {
    /// Counts one new request towards the budget.
    pub(crate) fn deposit(&self) {
        self.budget.deposit();
    }

    /// Withdraws one retry from the budget; returns whether there was one.
    pub(crate) fn try_take(&self) -> bool {
        self.budget.try_withdraw()
    }

    /// Records the time to the response head, in milliseconds.
    pub(crate) fn record(&self, taken_ms: u64) {
        self.response_time.lock().unwrap_or_else(PoisonError::into_inner).record(taken_ms);
    }

    /// Returns the time in milliseconds after which a response head is late, or
    /// `None` before the first response.
    pub(crate) fn late_after_ms(&self) -> Option<u64> {
        self.response_time.lock().unwrap_or_else(PoisonError::into_inner).late_threshold_ms()
    }
}

/// The retry state of all services.
#[derive(Debug, Default)]
pub(crate) struct RetriesByService {
    services: Mutex<HashMap<ServiceName, ServiceRetries>>,
}

impl RetriesByService {
    /// Returns the retry state of a service.
    pub(crate) fn get(&self, service: &ServiceName) -> ServiceRetries {
        let mut services = self.services.lock().unwrap_or_else(PoisonError::into_inner);
        services.entry(service.clone()).or_default().clone()
    }
}
