//! Checks a change against the availability zones and backend servers that the
//! instance knows of.

use azuregate_core::{
    names::{BackendId, ServiceName},
    policy::{Policy, Shares},
    snapshot::Snapshot,
};
use tonic::Status;

use super::{
    edit::{ChangeRequest, Edit},
    failure::refused,
};
use crate::jsonc::closest_match;

/// Refuses names that nobody knows: a misspelt zone would get no traffic, and a
/// misspelt backend server would go on serving, both without a word.
///
/// # Errors
///
/// All unknown names at once.
pub(super) fn check_names(request: &ChangeRequest, snapshot: &Snapshot) -> Result<(), Status> {
    let mut unknown = Vec::new();
    match &request.edit {
        Edit::Set(policy) => {
            check_zones(&policy.zone_share_ppm, snapshot, &mut unknown);
            check_new_drains(policy, snapshot, &mut unknown);
        }
        Edit::StartShift { to_share_ppm, .. } => check_zones(to_share_ppm, snapshot, &mut unknown),
        Edit::Drain(ids) => check_backends(&request.service, ids.iter(), snapshot, &mut unknown),
        // What is drained may be gone from the list, and is known by the policy.
        Edit::StopShift | Edit::Undrain(_) => {}
    }
    if unknown.is_empty() {
        return Ok(());
    }
    Err(refused(unknown.join("; ")))
}

fn check_zones(shares: &Shares, snapshot: &Snapshot, unknown: &mut Vec<String>) {
    let known = || snapshot.topology.zones().map(|zone| zone.as_str());
    for zone in shares.keys().filter(|zone| known().all(|known| known != zone.as_str())) {
        let hint = did_you_mean(zone.as_str(), known());
        unknown.push(format!("no region has the availability zone {zone}{hint}"));
    }
}

/// A server that is drained already may be gone from the list.
fn check_new_drains(policy: &Policy, snapshot: &Snapshot, unknown: &mut Vec<String>) {
    let in_force = snapshot.policies.get(&policy.service).map(|policy| &policy.drains);
    let is_new = |id: &&BackendId| !in_force.is_some_and(|drains| drains.contains(*id));
    check_backends(&policy.service, policy.drains.iter().filter(is_new), snapshot, unknown);
}

fn check_backends<'a>(
    service: &ServiceName,
    ids: impl Iterator<Item = &'a BackendId>,
    snapshot: &Snapshot,
    unknown: &mut Vec<String>,
) {
    let known = || {
        let servers = snapshot.backends.get(service).map_or(&[][..], |servers| servers);
        servers.iter().map(|server| server.id.as_str())
    };
    for id in ids.filter(|id| known().all(|known| known != id.as_str())) {
        let hint = did_you_mean(id.as_str(), known());
        unknown.push(format!("{service} has no backend server {id}{hint}"));
    }
}

fn did_you_mean<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    closest_match(name, known).map_or_else(String::new, |name| format!(" (did you mean {name}?)"))
}
