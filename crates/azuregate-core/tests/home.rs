//! The home table, checked against a model.

#![allow(clippy::unwrap_used, reason = "a test that panics has failed")]

use std::collections::{HashMap, HashSet};

use azuregate_core::{
    claim::{Decision, Settled, StoredBody, StoredResponse},
    error::ErrorKind,
    home::{Config, HomeTable, HomeToken},
    names::{InstanceId, StartNumber},
    time::Millis,
};
use proptest::prelude::*;

const SMALL: Config = Config { validity_ms: 100, skew_ms: 10, max_keys: 5, max_answer_bytes: 50 };

fn answer(bytes: usize) -> Settled {
    let body = StoredBody::Inline(vec![0; bytes]);
    Settled::Answer(StoredResponse { status: 200, headers: Vec::new(), body })
}

/// One step of the callers or of the clock.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    /// A new key, with a token whose clock is off by this much.
    New {
        off_ms: i64,
    },
    /// A repeat of an earlier key, with its token.
    Repeat(usize),
    Settle(usize, usize),
    Release(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0_u64..90).prop_map(Step::Wait),
        (-200_i64..200).prop_map(|off_ms| Step::New { off_ms }),
        (0_usize..100).prop_map(Step::Repeat),
        (0_usize..100, 0_usize..40).prop_map(|(key, bytes)| Step::Settle(key, bytes)),
        (0_usize..100).prop_map(Step::Release),
    ]
}

proptest! {
    // Guards against a key that runs twice although callers repeat keys at any time,
    // clocks are off, and keys and answers are evicted. A key may run again only after
    // its claim was released.
    #[test]
    fn no_key_runs_twice(steps in prop::collection::vec(step(), 1..200)) {
        let mut table = HomeTable::new(SMALL);
        let mut now_ms = Millis(1_000);
        let mut tokens = Vec::new();
        let mut running: HashMap<usize, u64> = HashMap::new();
        let mut ran: HashSet<usize> = HashSet::new();
        for step in steps {
            let key = match step {
                Step::Wait(ms) => { now_ms = now_ms + Millis(ms); continue }
                Step::New { off_ms } => {
                    tokens.push(Millis(now_ms.0.saturating_add_signed(off_ms)));
                    tokens.len() - 1
                }
                Step::Repeat(key) if key < tokens.len() => key,
                Step::Settle(key, bytes) => {
                    if let Some(sequence) = running.remove(&key) {
                        table.settle(&key.to_string(), sequence, answer(bytes));
                    }
                    continue
                }
                Step::Release(key) => {
                    if let Some(sequence) = running.remove(&key) {
                        table.release(&key.to_string(), sequence);
                        ran.remove(&key);
                    }
                    continue
                }
                Step::Repeat(_) => continue,
            };
            let (decision, sequence) = table.claim(&key.to_string(), 7, tokens[key], now_ms);
            if decision == Decision::Run {
                prop_assert!(ran.insert(key), "key {key} ran twice");
                running.insert(key, sequence);
            }
            prop_assert!(table.len() <= SMALL.max_keys);
            prop_assert!(table.answer_bytes() <= SMALL.max_answer_bytes);
        }
    }

    #[test]
    fn token_round_trips(name in "[a-z][a-z0-9.-]{0,20}", start: u64, issued: u64) {
        let (instance, start) = (InstanceId::new(&name), StartNumber(start));
        let token = HomeToken { instance, start, issued_at_ms: Millis(issued) };
        prop_assert_eq!(token.to_string().parse(), Ok(token));
    }
}

#[test]
fn malformed_tokens_are_rejected() {
    for text in ["", "entry-1", "entry-1.1", ".1.2", "entry-1.x.2", "entry-1.1.", "e.1.-2"] {
        assert!(text.parse::<HomeToken>().is_err(), "{text:?}");
    }
}

#[test]
fn full_table_rejects_new_keys_and_evicts_old_answers() {
    let mut table = HomeTable::new(SMALL);
    let now_ms = Millis(1_000);
    for key in 0..5 {
        let (decision, sequence) = table.claim(&key.to_string(), 7, now_ms, now_ms);
        assert_eq!(decision, Decision::Run);
        table.settle(&key.to_string(), sequence, answer(20));
    }
    let full = table.claim("5", 7, now_ms, now_ms).0;
    assert_eq!(full, Decision::Reject(ErrorKind::ClaimsFull));
    let oldest = table.claim("0", 7, now_ms, now_ms).0;
    assert_eq!(oldest, Decision::Reject(ErrorKind::AnswerNotKept));
    assert!(matches!(table.claim("4", 7, now_ms, now_ms).0, Decision::Replay(_)));
    let other = table.claim("4", 8, now_ms, now_ms).0;
    assert_eq!(other, Decision::Reject(ErrorKind::ClaimMismatch));
    for (after_ms, decision) in [(0, Decision::Reject(ErrorKind::ClaimsFull)), (1, Decision::Run)] {
        let then_ms = now_ms + Millis(table.next_expiry_in_ms(now_ms) + after_ms);
        assert_eq!(table.claim("5", 7, then_ms, then_ms).0, decision);
    }
}
