//! Backend servers that ask an instance for a pause.

use azuregate_core::{
    balance::{
        Backend, BackendHandle, BackendQuery, BackendRun, Balancer, Choice, HeartbeatStatus,
        Members, Outcome, RateLimitObservation, retry_after_pause_ms,
    },
    names::{RegionName, StartNumber},
};

use crate::fixtures::{backend, balancer, instance, member, members, query, service};

const PAUSE_MS: u64 = 3_000;
const NOW_MS: u64 = 100_000;
const DAY_MS: u64 = 24 * 60 * 60 * 1_000;
const SUCCEEDED: Outcome = Outcome::Succeeded { taken_ms: 10 };

fn push_back(balancer: &mut Balancer, handle: BackendHandle, pause_ms: u64, now_ms: u64) {
    let run = BackendRun::of(&balancer.backend(handle).unwrap());
    balancer.record_pushback(run, pause_ms, now_ms);
}

fn choose(balancer: &mut Balancer, object: u64, now_ms: u64) -> Option<Choice> {
    let service = service();
    balancer.choose(&query(&service, object), now_ms)
}

/// Returns a balancer with one server, and the server.
fn one_server() -> (Balancer, BackendHandle) {
    let balancer = balancer(0, 1, 1);
    let handle = balancer.handles().next().unwrap();
    (balancer, handle)
}

/// Returns a balancer with servers that all pause.
fn all_paused(servers: usize) -> Balancer {
    let mut balancer = balancer(0, 1, servers);
    for (number, handle) in balancer.handles().collect::<Vec<_>>().into_iter().enumerate() {
        push_back(&mut balancer, handle, PAUSE_MS + 100 * number as u64, NOW_MS);
    }
    balancer
}

/// Guards against choosing a server during its pause, and against refusing its requests.
#[test]
fn requests_for_a_paused_server_go_to_others() {
    let mut balancer = balancer(0, 1, 4);
    let paused = balancer.handles().nth(1).unwrap();
    let is_chosen = |balancer: &mut Balancer, now_ms: u64| {
        let mut handles = Vec::new();
        for object in 0..200_u64 {
            let choice = choose(balancer, object.wrapping_mul(0x9e37_79b9_7f4a_7c15), now_ms);
            let handle = choice.expect("other servers have room").handle;
            balancer.complete(handle, SUCCEEDED, now_ms);
            handles.push(handle);
        }
        handles.contains(&paused)
    };
    assert!(is_chosen(&mut balancer, NOW_MS));
    push_back(&mut balancer, paused, PAUSE_MS, NOW_MS);
    assert!(!is_chosen(&mut balancer, NOW_MS));
    assert!(!is_chosen(&mut balancer, NOW_MS + PAUSE_MS));
    assert!(is_chosen(&mut balancer, NOW_MS + PAUSE_MS + 1));
}

/// Guards against a pause that a shorter one ends, that lasts for ever, or that zero begins.
#[test]
fn pause_lasts_until_the_latest_end_that_was_asked_for() {
    // Times of the pushbacks and their pauses, and the end.
    let cases: [(&[(u64, u64)], u64); 6] = [
        (&[(0, 0)], 0),
        (&[(0, 3_000)], 3_001),
        (&[(0, 3_000), (500, 200)], 3_001),
        (&[(0, 3_000), (500, 0)], 3_001),
        (&[(0, 200), (100, 3_000)], 3_101),
        (&[(0, u64::MAX)], DAY_MS + 1),
    ];
    for (pushbacks, end_ms) in cases {
        let (mut balancer, handle) = one_server();
        for &(at_ms, pause_ms) in pushbacks {
            push_back(&mut balancer, handle, pause_ms, NOW_MS + at_ms);
        }
        if end_ms > 0 {
            let last_ms = NOW_MS + end_ms - 1;
            assert!(choose(&mut balancer, 1, last_ms).is_none(), "{pushbacks:?}");
        }
        assert!(choose(&mut balancer, 1, NOW_MS + end_ms).is_some(), "{pushbacks:?}");
    }
}

/// Guards against sending all requests at once to a server that may not have recovered when its pause
/// ends, and against waiting for a slow one.
#[test]
fn one_request_goes_to_a_server_first_after_its_pause() {
    // How the first request ends, and how many of five then go there.
    let cases = [
        (SUCCEEDED, 5),
        (Outcome::Failed, 5),
        (Outcome::Rejected, 5),
        (Outcome::TimedOut { taken_ms: 100 }, 5),
        (Outcome::Cancelled, 1),
        (Outcome::ResponseLost, 1),
        (Outcome::PushedBack, 0),
    ];
    let after_ms = NOW_MS + PAUSE_MS + 1;
    let chosen = |balancer: &mut Balancer, now_ms: u64| {
        (0..5).filter(|&object| choose(balancer, object, now_ms).is_some()).count()
    };
    for (outcome, expected) in cases {
        let (mut balancer, handle) = one_server();
        push_back(&mut balancer, handle, PAUSE_MS, NOW_MS);
        assert_eq!(chosen(&mut balancer, after_ms), 1, "{outcome:?}");
        if outcome == Outcome::PushedBack {
            push_back(&mut balancer, handle, PAUSE_MS, after_ms);
        }
        balancer.complete(handle, outcome, after_ms);
        assert_eq!(chosen(&mut balancer, after_ms), expected, "{outcome:?}");
    }
    let (mut balancer, handle) = one_server();
    push_back(&mut balancer, handle, PAUSE_MS, NOW_MS);
    assert_eq!(chosen(&mut balancer, after_ms), 1);
    assert_eq!(chosen(&mut balancer, after_ms + 249), 0);
    assert_eq!(chosen(&mut balancer, after_ms + 250), 5);
}

/// Guards against a server that is avoided after its pause, since its pushbacks count as failures.
#[test]
fn pushbacks_do_not_make_an_outlier() {
    let mut balancer = balancer(0, 1, 3);
    let paused = balancer.handles().next().unwrap();
    let mut now_ms = NOW_MS;
    for object in 0..300_u64 {
        let choice = choose(&mut balancer, object.wrapping_mul(0x9e37_79b9_7f4a_7c15), now_ms);
        let handle = choice.unwrap().handle;
        balancer.complete(handle, SUCCEEDED, now_ms);
        now_ms += 10;
    }
    for _ in 0..20 {
        push_back(&mut balancer, paused, 1, now_ms);
        balancer.complete(paused, Outcome::PushedBack, now_ms);
    }
    now_ms += 1_000;
    let chosen: Vec<BackendHandle> = (0..60_u64)
        .map(|object| {
            let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let handle = choose(&mut balancer, object, now_ms).unwrap().handle;
            balancer.complete(handle, SUCCEEDED, now_ms);
            handle
        })
        .collect();
    assert!(chosen.contains(&paused));
}

/// Guards against a refusal that does not tell the client when a server takes requests again, or that
/// is blamed on pauses although another server is only full.
#[test]
fn refusal_names_the_end_of_the_first_pause() {
    let service = service();
    let mut balancer = all_paused(6);
    let regions = [RegionName::new("b")];
    let in_region = BackendQuery { home_regions: &regions, ..query(&service, 1) };
    let cases = [(query(&service, 1), 3_001, 6), (in_region, 3_201, 2)];
    for (query, pause_ms, paused) in cases {
        assert!(balancer.choose(&query, NOW_MS).is_none());
        let explanation = balancer.explain(&query, NOW_MS);
        assert_eq!(explanation.refusing_pause_ms(), Some(pause_ms));
        assert_eq!(explanation.paused_servers, paused);
    }
    let text = balancer.explain(&query(&service, 1), NOW_MS).to_string();
    assert_eq!(text, "open:0 oldest_report_ms:0 paused:6 server-0:3001ms server-1:3101ms");
    balancer.put(backend(6), &members(0, 1), NOW_MS);
    while choose(&mut balancer, 1, NOW_MS).is_some() {}
    assert_eq!(balancer.explain(&query(&service, 1), NOW_MS).refusing_pause_ms(), None);
}

/// Guards against clients that come back before the end of the pause, or all of them together.
#[test]
fn clients_return_after_the_pause_and_not_together() {
    for (pause_ms, last_ms) in
        [(0, 100), (400, 600), (3_000, 3_850), (DAY_MS, DAY_MS * 5 / 4 + 100)]
    {
        assert_eq!(retry_after_pause_ms(pause_ms), pause_ms..=last_ms);
    }
}

/// A change of the registered servers.
type Change<'a> = &'a dyn Fn(&mut Balancer);

/// Guards against a pause that ends with a change of the server's row, or outlives its run.
#[test]
fn pause_belongs_to_the_run_of_the_server() {
    let members = members(0, 1);
    let updated = |balancer: &mut Balancer| {
        let row = Backend { cold_left_ms: 1, ..backend(0) };
        balancer.put(row, &members, NOW_MS);
    };
    let removed_and_back = |balancer: &mut Balancer| {
        balancer.remove("server-0");
        balancer.put(backend(0), &members, NOW_MS);
    };
    let asked_while_removed = |balancer: &mut Balancer| {
        balancer.remove("server-0");
        balancer.record_pushback(BackendRun::of(&backend(0)), 2 * PAUSE_MS, NOW_MS);
        balancer.put(backend(0), &members, NOW_MS);
    };
    let restarted = |balancer: &mut Balancer| {
        let row = Backend { start_epoch_ms: 2, ..backend(0) };
        balancer.put(row, &members, NOW_MS);
    };
    let replaced = |balancer: &mut Balancer| {
        balancer.remove("server-0");
        let addr = backend(0).addr;
        balancer.put(Backend { addr, ..backend(1) }, &members, NOW_MS);
    };
    let cases: [(&str, Change<'_>, bool); 5] = [
        ("asked while removed", &asked_while_removed, true),
        ("row updated", &updated, true),
        ("row removed and back", &removed_and_back, true),
        ("server restarted", &restarted, false),
        ("another server at the address", &replaced, false),
    ];
    for (name, change, is_paused) in cases {
        let (mut balancer, handle) = one_server();
        push_back(&mut balancer, handle, PAUSE_MS, NOW_MS);
        change(&mut balancer);
        assert_eq!(choose(&mut balancer, 1, NOW_MS + 1).is_none(), is_paused, "{name}");
    }
}

/// Returns a balancer and members of two instances, with one server that limits its rate.
fn limited(limit_per_s: f64) -> (Balancer, Members, BackendHandle) {
    let mut balancer = balancer(0, 2, 1);
    let mut members = members(0, 2);
    members.put(member(1));
    let name = instance(1);
    let status = HeartbeatStatus {
        instance: name.as_str(),
        start: StartNumber(1),
        is_leaving: false,
        can_watch: false,
    };
    members.record_heartbeat(&status, NOW_MS);
    let handle = balancer.handles().next().unwrap();
    let observation = RateLimitObservation {
        limit_per_s: Some(limit_per_s),
        sent_at_ms: NOW_MS,
        received_at_ms: NOW_MS,
    };
    balancer.record_rate_limit(handle, observation, &members, NOW_MS);
    (balancer, members, handle)
}

/// Guards against asking for a request at a paused server, and against sending one that was granted
/// before the pause.
#[test]
fn paused_server_gets_no_granted_requests() {
    let service = service();
    let query = query(&service, 1);
    let (mut balancer, members, handle) = limited(2.0);
    assert!(balancer.grant_request(&query, &members, 0, NOW_MS).is_some());
    push_back(&mut balancer, handle, PAUSE_MS, NOW_MS);
    assert!(balancer.grant_request(&query, &members, 0, NOW_MS).is_none());
    assert!(balancer.choose_granted(&query, handle, NOW_MS).is_none());
    assert!(balancer.choose_granted(&query, handle, NOW_MS + PAUSE_MS + 1).is_some());
}

/// Guards against the request by which the end of a rate limit is learnt, and against those to a cold
/// server, during a pause.
#[test]
fn paused_server_gets_no_trial_and_no_cold_requests() {
    let (mut balancer, _, handle) = limited(0.0);
    let trial_ms = NOW_MS + 30_000;
    push_back(&mut balancer, handle, PAUSE_MS, trial_ms);
    assert!(choose(&mut balancer, 1, trial_ms).is_none());
    assert!(choose(&mut balancer, 1, trial_ms + PAUSE_MS + 1).is_some());
    let (mut balancer, handle) = one_server();
    balancer.update_shares(&members(0, 1), NOW_MS);
    balancer.set_cold(handle, 2 * PAUSE_MS, NOW_MS);
    push_back(&mut balancer, handle, PAUSE_MS, NOW_MS);
    assert!(choose(&mut balancer, 1, NOW_MS).is_none());
    assert!(choose(&mut balancer, 1, NOW_MS + PAUSE_MS + 1).is_some());
}

/// Guards against connections to paused servers that only test whether the links work.
#[test]
fn paused_servers_are_checked_last() {
    let mut balancer = balancer(0, 1, 4);
    let paused = balancer.handles().next().unwrap();
    push_back(&mut balancer, paused, PAUSE_MS, NOW_MS);
    for random in 0..20 {
        let sample = balancer.sample_servers(&service(), 4, random, NOW_MS);
        assert_eq!(sample.last().map(|(handle, _)| *handle), Some(paused));
        assert_eq!(sample.len(), 4);
    }
}
