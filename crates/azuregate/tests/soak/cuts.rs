//! Instances that are cut off from all backend servers for a time, and the check of their requests.

use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use fastrand::Rng;
use tokio::sync::watch;

use crate::{
    clients::{Outcome, RequestRecord},
    plan::Fault,
    run::Deployment,
};

/// The contact bound of the settings fixture: the time from which requests must be served.
const CONTACT: Duration = Duration::from_secs(1);
const MAX_CUTS: usize = 2;
/// Share of the others' served requests that instances without links must reach.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;
/// Requests that may fail at them in any case, and as a share of all.
const MIN_FAILURES: f64 = 10.0;
const MIN_FAILED_SHARE: f64 = 0.02;

/// What happens to connections between an instance and all servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Cut {
    /// Open and new connections are reset.
    Reset,
    /// New connections are reset, open ones live on.
    RefuseNew,
}

/// The cuts in force, by the instance's address.
pub(crate) type Cuts = watch::Sender<BTreeMap<IpAddr, Cut>>;

/// A time in which instances were cut off.
#[derive(Clone, Debug)]
pub(crate) struct CutPeriod {
    pub(crate) instances: Vec<usize>,
    pub(crate) from: Instant,
    pub(crate) to: Instant,
}

/// Returns cuts, one after the other, from a generator of their own: of one instance, of a zone, or
/// of all.
pub(crate) fn generate(seed: u64, instances: usize, zones: usize) -> Vec<(Duration, Fault)> {
    let mut random = Rng::with_seed(seed.rotate_left(8));
    let mut at = Duration::ZERO;
    let mut cuts = Vec::new();
    for _ in 0..random.usize(..=MAX_CUTS) {
        at += Duration::from_millis(random.u64(..2_000));
        let zone = random.usize(..zones);
        let instances = match random.usize(..6) {
            0 => (0..instances).collect(),
            1 | 2 => (zone..instances).step_by(zones).collect(),
            _ => vec![random.usize(..instances)],
        };
        let cut = if random.bool() { Cut::Reset } else { Cut::RefuseNew };
        let duration = Duration::from_millis(random.u64(1_500..4_000));
        cuts.push((at, Fault::CutOff { instances, cut, duration }));
        at += duration;
    }
    cuts
}

/// Checks that instances without links to servers serve their requests like those that had links
/// for at least the contact bound, at times when there are any.
pub(crate) fn check(deployment: &Deployment, records: &[RequestRecord]) -> Vec<String> {
    let numbers: BTreeMap<SocketAddr, usize> = deployment
        .instances
        .iter()
        .enumerate()
        .map(|(number, instance)| (instance.traffic_addr, number))
        .collect();
    let periods = deployment.cut_periods();
    let was_cut = |number: usize, at: Instant| {
        let is_recent = |p: &&CutPeriod| p.from <= at && at <= p.to + CONTACT;
        periods.iter().filter(is_recent).any(|p| p.instances.contains(&number))
    };
    let has_links = |number: usize, at: Instant| {
        !was_cut(number, at) && !deployment.was_disturbed(number, at - CONTACT, at + CONTACT)
    };
    let can_serve = |at: Instant| (0..deployment.instances.len()).any(|n| has_links(n, at));
    periods
        .iter()
        .filter_map(|period| {
            let bound_from = period.from + CONTACT;
            let (mut cut, mut others) = (Counts::default(), Counts::default());
            for record in records {
                let at = record.sent_at;
                let Some(&number) = numbers.get(&record.instance) else { continue };
                if at < bound_from
                    || at > period.to
                    || deployment.was_disturbed(number, period.from - CONTACT, at + CONTACT)
                    || !can_serve(at)
                {
                    continue;
                }
                match (period.instances.contains(&number), was_cut(number, at)) {
                    (true, _) => cut.add(record),
                    (false, false) => others.add(record),
                    (false, true) => {}
                }
            }
            let all = cut.sent + others.sent;
            let failed = cut.sent - cut.served;
            let is_broken = others.sent > 0
                && cut.share() < others.share() * MIN_SERVED_RATIO
                && failed as f64 > MIN_FAILURES + MIN_FAILED_SHARE * all as f64;
            is_broken.then(|| format!("cut off {period:?}: {cut:?}, the others {others:?}"))
        })
        .collect()
}

#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
}

impl Counts {
    fn add(&mut self, record: &RequestRecord) {
        self.sent += 1;
        let is_served = matches!(record.outcome, Outcome::Response { status: 200, .. });
        self.served += usize::from(is_served);
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}
