//! Checks the outcomes that callers saw against the executions at the backend
//! servers.

use std::{collections::HashMap, net::SocketAddr};

use serde::Serialize;

use crate::{
    client::{self, ClientError},
    load::{Class, RequestOutcome, RequestRecord},
};

/// Contradictions between outcomes and executions, and wasted executions.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Orders and uploads that were executed more than once.
    pub duplicates: Vec<String>,
    /// Requests that were answered but never executed.
    pub losses: Vec<String>,
    /// Requests that were executed but refused as `not-run`.
    pub false_not_run: Vec<String>,
    /// Repeated executions of reads, which are safe but cost capacity.
    pub extra_reads: u64,
    /// Executions whose caller got no complete answer.
    pub unanswered_runs: u64,
}

impl Audit {
    /// Returns whether there are no duplicates, losses or false refusals.
    pub fn is_clean(&self) -> bool {
        self.duplicates.is_empty() && self.losses.is_empty() && self.false_not_run.is_empty()
    }
}

/// Audits the requests of one run. `executions` is the number of executions of
/// each request over all backend servers, by request ID.
pub fn audit(records: &[RequestRecord], executions: &HashMap<String, u64>) -> Audit {
    let mut audit = Audit::default();
    for request in records {
        let runs = executions.get(&request.name).copied().unwrap_or(0);
        let name = || request.name.clone();
        match request.class {
            Class::Read => audit.extra_reads += runs.saturating_sub(1),
            Class::Keyed | Class::Upload if runs > 1 => audit.duplicates.push(name()),
            Class::Keyed | Class::Upload => {}
        }
        match &request.ending {
            RequestOutcome::Answered if runs == 0 => audit.losses.push(name()),
            RequestOutcome::Refused { outcome, .. } if outcome == "not-run" && runs > 0 => {
                audit.false_not_run.push(name());
            }
            RequestOutcome::Refused { .. } | RequestOutcome::Failed(_) => {
                audit.unanswered_runs += runs
            }
            RequestOutcome::Answered | RequestOutcome::MixedUp => {}
        }
    }
    audit
}

/// Returns the number of executions of each request, summed over the backend
/// servers at `addrs`.
///
/// # Errors
///
/// When a server cannot be reached or its response is not valid.
pub async fn fetch_executions(addrs: &[SocketAddr]) -> Result<HashMap<String, u64>, ClientError> {
    let mut all = HashMap::new();
    for &addr in addrs {
        let answer = client::get(addr, "/lab/ran").await?;
        let executions: HashMap<String, u64> = serde_json::from_slice(answer.body())?;
        for (name, count) in executions {
            *all.entry(name).or_default() += count;
        }
    }
    Ok(all)
}
