//! Checks what callers were told against what truly ran.

use std::{collections::HashMap, net::SocketAddr};

use serde::Serialize;

use crate::{
    client::{self, ClientError},
    load::{Class, RequestOutcome, RequestRecord},
};

/// What does not add up, and what was done in vain.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Audit {
    /// Orders and uploads that ran more than once.
    pub duplicates: Vec<String>,
    /// Requests that were answered but never ran.
    pub losses: Vec<String>,
    /// Requests that ran although their callers were told that they did not.
    pub false_not_run: Vec<String>,
    /// Reads that ran again; safe, but work.
    pub extra_reads: u64,
    /// Runs whose caller got no whole answer.
    pub unanswered_runs: u64,
}

impl Audit {
    /// Whether everything adds up.
    pub fn is_clean(&self) -> bool {
        self.duplicates.is_empty() && self.losses.is_empty() && self.false_not_run.is_empty()
    }
}

/// Checks the requests of one run; `ran` says how often each ran, over all
/// backend servers.
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

/// Adds up what ran at the backend servers at `addrs`.
///
/// # Errors
///
/// When one cannot be asked.
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
