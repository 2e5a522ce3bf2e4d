//! Reads, while the instance that dispatches for some of their backend servers
//! dies or freezes.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::{task::JoinSet, time};

use crate::{deployment::Deployment, outcomes::signal};

/// Callers that each send their next read when the last was answered: more than
/// the nearest zones have slots, so that some are handed over to the others.
const CALLERS: usize = 10;
/// What the platform's list, a connection and the frames may take to show it.
const SETTLE: Duration = Duration::from_secs(4);

/// What became of one read: status and outcome.
type Seen = (u16, String);

async fn read(deployment: &Deployment) -> Seen {
    let request = Request::get("/hello").header("azuregate-timeout-ms", "8000");
    let answer = deployment.send(0, request.body(Full::<Bytes>::default()).unwrap()).await;
    let outcome = answer.headers().get("azuregate-outcome");
    (answer.status().as_u16(), outcome.map_or("-", |o| o.to_str().unwrap()).to_owned())
}

/// Reads from all callers for some time; returns what they saw.
async fn reads(deployment: &Arc<Deployment>, lasting: Duration) -> Vec<Seen> {
    let end = time::Instant::now() + lasting;
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        let deployment = Arc::clone(deployment);
        callers.spawn(async move {
            let mut seen = Vec::new();
            while time::Instant::now() < end {
                seen.push(read(&deployment).await);
            }
            seen
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

fn answered(seen: &[Seen]) -> usize {
    seen.iter().filter(|(status, _)| *status == 200).count()
}

// Callers read through one instance while another, which dispatches for the next
// zone, is killed. Reads that were handed over to it break and are tried again
// from here; nothing is told to be unknown. A moment later all is as before.
#[tokio::test]
async fn reads_go_on_when_a_dispatcher_is_killed() {
    let mut deployment = Deployment::start("dispatcher_killed").await;
    let mut dispatcher = deployment.entries.remove(1);
    let deployment = Arc::new(deployment);
    reads(&deployment, Duration::from_millis(500)).await;
    let reading = Arc::clone(&deployment);
    let during = tokio::spawn(async move { reads(&reading, SETTLE).await });
    time::sleep(Duration::from_millis(300)).await;
    dispatcher.kill().unwrap();
    dispatcher.wait().unwrap();
    let during = during.await.unwrap();
    let lost: Vec<_> = during.iter().filter(|(_, outcome)| outcome == "unknown").collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert!(
        answered(&during) * 10 >= during.len() * 9,
        "{} of {}",
        answered(&during),
        during.len()
    );
    let after = reads(&deployment, Duration::from_secs(1)).await;
    assert_eq!(answered(&after), after.len());
}

// The same instance is frozen: its connections stay open and nothing comes back.
// After half a second without a sign of life it is passed over, and the reads
// that wait for it are sent elsewhere. It wakes, and nothing is doubled or mixed
// up: reads are answered as before.
#[tokio::test]
async fn reads_go_on_while_a_dispatcher_is_frozen() {
    let mut deployment = Deployment::start("dispatcher_frozen").await;
    let mut dispatcher = deployment.entries.remove(1);
    let deployment = Arc::new(deployment);
    reads(&deployment, Duration::from_millis(500)).await;
    let reading = Arc::clone(&deployment);
    let during = tokio::spawn(async move { reads(&reading, SETTLE).await });
    time::sleep(Duration::from_millis(300)).await;
    signal("-STOP", &dispatcher);
    let during = during.await.unwrap();
    let frozen = reads(&deployment, Duration::from_secs(1)).await;
    signal("-CONT", &dispatcher);
    let woken = reads(&deployment, Duration::from_secs(1)).await;
    dispatcher.kill().unwrap();
    dispatcher.wait().unwrap();
    let lost: Vec<_> = during.iter().filter(|(_, outcome)| outcome == "unknown").collect();
    assert!(lost.is_empty(), "{lost:?}");
    // Each caller loses a moment, and no more: without passing over, each would
    // sit at the frozen instance for its whole deadline.
    assert!(answered(&during) >= CALLERS * 30, "{} answered", answered(&during));
    assert!(
        answered(&frozen) * 10 >= frozen.len() * 9,
        "{} of {}",
        answered(&frozen),
        frozen.len()
    );
    assert!(!frozen.is_empty());
    assert!(answered(&woken) * 10 >= woken.len() * 9, "{} of {}", answered(&woken), woken.len());
}
