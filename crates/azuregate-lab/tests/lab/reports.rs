//! Snapshots of the output formats of a report.

use azuregate_lab::load::{Class, Report, RequestOutcome, RequestRecord, audit, svg};

use crate::audit::{ended, refused};

fn ended_requests() -> Vec<RequestRecord> {
    let mut all: Vec<_> = (0..98)
        .map(|i| {
            let mut request = ended(&format!("r{i}"), Class::Read, RequestOutcome::Answered);
            request.due_ms = i * 20;
            request.latency_us = 10_000 + i * 1_000;
            request
        })
        .collect();
    all.push(ended("o1", Class::Keyed, RequestOutcome::Answered));
    all.push(ended("o2", Class::Keyed, refused(503, "not-run")));
    all.push(ended("o3", Class::Keyed, RequestOutcome::Failed("cut short".to_owned())));
    all.push(ended("o4", Class::Keyed, RequestOutcome::MixedUp));
    all
}

fn report() -> Report {
    let ended = ended_requests();
    let mut ran: std::collections::HashMap<_, _> =
        ended.iter().map(|request| (request.name.clone(), 1)).collect();
    ran.remove("o2");
    ran.insert("o1".to_owned(), 2);
    ran.remove("r7");
    Report::new(&ended, 2_000, Some(audit(&ended, &ran)))
}

#[test]
fn as_text() {
    insta::assert_snapshot!(report().to_string());
}

#[test]
fn as_json() {
    insta::assert_json_snapshot!(report());
}

#[test]
fn as_svg() {
    insta::assert_snapshot!(svg("kvas <1> & more", &ended_requests()[..3]));
}
