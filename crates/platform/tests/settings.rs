//! Parsing of the platform's settings file.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use azuregate_platform::settings::Settings;

const COMPLETE: &str = "\
self.nodeName=edge-1\nself.ip=10.1.0.10\nself.zone=sofia-a\nself.region=sofia\n\
self.role=entry\nself.limits.memoryMb=260\nsomething.new=1,2\nnot a field\n\
network.listen.frontend=10.1.0.10:8161\nnetwork.listen.readiness=10.1.0.10:8167\n\
network.listen.directory=10.1.0.10:8164\nnetwork.internalPorts=7720,7735\n\
network.zones.sofia-a=sofia\nnetwork.zones.varna-a=varna\n\
provider.heartbeatS=1.5\nprovider.provider.address=10.200.1.7:8169\n\
terms.bounds.contactS=3\nterms.bounds.graceS=6.5\nterms.bounds.retryBudgetRatio=0.25\n\
terms.bounds.retryWindowS=10\nterms.bounds.retryBurst=58\nterms.bounds.ttl_max_s=5\n\
terms.bounds.warmupOverage=1.5\nterms.bounds.warmupSlack=5\n";

#[test]
fn complete_file_is_parsed_and_unknown_names_are_ignored() {
    let settings = Settings::parse(COMPLETE).unwrap();
    assert_eq!(settings.instance.as_str(), "edge-1");
    assert_eq!(settings.zones.len(), 2);
    assert_eq!((settings.peer_port, settings.last_peer_port), (7720, 7735));
    assert_eq!(settings.heartbeat_ms, 1_500);
    assert_eq!(
        (settings.bounds.instance_expiry_ms, settings.bounds.grace_period_ms),
        (3_000, 6_500)
    );
    assert_eq!(settings.bounds.retry_budget_ratio, 0.25);
    assert_eq!((settings.memory_mb, settings.max_fds), (260, 16_384));
}

#[test]
fn machine_without_limits_has_defaults() {
    for (from, to) in [("260", "0"), ("self.limits.memoryMb=260\n", "")] {
        let settings = Settings::parse(&COMPLETE.replace(from, to)).unwrap();
        assert_eq!((settings.memory_mb, settings.max_fds), (256, 16_384));
    }
}

#[test]
fn unset_bounds_have_defaults() {
    let text: String = COMPLETE
        .lines()
        .filter(|line| !line.starts_with("terms."))
        .map(|l| format!("{l}\n"))
        .collect();
    let bounds = Settings::parse(&text).unwrap().bounds;
    assert_eq!(
        (bounds.instance_expiry_ms, bounds.grace_period_ms, bounds.lookup_ttl_ms),
        (3_000, 6_000, 5_000)
    );
}

#[test]
fn error_names_the_invalid_field() {
    let cases = [
        ("self.nodeName=edge-1", "", "self.nodeName is missing"),
        ("self.ip=10.1.0.10", "self.ip=ten", "self.ip: \"ten\" cannot be parsed"),
        ("frontend=10.1.0.10:8161", "frontend=10.1.0.10", "network.listen.frontend"),
        ("internalPorts=7720,7735", "internalPorts=7735,7720", "is not a port range FIRST,LAST"),
        ("internalPorts=7720,7735", "internalPorts=7720", "is not a port range FIRST,LAST"),
        ("provider.provider.address=10.200.1.7:8169", "", "provider.provider.address is missing"),
        (
            "retryBudgetRatio=0.25",
            "retryBudgetRatio=-1",
            "retryBudgetRatio: \"-1\" is not a non-negative number",
        ),
        ("graceS=6.5", "graceS=soon", "graceS: \"soon\" is not a non-negative number"),
    ];
    for (from, to, expected) in cases {
        assert!(COMPLETE.contains(from), "{from}");
        let e = Settings::parse(&COMPLETE.replace(from, to)).unwrap_err();
        assert_eq!(e.problems().len(), 1, "{e}");
        assert!(e.problems()[0].contains(expected), "{e}");
    }
}

#[test]
fn error_lists_all_missing_fields() {
    let e = Settings::parse("").unwrap_err();
    assert_eq!(e.problems().len(), 9, "{e}");
}
