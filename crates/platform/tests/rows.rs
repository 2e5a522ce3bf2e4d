//! Rows of the store: configurations, backend servers, instances.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use azuregate_core::{
    balance::{Member, RequestKind},
    names::{InstanceId, StartNumber, ZoneName},
};
use azuregate_platform::{
    backend,
    config::{self, OperatorRow},
    member,
    request::{LoadReport, Lookup, lookup_answer},
    stand_in::{ConfigText, backend_row, config_row},
};
use serde_json::{Value, json};

fn configuration() -> Value {
    ConfigText::new("shop").json()
}

#[test]
fn a_configuration_is_read() {
    let config = config::decode(&config_row(&ConfigText::new("shop"))).unwrap();
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
fn a_split_is_read_with_its_weights() {
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
fn configurations_that_do_not_hold_together_are_refused() {
    type Change = fn(&mut Value);
    let cases: [(&str, Change); 9] = [
        ("no version", |d| d["configVersion"] = Value::Null),
        ("a version that is not hexadecimal", |d| d["configVersion"] = json!("new")),
        ("an unknown service", |d| d["clusters"] = json!([])),
        ("a bare prefix", |d| d["listeners"][0]["rules"][0]["match"]["prefix"] = json!("/read")),
        ("no attempts", |d| d["listeners"][0]["rules"][0]["action"]["attempts"] = json!(0)),
        ("an unknown kind", |d| d["listeners"][0]["rules"][0]["type"] = json!("maybe")),
        ("no service", |d| d["listeners"][0]["rules"][0]["action"]["backend"] = Value::Null),
        ("a negative time", |d| d["listeners"][0]["rules"][0]["action"]["timeoutS"] = json!(-1)),
        ("a limit of another type", |d| d["limits"]["maxBodyBytes"] = json!("big")),
    ];
    for (name, change) in cases {
        let mut document = configuration();
        change(&mut document);
        assert!(config::decode(document.to_string().as_bytes()).is_err(), "{name}");
    }
    let mut document = configuration();
    let again = document["listeners"][0]["rules"][0].clone();
    document["listeners"][0]["rules"].as_array_mut().unwrap().push(again);
    assert!(config::decode(document.to_string().as_bytes()).is_err(), "the same place twice");
    let text = configuration().to_string();
    assert!(config::decode(&text.as_bytes()[..text.len() / 2]).is_err(), "cut short");
}

#[test]
fn rows_of_the_operator_are_told_apart() {
    assert_eq!(config::operator_row("config"), OperatorRow::Config);
    let zone = ZoneName::new("sofia-a");
    assert_eq!(config::operator_row("evacuate/sofia-a"), OperatorRow::Evacuate(zone));
    assert_eq!(config::operator_row("other"), OperatorRow::Other);
}

#[test]
fn a_backend_servers_row_is_read() {
    let addr = "10.0.0.1:80".parse().unwrap();
    let backend =
        backend::decode("i-1", &backend_row("shop", addr, "sofia-a", "draining")).unwrap();
    assert_eq!((backend.id.as_str(), backend.service.as_str()), ("i-1", "shop"));
    assert_eq!((backend.addr, backend.slots, backend.is_draining), (addr, 3, true));
}

#[test]
fn rows_by_another_writer_name_no_server() {
    let addr = "10.0.0.1:80".parse().unwrap();
    let whole: Value = serde_json::from_slice(&backend_row("shop", addr, "a", "ready")).unwrap();
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
        let mut row = whole.clone();
        row[field] = value;
        assert!(backend::decode("i-1", row.to_string().as_bytes()).is_err(), "{row}");
    }
    assert!(backend::decode("i-1", &[0xff, 0xfe]).is_err());
    assert!(backend::decode("i-1", b"").is_err());
}

#[test]
fn a_member_is_read_as_it_was_written() {
    let member = Member {
        instance: InstanceId::new("entry-1"),
        start: StartNumber(7),
        ip: "10.0.0.1".parse().unwrap(),
        traffic_addr: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("sofia-a"),
    };
    assert_eq!(member::decode("entry-1", &member::encode(&member)).unwrap(), member);
    assert!(member::decode("entry-1", b"{}").is_err());
}

#[test]
fn lookups_are_read_and_answered() {
    let lookup = Lookup::parse("name=shop.example&region=east%20mids&zone=em-1&more=1&odd");
    let expected = Lookup { region: "east mids".to_owned(), zone: "em-1".to_owned() };
    assert_eq!(lookup, expected);
    assert_eq!(Lookup::parse(""), Lookup::default());
    let answer = lookup_answer(&["10.0.0.1:80".parse().unwrap()], 1_500);
    assert_eq!(String::from_utf8(answer).unwrap(), r#"{"addresses":["10.0.0.1:80"],"ttlS":1.5}"#);
}

#[test]
fn load_reports_are_three_numbers() {
    let expected = LoadReport { running: 3, waiting: 0, slots: 8 };
    assert_eq!(LoadReport::parse("3, 0,8"), Some(expected));
    for text in ["", "3", "3,0", "3,0,8,1", "3,-1,8", "a,b,c"] {
        assert_eq!(LoadReport::parse(text), None, "{text}");
    }
}
