//! What commands print: tables for people, one JSON value for scripts.

use std::collections::BTreeMap;

use azuregate_schema::v1;
use serde::Serialize;

use super::{options::OutputFormat, print_line};

/// Prints a message as JSON under the schema's names, or by `human`.
pub(super) fn response<T: Serialize>(
    output: OutputFormat,
    message: &T,
    human: impl FnOnce(&T) -> String,
) {
    match output {
        OutputFormat::Json => print_line(format_args!(
            "{}",
            serde_json::to_string_pretty(message).unwrap_or_default()
        )),
        OutputFormat::Human => print_line(format_args!("{}", human(message).trim_end())),
    }
}

/// Lines up columns; the first row holds their names.
pub(super) fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max()
    };
    let widths: Vec<_> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        text.push_str(cells.collect::<Vec<_>>().join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// A row of a table.
macro_rules! row {
    ($($cell:expr),* $(,)?) => { vec![$($cell.to_string()),*] };
}

/// A share as people read it.
pub(super) fn percent(ppm: u32) -> String {
    format!("{:.1}%", f64::from(ppm) / 10_000.0)
}

fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / 1_000.0)
}

pub(super) fn status(status: &v1::StatusResponse) -> String {
    let ready = if status.ready { "yes" } else { "no" };
    let mut text = table(&[
        row!["instance", status.instance],
        row!["zone", status.zone],
        row!["version", status.build_version],
        row!["start", status.start],
        row!["ready", format!("{ready}: {}", status.ready_reason)],
    ]);
    let mut policies = vec![row!["policy", "version", "open", "leaving"]];
    for (service, version) in &status.policy_versions {
        let of_service = |open| {
            status.backends.iter().filter(|b| b.service == *service && b.open == open).count()
        };
        policies.push(row![service, version, of_service(true), of_service(false)]);
    }
    let mut instances = vec![row!["instance", "zone", "traffic", "state"]];
    for instance in &status.instances {
        let state = if instance.live { "live" } else { &instance.reason };
        instances.push(row![instance.id, instance.zone, instance.traffic_addr, state]);
    }
    for part in [table(&policies), table(&instances), closed_backends(&status.backends)] {
        text.push('\n');
        text.push_str(&part);
    }
    text.push('\n');
    text.push_str(&histograms(&status.histograms));
    text
}

/// The backend servers that take no new work.
pub(super) fn closed_backends(backends: &[v1::Backend]) -> String {
    let mut rows = vec![row!["backend server", "service", "zone", "no new work because"]];
    for backend in backends.iter().filter(|backend| !backend.open) {
        rows.push(row![backend.id, backend.service, backend.zone, backend.reasons.join(", ")]);
    }
    if rows.len() == 1 {
        return "every backend server takes new work\n".to_owned();
    }
    table(&rows)
}

pub(super) fn histograms(histograms: &[v1::Histogram]) -> String {
    let mut rows = vec![row![
        "service", "tenant", "class", "count", "errors", "p50 ms", "p99 ms", "p99.9 ms", "max ms"
    ]];
    for h in histograms {
        let tenant = if h.tenant.is_empty() { "-" } else { &h.tenant };
        rows.push(row![
            h.service, tenant, h.class, h.count, h.errors, h.p50_ms, h.p99_ms, h.p999_ms, h.max_ms
        ]);
    }
    table(&rows)
}

pub(super) fn entries(response: &v1::EntriesResponse) -> String {
    let mut rows = vec![row!["instance", "zone", "traffic"]];
    for entry in &response.entries {
        rows.push(row![entry.id, entry.zone, entry.addr]);
    }
    format!("{}callers may keep this for {} s\n", table(&rows), response.max_age_s)
}

pub(super) fn history(response: &v1::PolicyHistoryResponse) -> String {
    let mut rows = vec![row!["version", "operation", "shift", "drains", "timeout ms", "queue ms"]];
    for policy in &response.policies {
        let shift = if policy.shift.is_some() { "yes" } else { "-" };
        let drains =
            if policy.drains.is_empty() { "-".to_owned() } else { policy.drains.join(",") };
        rows.push(row![
            policy.version,
            policy.operation_id,
            shift,
            drains,
            policy.timeout_ms,
            policy.queue_ms
        ]);
    }
    table(&rows)
}

pub(super) fn shift(response: &v1::GetShiftResponse) -> String {
    let mut rows = vec![row!["zone", "share now", "share at the end"]];
    let end = response.shift.as_ref().map_or(&response.share_ppm, |shift| &shift.to_share_ppm);
    let mut zones: Vec<_> = response.share_ppm.keys().chain(end.keys()).collect();
    zones.sort();
    zones.dedup();
    // An empty table leaves the choice to nearness.
    let share = |shares: &BTreeMap<String, u32>, zone: &String| {
        let ppm = shares.get(zone).copied().unwrap_or(0);
        if shares.is_empty() { "by nearness".to_owned() } else { percent(ppm) }
    };
    for zone in zones {
        rows.push(row![zone, share(&response.share_ppm, zone), share(end, zone)]);
    }
    let head = match &response.shift {
        Some(shift) => format!(
            "a shift has come {} of its way: starts in {}, ends in {}\n",
            percent(response.progress_ppm),
            seconds(shift.start_at_ms.saturating_sub(response.now_ms)),
            seconds(response.end_at_ms.saturating_sub(response.now_ms))
        ),
        None => "no shift is in progress\n".to_owned(),
    };
    if rows.len() == 1 {
        return format!("{head}nearness decides\n");
    }
    head + &table(&rows)
}

pub(super) fn change(response: &v1::ChangeResponse) -> String {
    let policy = response.policy.clone().unwrap_or_default();
    let (service, version, id) = (&policy.service, policy.version, &policy.operation_id);
    let mut text = if response.conflict {
        format!("{service}: another change came first: version {version} (operation {id})\n")
    } else if response.repeated {
        format!("{service}: accepted by an earlier call as version {version} (operation {id})\n")
    } else if response.accepted {
        format!("{service}: accepted as version {version} (operation {id})\n")
    } else {
        format!("{service}: nothing was changed; this would be version {version}\n")
    };
    text.push_str(&differences(response));
    text.push_str(&response.effect.as_ref().map_or_else(String::new, effect));
    text
}

fn differences(response: &v1::ChangeResponse) -> String {
    let (before, after) = if response.conflict { ("yours", "theirs") } else { ("before", "after") };
    let mut rows = vec![row!["field", before, after]];
    for difference in &response.differences {
        let dash = |text: &str| if text.is_empty() { "-".to_owned() } else { text.to_owned() };
        rows.push(row![difference.field, dash(&difference.before), dash(&difference.after)]);
    }
    if rows.len() == 1 { String::new() } else { format!("\n{}", table(&rows)) }
}

fn effect(effect: &v1::Effect) -> String {
    let mut rows = vec![row!["zone", "share before", "share after", "open before", "open after"]];
    for zone in &effect.zones {
        let share = |ppm: Option<u32>| ppm.map_or_else(|| "by nearness".to_owned(), percent);
        rows.push(row![
            zone.zone,
            share(zone.before_ppm),
            share(zone.after_ppm),
            zone.open_before,
            zone.open_after
        ]);
    }
    let is_moved = |zone: &v1::ZoneEffect| {
        zone.before_ppm != zone.after_ppm || zone.open_before != zone.open_after
    };
    let is_any_moved = effect.zones.iter().any(is_moved);
    let mut text = if is_any_moved { format!("\n{}", table(&rows)) } else { String::new() };
    let moved = percent(effect.moved_ppm);
    if effect.duration_ms > 0 {
        let (start, takes) = (seconds(effect.start_in_ms), seconds(effect.duration_ms));
        text.push_str(&format!("\nmoves {moved} of requests: starts in {start}, takes {takes}\n"));
    } else if effect.moved_ppm > 0 {
        text.push_str(&format!("\ncloses {moved} of the open slots at once\n"));
    }
    for (names, what) in [(&effect.drained, "out of"), (&effect.undrained, "back into")] {
        if !names.is_empty() {
            text.push_str(&format!("{what} service: {}\n", names.join(", ")));
        }
    }
    for warning in &effect.warnings {
        text.push_str(&format!("warning: {warning}\n"));
    }
    text
}
