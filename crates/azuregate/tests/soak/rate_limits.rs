//! Servers that limit their rate for a time, and the check that instances keep to it together.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use azuregate_platform::fakes::ReceivedRequest;

use crate::{clients::RequestRecord, run::Deployment};

/// The contact bound of the settings fixture: the time from which a limit binds.
const CONTACT: Duration = Duration::from_secs(1);
/// The limit holds over every span of this length.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after which an instance that was told must keep to the limit.
const REACTION: Duration = Duration::from_millis(500);

/// A time in which a server named a limit, without a change, a crash or a fault of its link.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitedPeriod {
    pub(crate) server: usize,
    pub(crate) limit_per_s: f64,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// Checks that no server received more than its limit allows, from instances that it had told and
/// that were not killed, stopped or paused.
pub(crate) fn check(deployment: &Deployment, records: &[RequestRecord]) -> Vec<String> {
    let instances: BTreeMap<&str, usize> = records
        .iter()
        .filter_map(|record| {
            let of_record = |i: &crate::processes::Process| i.traffic_addr == record.instance;
            let instance = deployment.instances.iter().position(of_record)?;
            Some((record.id.as_str(), instance))
        })
        .collect();
    let periods = deployment.limited_periods();
    periods.iter().filter_map(|period| check_period(deployment, &instances, period)).collect()
}

fn check_period(
    deployment: &Deployment,
    instances: &BTreeMap<&str, usize>,
    period: &LimitedPeriod,
) -> Option<String> {
    let received = deployment.servers[period.server].backend.received();
    let instance_of = |request: &ReceivedRequest| instances.get(request.id.as_str()).copied();
    let mut told_at: BTreeMap<usize, Instant> = BTreeMap::new();
    for request in &received {
        let named_at = request.limit_named_at.filter(|at| (period.from..period.to).contains(at));
        if let (Some(at), Some(instance)) = (named_at, instance_of(request)) {
            let first = told_at.entry(instance).or_insert(at);
            *first = at.min(*first);
        }
    }
    let mut counted: Vec<Instant> = received
        .iter()
        .filter(|request| {
            let at = request.received_at;
            let is_bound = at >= period.from + CONTACT && at < period.to;
            let instance = instance_of(request).filter(|_| is_bound);
            instance.is_some_and(|instance| {
                told_at.get(&instance).is_some_and(|told| *told + REACTION <= at)
                    && !deployment.was_disturbed(instance, period.from - CONTACT, at)
            })
        })
        .map(|request| request.received_at)
        .collect();
    counted.sort();
    let allowed = 1.5 * period.limit_per_s * WINDOW.as_secs_f64() + 5.0;
    let in_window = |start: &Instant| {
        counted.iter().filter(|at| (*start..*start + WINDOW).contains(at)).count()
    };
    let most = counted.iter().map(in_window).max().unwrap_or_default();
    (most as f64 > allowed).then(|| {
        let server = deployment.servers[period.server].backend.id();
        format!("{server} got {most} requests in {WINDOW:?}, {allowed} allowed: {period:?}")
    })
}
