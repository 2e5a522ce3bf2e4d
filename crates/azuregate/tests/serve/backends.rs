//! Distribution of requests over backend servers that drain, fail or lose their rows.

use std::time::Duration;

use azuregate_platform::fakes::{Behaviour, StoreFault, backend_row};
use tokio::time;

use crate::cluster::{Instance, SERVICE, TestCluster, eventually, get_request};

/// Sends reads of 30 objects and returns the number received by each server.
async fn requests_per_server(cluster: &TestCluster, instance: &Instance, name: &str) -> Vec<usize> {
    for number in 0..30 {
        let request = get_request("/read/x", &format!("{name}-{number}"));
        let request = request.replace("X-Affinity-Key: 17", &format!("X-Affinity-Key: k{number}"));
        instance.send(&request).await.unwrap();
    }
    let is_counted =
        |request: &azuregate_platform::fakes::ReceivedRequest| request.id.starts_with(name);
    cluster
        .backends
        .iter()
        .map(|backend| backend.received().iter().filter(|request| is_counted(request)).count())
        .collect()
}

#[tokio::test]
async fn objects_are_distributed_over_all_servers() {
    let cluster = TestCluster::start(3).await;
    let instance = cluster.start_ready_instance(1).await;
    let counts = requests_per_server(&cluster, &instance, "all").await;
    assert!(counts.iter().all(|&count| count > 0), "{counts:?}");
}

/// Guards against sending requests to a server that drains or whose row is removed.
#[tokio::test]
async fn leaving_server_receives_no_new_requests() {
    for is_announced in [true, false] {
        let cluster = TestCluster::start(3).await;
        let instance = cluster.start_ready_instance(1).await;
        let leaving = &cluster.backends[1];
        match is_announced {
            true => {
                let row = backend_row(SERVICE, leaving.addr(), "zone-a", "draining");
                cluster.store.put("servers", &leaving.id(), row);
            }
            false => cluster.store.remove("servers", &leaving.id()),
        }
        let mut round = 0;
        eventually("the server receives no requests", async || {
            round += 1;
            let counts = requests_per_server(&cluster, &instance, &format!("round{round}")).await;
            counts[1] == 0 && counts.iter().sum::<usize>() == 30
        })
        .await;
    }
}

/// Guards against ignoring the evacuation of a zone, or its end.
#[tokio::test]
async fn evacuated_zone_receives_no_requests() {
    let mut cluster = TestCluster::start(1).await;
    let evacuated = cluster.add_backend("zone-c").await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.store.put("op", "evacuate/zone-c", "{}");
    let mut round = 0;
    eventually("the zone receives no requests", async || {
        round += 1;
        requests_per_server(&cluster, &instance, &format!("round{round}")).await == [30, 0]
    })
    .await;
    cluster.store.remove("op", "evacuate/zone-c");
    eventually("the zone receives requests again", async || {
        requests_per_server(&cluster, &instance, "back").await;
        evacuated.received().iter().any(|request| request.id.starts_with("back"))
    })
    .await;
}

/// Guards against removing all servers because their rows expired during a store outage.
/// Servers need some time after it to write their rows again.
#[tokio::test]
async fn rows_expired_during_store_outage_are_retained() {
    let cluster = TestCluster::start(2).await;
    let instance = cluster.start_ready_instance(1).await;
    cluster.store.set_fault(StoreFault::ErrorStatus(503));
    time::sleep(Duration::from_millis(1_500)).await;
    cluster.backends.iter().for_each(|backend| cluster.store.remove("servers", &backend.id()));
    cluster.store.set_fault(StoreFault::None);
    let start = time::Instant::now();
    while start.elapsed() < Duration::from_millis(1_500) {
        let response = instance.send(&get_request("/read/x", "r1")).await.unwrap();
        assert_eq!(response.status, 200, "after {:?}", start.elapsed());
        time::sleep(Duration::from_millis(50)).await;
    }
    eventually("servers without rows are removed", async || {
        instance.send(&get_request("/read/x", "r2")).await.unwrap().status == 503
    })
    .await;
}

/// Guards against timed-out requests not counting as failures of their server, which would
/// then keep receiving requests.
#[tokio::test]
async fn server_that_times_out_is_avoided() {
    let mut cluster = TestCluster::start(3).await;
    cluster.update_config(|config| config.timeout_ms = 200);
    let instance = cluster.start_ready_instance(1).await;
    cluster.backends[1].set(Behaviour::Delay(Duration::from_secs(5)));
    let mut round = 0;
    eventually("the server receives no requests", async || {
        round += 1;
        requests_per_server(&cluster, &instance, &format!("round{round}")).await[1] == 0
    })
    .await;
}
