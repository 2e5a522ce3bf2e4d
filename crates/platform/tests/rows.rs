//! Decoding of the rows of the store, and of lookups and load reports.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use azuregate_core::{
    balance::{BackendRun, Fingerprint, Member, RequestKind},
    names::{InstanceId, StartNumber, ZoneName},
};
use azuregate_platform::{
    backend,
    config::{self, OperatorKey},
    crashes,
    fakes::{ConfigDocument, backend_row, config_row},
    member,
    request::{LoadReport, Lookup, encode_lookup_response},
};
use serde_json::{Value, json};

fn configuration() -> Value {
    ConfigDocument::new("shop").json()
}

#[test]
fn configuration_is_decoded() {
    let config = config::decode(&config_row(&ConfigDocument::new("shop"))).unwrap();
    assert_eq!(config.version(), 1);
    assert_eq!(config.limits().idle_timeout_ms, 15_000);
    let kind = |path| config.route("shop.example", path).map(|route| route.kind);
    assert_eq!(kind("/read/1"), Some(RequestKind::Idempotent));
    assert_eq!(kind("/write/1"), Some(RequestKind::NonIdempotent));
    assert_eq!(kind("/upload/1"), Some(RequestKind::NonIdempotent));
    let route = config.route("shop.example", "/read/1").unwrap();
    assert_eq!((route.timeout_ms, route.target_latency_ms, route.attempts), (1_000, 250, 2));
}

#[test]
fn traffic_split_is_decoded_with_weights() {
    let mut document = configuration();
    let more = json!({ "name": "new", "maxConns": 1 });
    document["clusters"].as_array_mut().unwrap().push(more);
    let action = &mut document["listeners"][0]["rules"][0]["action"];
    action["trafficSplit"] =
        json!([{ "backend": "shop", "weight": 90 }, { "backend": "new", "weight": 10 }]);
    let config = config::decode(document.to_string().as_bytes()).unwrap();
    let route = config.route("shop.example", "/read/").unwrap();
    let parts: Vec<_> = route.destinations.iter().map(|d| (d.service.as_str(), d.weight)).collect();
    assert_eq!(parts, [("shop", 90.0), ("new", 10.0)]);
}

#[test]
fn invalid_configurations_are_rejected() {
    type Change = fn(&mut Value);
    let cases: [(&str, Change); 9] = [
        ("no version", |d| d["configVersion"] = Value::Null),
        ("a version that is not hexadecimal", |d| d["configVersion"] = json!("new")),
        ("an unknown service", |d| d["clusters"] = json!([])),
        ("a prefix without a trailing slash", |d| {
            d["listeners"][0]["rules"][0]["match"]["prefix"] = json!("/read")
        }),
        ("no attempts", |d| d["listeners"][0]["rules"][0]["action"]["attempts"] = json!(0)),
        ("an unknown kind", |d| d["listeners"][0]["rules"][0]["type"] = json!("maybe")),
        ("no service", |d| d["listeners"][0]["rules"][0]["action"]["backend"] = Value::Null),
        ("a negative duration", |d| {
            d["listeners"][0]["rules"][0]["action"]["timeoutS"] = json!(-1)
        }),
        ("a limit of the wrong type", |d| d["limits"]["maxBodyBytes"] = json!("big")),
    ];
    for (name, change) in cases {
        let mut document = configuration();
        change(&mut document);
        assert!(config::decode(document.to_string().as_bytes()).is_err(), "{name}");
    }
    let mut document = configuration();
    let again = document["listeners"][0]["rules"][0].clone();
    document["listeners"][0]["rules"].as_array_mut().unwrap().push(again);
    assert!(config::decode(document.to_string().as_bytes()).is_err(), "two rules with one prefix");
    let text = configuration().to_string();
    assert!(config::decode(&text.as_bytes()[..text.len() / 2]).is_err(), "truncated");
}

#[test]
fn operator_keys_are_parsed() {
    assert_eq!(config::parse_operator_key("config"), OperatorKey::Config);
    let zone = ZoneName::new("sofia-a");
    assert_eq!(config::parse_operator_key("evacuate/sofia-a"), OperatorKey::Evacuate(zone));
    assert_eq!(config::parse_operator_key("other"), OperatorKey::Unknown);
}

#[test]
fn backend_row_is_decoded() {
    let addr = "10.0.0.1:80".parse().unwrap();
    let backend =
        backend::decode("i-1", &backend_row("shop", addr, "sofia-a", "draining")).unwrap();
    assert_eq!((backend.id.as_str(), backend.service.as_str()), ("i-1", "shop"));
    assert_eq!((backend.addr, backend.slots, backend.is_draining), (addr, 3, true));
}

#[test]
fn invalid_backend_rows_are_rejected() {
    let addr = "10.0.0.1:80".parse().unwrap();
    let valid: Value = serde_json::from_slice(&backend_row("shop", addr, "a", "ready")).unwrap();
    let changes = [
        ("state", json!("asleep")),
        ("state", Value::Null),
        ("address", json!("somewhere")),
        ("address", json!(7)),
        ("backend", json!(["shop"])),
        ("capacity", json!(0)),
        ("capacity", json!(-1)),
        ("warmupLeftS", json!("long")),
    ];
    for (field, value) in changes {
        let mut row = valid.clone();
        row[field] = value;
        assert!(backend::decode("i-1", row.to_string().as_bytes()).is_err(), "{row}");
    }
    assert!(backend::decode("i-1", &[0xff, 0xfe]).is_err());
    assert!(backend::decode("i-1", b"").is_err());
}

#[test]
fn member_row_round_trips() {
    let member = Member {
        instance: InstanceId::new("entry-1"),
        start: StartNumber(7),
        ip: "10.0.0.1".parse().unwrap(),
        traffic_addr: "10.0.0.1:80".parse().unwrap(),
        forwarding_port: Some(7721),
        zone: ZoneName::new("sofia-a"),
    };
    assert_eq!(member::decode("entry-1", &member::encode(&member)).unwrap(), member);
    // The row of an older version.
    let row = br#"{"traffic":"10.0.0.1:80","ip":"10.0.0.1","zone":"zone-a","start":7}"#;
    assert_eq!(member::decode("entry-1", row).unwrap().forwarding_port, None);
    assert!(member::decode("entry-1", b"{}").is_err());
}

#[test]
fn lookups_are_parsed_and_responses_encoded() {
    let lookup = Lookup::parse("name=shop.example&region=east%20mids&zone=em-1&more=1&odd");
    let expected = Lookup { region: "east mids".to_owned(), zone: "em-1".to_owned() };
    assert_eq!(lookup, expected);
    assert_eq!(Lookup::parse(""), Lookup::default());
    let response = encode_lookup_response(&["10.0.0.1:80".parse().unwrap()], 1_500);
    assert_eq!(String::from_utf8(response).unwrap(), r#"{"addresses":["10.0.0.1:80"],"ttlS":1.5}"#);
}

#[test]
fn load_reports_consist_of_three_numbers() {
    let expected = LoadReport { running: 3, waiting: 0, slots: 8 };
    assert_eq!(LoadReport::parse("3, 0,8"), Some(expected));
    for text in ["", "3", "3,0", "3,0,8,1", "3,-1,8", "a,b,c"] {
        assert_eq!(LoadReport::parse(text), None, "{text}");
    }
}

#[test]
fn rows_of_quarantined_requests_round_trip() {
    let request = Fingerprint(u64::MAX - 1);
    let timed = vec![(BackendRun(u64::MAX), 1_768_235_706_000), (BackendRun(3), 0)];
    let value = crashes::encode(timed.clone());
    assert_eq!(crashes::decode(&crashes::key(request), &value), Ok((request, timed)));
    let invalid: [(&str, &[u8]); 4] =
        [("not hex", &value), ("1f", b"{}"), ("1f", b""), ("1f", b"{\"crashes\":[[1]]}")];
    for (key, value) in invalid {
        assert!(crashes::decode(key, value).is_err(), "{key}");
    }
}
