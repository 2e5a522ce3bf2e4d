//! A faulty upstream spoils a few of its answers: they are chunked and name a length as well, which is
//! not that of their body.

use std::sync::Arc;

use crate::{
    client::{self, Outcome, Request},
    record::Record,
    upstream::LONG_ANSWER_BYTES,
    world::{self, Plan, Route, World, config},
};

const READS: usize = 200;

pub fn run(record: &Arc<Record>, has_trouble: bool) -> ! {
    let routes = [Route {
        name: "views",
        kind: "idempotent",
        prefix: "/views/",
        service: "listings-app",
        timeout_s: 1.0,
    }];
    let world = World::start(
        &Plan {
            machines: &["em-derby", "wm-brum"],
            upstreams: &[("listings-app", "em-derby"), ("listings-app", "wm-brum")],
            config: config(1, &routes, &["listings-app"]),
        },
        record,
    );
    let spoil = u8::from(has_trouble);
    let outcomes: Vec<Outcome> = (1..=READS)
        .map(|n| {
            let request = Request {
                id: &format!("view-{n}"),
                method: "GET",
                path: &format!("/views/a?spoil={spoil}"),
                body_bytes: 0,
                bytes_per_s: 0,
                deadline_ms: 1_200,
            };
            client::send_once(world.machines[n % 2].traffic, &request, record)
        })
        .collect();
    world.end(&judge(&outcomes));
}

fn judge(outcomes: &[Outcome]) -> Vec<String> {
    let is_success = |o: &&Outcome| o.status == 200 && o.is_signed;
    let is_whole = |o: &&Outcome| o.body_bytes == LONG_ANSWER_BYTES;
    let whole = outcomes.iter().filter(is_success).filter(is_whole).count();
    if whole < READS / 2 {
        world::cannot_run(&format!("only {whole} of {READS} reads were served"));
    }
    let cut = outcomes.iter().filter(is_success).filter(|o| !is_whole(o));
    cut.map(|outcome| {
        format!(
            "MIXED: {} got 200 with a signature and a body of {} bytes that is complete by its \
             length; the upstream's body has {LONG_ANSWER_BYTES}",
            outcome.id, outcome.body_bytes
        )
    })
    .collect()
}
