//! Tests of the audit of responses against executions.

use std::collections::HashMap;

use azuregate_lab::load::{Audit, Class, RequestOutcome, RequestRecord, audit};

pub(crate) fn ended(name: &str, class: Class, ending: RequestOutcome) -> RequestRecord {
    RequestRecord { name: name.to_owned(), class, due_ms: 0, latency_us: 20_000, tries: 1, ending }
}

pub(crate) fn refused(status: u16, outcome: &str) -> RequestOutcome {
    RequestOutcome::Refused { status, outcome: outcome.to_owned() }
}

fn failed() -> RequestOutcome {
    RequestOutcome::Failed("cut short".to_owned())
}

#[test]
fn responses_are_checked_against_executions() {
    let names = || vec!["r".to_owned()];
    let none = Audit::default;
    // Class, ending, number of executions, expected audit.
    let table = [
        (Class::Read, RequestOutcome::Answered, 1, none()),
        (Class::Read, RequestOutcome::Answered, 3, Audit { extra_reads: 2, ..none() }),
        (Class::Read, RequestOutcome::Answered, 0, Audit { losses: names(), ..none() }),
        (Class::Keyed, RequestOutcome::Answered, 1, none()),
        (Class::Keyed, RequestOutcome::Answered, 2, Audit { duplicates: names(), ..none() }),
        (Class::Upload, RequestOutcome::Answered, 2, Audit { duplicates: names(), ..none() }),
        (Class::Upload, RequestOutcome::Answered, 0, Audit { losses: names(), ..none() }),
        (Class::Keyed, refused(503, "not-run"), 0, none()),
        (Class::Keyed, refused(503, "not-run"), 1, Audit { false_not_run: names(), ..none() }),
        (Class::Keyed, refused(409, "unknown"), 1, Audit { unanswered_runs: 1, ..none() }),
        (Class::Keyed, refused(409, "unknown"), 0, none()),
        (Class::Keyed, failed(), 1, Audit { unanswered_runs: 1, ..none() }),
        (Class::Keyed, failed(), 2, Audit { duplicates: names(), unanswered_runs: 2, ..none() }),
    ];
    for (class, ending, runs, expected) in table {
        let case = format!("{class:?} {ending:?} ran {runs} times");
        let ran = HashMap::from([("r".to_owned(), runs), ("of another run".to_owned(), 7)]);
        let audit = audit(&[ended("r", class, ending)], &ran);
        let clean = expected.duplicates.is_empty()
            && expected.losses.is_empty()
            && expected.false_not_run.is_empty();
        assert_eq!(audit, expected, "{case}");
        assert_eq!(audit.is_clean(), clean, "{case}");
    }
}
