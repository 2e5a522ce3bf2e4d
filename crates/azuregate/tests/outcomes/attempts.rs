//! The outcome of a request with several attempts.

use azuregate::body;

use crate::{
    script::{Script, Step},
    world::{Adapter, World, get, post},
};

// One attempt runs and loses its response, the others are refused. The request may
// have run, whatever the last attempt reports.
#[tokio::test]
async fn an_attempt_that_may_have_run_makes_the_outcome_unknown() {
    use Step::{CutBeforeAnswer, Refused};
    let table: [(&[Step], &str, usize); 4] = [
        (&[CutBeforeAnswer, Refused, Refused], "unknown", 1),
        (&[Refused, CutBeforeAnswer, Refused], "unknown", 1),
        (&[Refused, Refused, CutBeforeAnswer], "unknown", 1),
        (&[Refused, Refused, Refused], "not-run", 0),
    ];
    for (steps, outcome, ran) in table {
        let world = World::start(Adapter::Real, Script::new(steps)).await;
        // Fill the retry budget, so that it does not limit the attempts.
        for _ in 0..20 {
            world.warm_up().await;
        }
        let seen = world.send(get("/list").body(body::empty()).unwrap()).await;
        assert_eq!((seen.outcome.as_str(), world.script.state().ran), (outcome, ran), "{steps:?}");
    }
}

#[tokio::test]
async fn a_request_refused_by_every_attempt_has_not_run() {
    let steps = [Step::Refused; 3];
    let world = World::start(Adapter::Real, Script::new(&steps)).await;
    let seen = world.send(post("/orders").body(body::full("one")).unwrap()).await;
    assert_eq!((seen.outcome.as_str(), world.script.state().ran), ("not-run", 0));
}
