//! Rate limits that backend servers name, kept by many instances.

use std::collections::BTreeSet;

use azuregate_core::{
    balance::{
        Balancer, Choice, HeartbeatStatus, Members, Outcome, RateLimitChange, RateLimitObservation,
    },
    names::StartNumber,
};

use crate::fixtures::{backend, balancer, instance, members, query, service};

const STEP_MS: u64 = 50;
const WINDOW_MS: u64 = 4_000;

/// Instances that share one backend server.
struct Fleet {
    balancers: Vec<Balancer>,
    members: Vec<Members>,
    now_ms: u64,
    sent_at_ms: Vec<u64>,
}

impl Fleet {
    /// Creates instances that know each other, after some time without a limit.
    fn new(instances: usize) -> Fleet {
        Fleet {
            balancers: (0..instances).map(|local| balancer(local, instances, 1)).collect(),
            members: (0..instances).map(|local| members(local, instances)).collect(),
            now_ms: 100_000,
            sent_at_ms: Vec::new(),
        }
    }

    fn choose(&mut self, local: usize) -> Option<Choice> {
        let service = service();
        let choice = self.balancers[local].choose(&query(&service, 1), self.now_ms)?;
        self.balancers[local].complete(choice.handle, Outcome::Cancelled, self.now_ms);
        Some(choice)
    }

    /// Records a response to a request sent `sent_ago_ms` ago.
    fn respond(
        &mut self,
        local: usize,
        limit_per_s: Option<f64>,
        sent_ago_ms: u64,
    ) -> Option<RateLimitChange> {
        let handle = self.balancers[local].handles().next().unwrap();
        let observation = RateLimitObservation {
            limit_per_s,
            sent_at_ms: self.now_ms - sent_ago_ms,
            received_at_ms: self.now_ms,
        };
        let members = &self.members[local];
        self.balancers[local].record_rate_limit(handle, observation, members, self.now_ms)
    }

    fn tell_all(&mut self, limit_per_s: Option<f64>) {
        for local in 0..self.balancers.len() {
            self.respond(local, limit_per_s, 0);
        }
    }

    /// Sends the report of one instance to another, which receives it `delay_ms` later.
    fn report(&mut self, from: usize, to: usize, delay_ms: u64) -> Vec<RateLimitChange> {
        let report = self.balancers[from].next_rate_limit_report(false, self.now_ms);
        let Some(report) = report else { return Vec::new() };
        let at_ms = self.now_ms + delay_ms;
        self.balancers[to].record_rate_limit_report(&report, &self.members[to], at_ms)
    }

    /// Sends as many requests as the instances `senders` may.
    fn send_for(&mut self, duration_ms: u64, senders: &[usize]) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            for &local in senders {
                while self.choose(local).is_some() {
                    self.sent_at_ms.push(self.now_ms);
                    if self.limit(local).is_none() {
                        break;
                    }
                }
            }
            self.now_ms += STEP_MS;
        }
    }

    /// Sends a request on the account of another instance, chosen by `random`, if that one has a
    /// token. Answers come at once.
    fn send_granted(&mut self, local: usize, random: u64) -> bool {
        let (service, now_ms) = (service(), self.now_ms);
        let query = query(&service, random);
        let members = &self.members[local];
        let request = self.balancers[local].grant_request(&query, members, random, now_ms);
        let Some(request) = request else { return false };
        let holder = (0..self.balancers.len()).find(|&n| instance(n) == request.holder.instance);
        if !self.balancers[holder.unwrap()].grant(request.run, now_ms) {
            return false;
        }
        let choice = self.balancers[local].choose_granted(&query, request.handle, now_ms).unwrap();
        self.balancers[local].complete(choice.handle, Outcome::Cancelled, now_ms);
        self.sent_at_ms.push(now_ms);
        true
    }

    /// Lets the first `listeners` instances hear of all others.
    fn exchange_heartbeats(&mut self, listeners: usize) {
        for members in &mut self.members[..listeners] {
            for number in 0..self.balancers.len() {
                let name = instance(number);
                let status = HeartbeatStatus {
                    instance: name.as_str(),
                    start: StartNumber(1),
                    is_leaving: false,
                    can_watch: false,
                };
                members.record_heartbeat(&status, self.now_ms);
            }
        }
    }

    fn limit(&self, local: usize) -> Option<f64> {
        let handle = self.balancers[local].handles().next()?;
        self.balancers[local].rate_limit(handle)
    }

    fn most_in_a_window(&self) -> usize {
        let in_window = |start: &u64| {
            self.sent_at_ms.iter().filter(|at| (*start..start + WINDOW_MS).contains(at)).count()
        };
        self.sent_at_ms.iter().map(in_window).max().unwrap_or_default()
    }
}

/// Guards against instances that each keep to a server's limit and exceed it together, and
/// against leaving most of a limit unused.
#[test]
fn limit_is_kept_and_used_by_any_number_of_instances() {
    for instances in [1, 8, 83, 680] {
        for limit_per_s in [0.0, 0.4, 1.0, 3.0, 3.7, 50.0] {
            let mut fleet = Fleet::new(instances);
            fleet.tell_all(Some(limit_per_s));
            let all: Vec<usize> = (0..instances).collect();
            fleet.send_for(2 * WINDOW_MS, &all);
            let (most, sent) = (fleet.most_in_a_window(), fleet.sent_at_ms.len());
            let in_window = limit_per_s * WINDOW_MS as f64 / 1_000.0;
            // One second's requests may have been saved up, or one request.
            let allowed = in_window + limit_per_s.max(1.0);
            assert!(most as f64 <= allowed, "{instances}, {limit_per_s}/s: {most}");
            let used = sent as f64 / (2.0 * in_window);
            let is_used = limit_per_s < 1.0 || used >= 0.5;
            assert!(is_used, "{instances}, {limit_per_s}/s: {sent} sent");
        }
    }
}

/// Guards against a limit that is left unused because the instances that have a part get no
/// requests, and against exceeding it when all others ask these.
#[test]
fn limit_is_used_where_few_instances_have_requests() {
    for instances in [8, 83, 680] {
        // Not more than 85, since each asks in each step.
        for busy in [1, instances / 8, instances.min(85)] {
            let mut fleet = Fleet::new(instances);
            fleet.tell_all(Some(3.0));
            for step in 0..2 * WINDOW_MS / STEP_MS {
                if step % 20 == 0 {
                    fleet.exchange_heartbeats(busy);
                }
                for local in 0..busy {
                    match fleet.choose(local) {
                        Some(_) => fleet.sent_at_ms.push(fleet.now_ms),
                        None => {
                            fleet.send_granted(local, step);
                        }
                    }
                }
                fleet.now_ms += STEP_MS;
            }
            let (most, sent) = (fleet.most_in_a_window(), fleet.sent_at_ms.len());
            assert!(most <= 15, "{busy} of {instances}: {most}");
            assert!(sent >= 12, "{busy} of {instances}: {sent} of 24 sent");
        }
    }
}

/// Guards against asking those that cannot answer, and for servers that have room or take nothing.
#[test]
fn only_live_holders_of_a_limit_are_asked() {
    let mut fleet = Fleet::new(8);
    let service = service();
    let query = query(&service, 1);
    let asked = |fleet: &Fleet, local: usize, random| {
        fleet.balancers[local].grant_request(&query, &fleet.members[local], random, fleet.now_ms)
    };
    fleet.exchange_heartbeats(8);
    assert_eq!(asked(&fleet, 0, 0), None, "the server has no limit");
    fleet.tell_all(Some(0.0));
    assert_eq!(asked(&fleet, 0, 0), None, "the server takes nothing");
    fleet.tell_all(Some(3.0));
    let holders: BTreeSet<_> = (0..8)
        .flat_map(|local| (0..4).map(move |random| (local, random)))
        .filter_map(|(local, random)| Some(asked(&fleet, local, random)?.holder.instance))
        .collect();
    assert_eq!(holders.len(), 3, "{holders:?}");
    for (local, random) in (0..8).flat_map(|local| [(local, 0), (local, 1)]) {
        let holder = asked(&fleet, local, random).map(|request| request.holder.instance);
        assert_ne!(holder, Some(instance(local)), "asks itself");
    }
    fleet.now_ms += 5_000;
    assert_eq!(asked(&fleet, 0, 0), None, "no heartbeats");
}

/// Guards against exceeding a limit when instances wake from a pause, are cut off and get neither
/// heartbeats nor reports, have not been told or have started again.
#[test]
fn limit_is_kept_by_instances_that_were_out_of_contact() {
    const INSTANCES: usize = 8;
    let all: Vec<usize> = (0..INSTANCES).collect();
    for count in 1..=INSTANCES {
        let mut fleet = Fleet::new(INSTANCES);
        // The others are paused at first, then all are awake.
        fleet.tell_all(Some(3.0));
        fleet.send_for(WINDOW_MS, &all[..count]);
        fleet.send_for(WINDOW_MS, &all);
        assert!(fleet.most_in_a_window() <= 15, "{count}: {}", fleet.most_in_a_window());
        // Some start again and are told by their first response.
        for local in 0..count {
            fleet.balancers[local] = balancer(local, INSTANCES, 1);
            assert!(fleet.choose(local).is_some(), "it has not been told");
            fleet.respond(local, Some(3.0), 0);
        }
        fleet.sent_at_ms.clear();
        fleet.send_for(WINDOW_MS, &all);
        // Those without news for ten seconds try the server.
        assert!(fleet.most_in_a_window() <= 23, "{count}: {}", fleet.most_in_a_window());
    }
}

/// Guards against instances that take more while others of an older version keep no limits and
/// grant nothing.
#[test]
fn instances_of_older_versions_leave_their_parts_unused() {
    const INSTANCES: usize = 8;
    for newer in 1..INSTANCES {
        let mut fleet = Fleet::new(INSTANCES);
        fleet.exchange_heartbeats(INSTANCES);
        for local in 0..newer {
            fleet.respond(local, Some(3.0), 0);
        }
        let all: Vec<usize> = (0..newer).collect();
        fleet.send_for(WINDOW_MS, &all);
        assert!(fleet.most_in_a_window() <= 15, "{newer}: {}", fleet.most_in_a_window());
    }
}

/// Guards against exceeding a limit while instances disagree on who is registered: one has
/// left, one is new, one has just started and knows nobody.
#[test]
fn limit_is_kept_while_instances_disagree_on_the_members() {
    const INSTANCES: usize = 8;
    let all: Vec<usize> = (0..INSTANCES).collect();
    for changed in 0..INSTANCES {
        let mut fleet = Fleet::new(INSTANCES);
        fleet.members[0].remove(instance(changed).as_str());
        fleet.members[1] = members(1, INSTANCES + 1);
        fleet.members[2] = members(2, 0);
        fleet.tell_all(Some(3.0));
        fleet.send_for(2 * WINDOW_MS, &all);
        let most = fleet.most_in_a_window();
        assert!(most as f64 <= 1.5 * 3.0 * 4.0 + 5.0, "without {changed}: {most}");
    }
}

/// Guards against losing the limit, or starting with saved requests, when members or the limit
/// change all the time.
#[test]
fn changes_of_limit_and_members_do_not_add_requests() {
    const INSTANCES: usize = 8;
    let all: Vec<usize> = (0..INSTANCES).collect();
    let mut fleet = Fleet::new(INSTANCES);
    for round in 0..60 {
        fleet.tell_all(Some(if round % 2 == 0 { 3.0 } else { 2.6 }));
        for local in 0..INSTANCES {
            fleet.members[local] = members(local, INSTANCES + round % 3);
            let Fleet { balancers, members, now_ms, .. } = &mut fleet;
            balancers[local].update_shares(&members[local], *now_ms);
        }
        fleet.send_for(200, &all);
    }
    assert!(fleet.most_in_a_window() <= 15, "{}", fleet.most_in_a_window());
}

/// Guards against a limit that begins late, ends early or never ends.
#[test]
fn limit_holds_from_the_first_response_that_names_it_to_a_later_one_without_it() {
    let mut fleet = Fleet::new(4);
    assert_eq!(fleet.respond(0, None, 100), None);
    let change = fleet.respond(0, Some(3.0), 100).unwrap();
    assert_eq!(change.limit_per_s, Some(3.0));
    fleet.now_ms += 10;
    // The request was sent before the limit was named, so the response may be older.
    assert_eq!(fleet.respond(0, None, 50), None);
    assert_eq!(fleet.limit(0), Some(3.0));
    // Raised, lowered, repeated.
    for (limit, has_changed) in [(9.5, true), (0.5, true), (0.5, false), (0.0, true)] {
        assert_eq!(fleet.respond(0, Some(limit), 5).is_some(), has_changed, "{limit}");
        assert_eq!(fleet.limit(0), Some(limit));
    }
    fleet.now_ms += 100;
    let change = fleet.respond(0, None, 50).unwrap();
    assert_eq!((change.limit_per_s, change.part_per_s), (None, 0.0));
    assert!(fleet.choose(0).is_some());
}

/// Guards against a limit that outlasts the run of the server that named it.
#[test]
fn limit_ends_with_the_run_of_the_server() {
    let mut fleet = Fleet::new(1);
    fleet.respond(0, Some(0.0), 0);
    assert!(fleet.choose(0).is_none());
    let mut again = backend(0);
    again.is_draining = false;
    fleet.balancers[0].put(again.clone(), &fleet.members[0], fleet.now_ms);
    assert_eq!(fleet.limit(0), Some(0.0), "the same run");
    again.start_epoch_ms += 1;
    fleet.balancers[0].put(again, &fleet.members[0], fleet.now_ms);
    assert_eq!(fleet.limit(0), None);
    assert!(fleet.choose(0).is_some());
}

/// Guards against instances that learn of a limit only by sending to the server.
#[test]
fn limits_are_reported_to_other_instances() {
    let mut fleet = Fleet::new(3);
    assert!(fleet.balancers[0].next_rate_limit_report(true, fleet.now_ms).is_none());
    fleet.respond(0, Some(3.0), 100);
    assert_eq!(fleet.report(0, 1, 50)[0].limit_per_s, Some(3.0));
    assert_eq!(fleet.limit(1), Some(3.0));
    // What was only heard is not passed on.
    assert!(fleet.report(1, 2, 50).is_empty());
    assert_eq!(fleet.limit(2), None);
    // A change is reported at once, then repeated with heartbeats only.
    assert!(fleet.balancers[0].next_rate_limit_report(true, fleet.now_ms).is_none());
    fleet.now_ms += 100;
    fleet.respond(0, Some(2.0), 50);
    assert!(fleet.balancers[0].next_rate_limit_report(true, fleet.now_ms).is_some());
    assert!(fleet.balancers[0].next_rate_limit_report(false, fleet.now_ms).is_some());
    fleet.now_ms += 10_000;
    assert!(fleet.balancers[0].next_rate_limit_report(false, fleet.now_ms).is_none());
}

/// Guards against a report that was under way for long and ends, or brings back, a limit that is
/// known better.
#[test]
fn older_reports_do_not_override_newer_observations() {
    let mut fleet = Fleet::new(2);
    fleet.respond(0, Some(3.0), 0);
    fleet.now_ms += 1_000;
    fleet.respond(0, None, 100);
    fleet.now_ms += 150;
    // It was named again later than the request of the response without it was sent.
    fleet.respond(1, Some(4.0), 100);
    assert!(fleet.report(0, 1, 150).is_empty());
    assert_eq!(fleet.limit(1), Some(4.0));
    // The older limit arrives after the end.
    let mut fleet = Fleet::new(2);
    fleet.respond(0, Some(3.0), 0);
    fleet.now_ms += 500;
    fleet.respond(1, Some(3.0), 0);
    fleet.now_ms += 100;
    fleet.respond(1, None, 50);
    assert!(fleet.report(0, 1, 20).is_empty());
    assert_eq!(fleet.limit(1), None);
}

/// Guards against a limit that nobody learns the end of, since no instance may send a request, and
/// against all instances trying at once.
#[test]
fn limit_without_news_is_tried_now_and_then() {
    const INSTANCES: usize = 83;
    let all: Vec<usize> = (0..INSTANCES).collect();
    let mut fleet = Fleet::new(INSTANCES);
    fleet.tell_all(Some(0.0));
    let mut trials = Vec::new();
    for _ in 0..60_000 / STEP_MS {
        fleet.send_for(STEP_MS, &all);
        for at_ms in std::mem::take(&mut fleet.sent_at_ms) {
            trials.push(at_ms);
            // The response reaches the sender, and its report the others.
            fleet.tell_all(Some(0.0));
        }
    }
    assert!((2..=12).contains(&trials.len()), "{trials:?}");
}

/// Guards against reports that don't fit in a packet, and against servers that are never reported
/// because others come first.
#[test]
fn many_limits_are_reported_in_turn() {
    const SERVERS: usize = 100;
    const MAX_DATAGRAM_BYTES: usize = 1_200;
    let mut reporter = balancer(0, 2, SERVERS);
    let members = members(0, 2);
    let now_ms = 100_000;
    let observation = RateLimitObservation {
        limit_per_s: Some(3.137),
        sent_at_ms: now_ms - 900,
        received_at_ms: now_ms - 800,
    };
    for handle in reporter.handles().collect::<Vec<_>>() {
        reporter.record_rate_limit(handle, observation, &members, now_ms);
    }
    while reporter.next_rate_limit_report(true, now_ms).is_some() {}
    let mut reported = BTreeSet::new();
    for _ in 0..3 {
        // Between heartbeats only changes are reported.
        assert!(reporter.next_rate_limit_report(true, now_ms).is_none());
        let report = reporter.next_rate_limit_report(false, now_ms).unwrap();
        reported.extend(report.0.iter().map(|reported| reported.0));
        let mut bytes = Vec::new();
        let datagram = azuregate_core::balance::Datagram::RateLimits(report);
        ciborium::into_writer(&datagram, &mut bytes).unwrap();
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
    }
    assert_eq!(reported.len(), SERVERS);
}
