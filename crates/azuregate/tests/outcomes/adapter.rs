//! The contract of the backend adapter, by fault, method and key. The real adapter
//! and the fake must produce the same table.

use std::fmt::Write;

use azuregate::body;
use hyper::Method;

use crate::{
    script::{Script, Step},
    world::{Adapter, ClientResponse, World, get, order, post},
};

/// The request to send.
#[derive(Clone, Copy, Debug)]
enum Sent {
    Get,
    Post,
    KeyedRow,
    KeyedHome,
    KeyedPut,
}

const SENT: [Sent; 5] = [Sent::Get, Sent::Post, Sent::KeyedRow, Sent::KeyedHome, Sent::KeyedPut];

/// The server's behaviour for the first request; later ones succeed.
const FIRST: [Step; 11] = [
    Step::Ok,
    Step::Slow,
    Step::Refused,
    Step::CutInHead,
    Step::CutInBody,
    Step::CutBeforeAnswer,
    Step::CutInAnswer,
    Step::StallInAnswer,
    Step::Silent,
    Step::Garbage,
    Step::Close,
];

async fn send(world: &World, sent: Sent) -> ClientResponse {
    let request = match sent {
        Sent::Get => get("/list").body(body::empty()).unwrap(),
        Sent::Post => post("/orders").body(body::full("one starter")).unwrap(),
        Sent::KeyedRow => order("k", None),
        Sent::KeyedHome => order("k", Some(&world.home())),
        Sent::KeyedPut => {
            let mut request = order("k", None);
            *request.method_mut() = Method::PUT;
            request
        }
    };
    world.send(request).await
}

fn row(table: &mut String, step: &str, sent: Sent, seen: &ClientResponse, script: &Script) {
    let state = script.state();
    let body = if seen.body.is_some() { "whole" } else { "cut" };
    let sent = format!("{sent:?}");
    writeln!(
        table,
        "{step:16} {sent:10} {} {:8} {:2} {:21} {body:6} ran {} tried {}",
        seen.status, seen.outcome, seen.retry_after, seen.code, state.ran, state.tried
    )
    .unwrap();
}

#[tokio::test]
async fn responses_and_errors_carry_the_request_id() {
    for step in [Step::Ok, Step::CutBeforeAnswer] {
        let world = World::start(Adapter::Fake, Script::new(&[step])).await;
        let request = post("/orders").header("azuregate-request-id", "r7");
        let request = request.body(body::full("one")).unwrap();
        let answer = world.gateway.handle(request, world.addr).await;
        assert_eq!(answer.headers()["azuregate-request-id"], "r7", "{step:?}");
    }
}

/// Sends each request under each fault, keyed requests twice, and returns the
/// results.
async fn table(adapter: Adapter) -> String {
    let mut table = String::new();
    for step in FIRST {
        for sent in SENT {
            if matches!((step, sent), (Step::CutInBody, Sent::Get)) {
                continue;
            }
            let world = World::start(adapter, Script::new(&[step])).await;
            let seen = send(&world, sent).await;
            row(&mut table, &format!("{step:?}"), sent, &seen, &world.script);
            if !matches!(sent, Sent::Get | Sent::Post) {
                let seen = send(&world, sent).await;
                row(&mut table, "  sent again", sent, &seen, &world.script);
            }
        }
    }
    for sent in SENT {
        let script = Script::new(&[]);
        script.state().down = true;
        let world = World::start(adapter, script).await;
        let seen = send(&world, sent).await;
        row(&mut table, "Down", sent, &seen, &world.script);
    }
    table
}

#[tokio::test]
async fn the_real_adapter_keeps_the_contract() {
    insta::assert_snapshot!("contract", table(Adapter::Real).await);
}

#[tokio::test]
async fn the_fake_keeps_the_contract() {
    insta::assert_snapshot!("contract", table(Adapter::Fake).await);
}
