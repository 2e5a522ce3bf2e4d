//! Crowds of clients that stall, and stay connected.

use std::{
    fs,
    net::SocketAddr,
    time::{Duration, Instant},
};

use hyper::Request;
use tokio::{io::AsyncWriteExt, net::TcpStream, task::JoinSet, time};

use crate::deployment::Deployment;

const MEMORY_MB: u64 = 96;
const MAX_FDS: u64 = 500;
/// How long an ordinary client tries again.
const PATIENCE: Duration = Duration::from_secs(20);

/// Sends `head` and then `piece` again and again on each of `count` connections, and leaves them open.
async fn crowd(
    addr: SocketAddr,
    count: usize,
    head: &str,
    piece: &str,
    pieces: usize,
) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for _ in 0..count {
        let (head, piece) = (head.to_owned(), piece.to_owned());
        clients.spawn(async move {
            let Ok(mut stream) = TcpStream::connect(addr).await else { return };
            let send = async {
                stream.write_all(head.as_bytes()).await?;
                for _ in 0..pieces {
                    stream.write_all(piece.as_bytes()).await?;
                }
                std::io::Result::Ok(())
            };
            let _ = send.await;
            std::future::pending().await
        });
    }
    // Nothing tells when all is sent, since some may never be read.
    time::sleep(Duration::from_secs(3)).await;
    clients
}

async fn check(deployment: &mut Deployment) {
    let start = Instant::now();
    let is_served = async || {
        let request = Request::get("/hello").body(Default::default()).unwrap();
        deployment.try_send(0, request).await.is_some_and(|answer| answer.status() == 200)
    };
    while !is_served().await {
        assert!(start.elapsed() < PATIENCE, "an ordinary client is not served");
        time::sleep(Duration::from_millis(200)).await;
    }
    let process = &mut deployment.entries[0];
    assert!(process.try_wait().unwrap().is_none(), "the process has ended");
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let peak_kib: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    let fds = fs::read_dir(format!("/proc/{}/fd", process.id())).unwrap().count();
    eprintln!("peak: {peak_kib} KiB, {fds} descriptors");
    assert!(peak_kib <= MEMORY_MB << 10, "held {peak_kib} KiB");
    assert!(fds as u64 <= MAX_FDS, "{fds} descriptors are open");
}

async fn start(test: &str) -> Deployment {
    Deployment::start_with(test, |example| {
        example.memory_mb = MEMORY_MB;
        example.max_fds = MAX_FDS;
    })
    .await
}

/// Guards against running out of descriptors on connections without a request.
#[tokio::test]
async fn idle_connections_give_way() {
    let mut deployment = start("crowd_idle").await;
    let _crowd = crowd(deployment.traffic(0), 700, "", "", 0).await;
    check(&mut deployment).await;
}

/// Guards against running out of memory on heads that stall.
#[tokio::test]
async fn partial_heads_give_way() {
    let mut deployment = start("crowd_heads").await;
    let head = "GET /hello HTTP/1.1\r\nHost: starter-desk\r\nFiller: ";
    let _crowd = crowd(deployment.traffic(0), 300, head, &"x".repeat(10_000), 38).await;
    check(&mut deployment).await;
}

/// Guards against running out of memory on bodies that stall.
#[tokio::test]
async fn partial_bodies_give_way() {
    let mut deployment = start("crowd_bodies").await;
    let head = "POST /hello HTTP/1.1\r\nHost: starter-desk\r\nTransfer-Encoding: chunked\r\n\r\n";
    let piece = format!("ffff\r\n{}\r\n", "x".repeat(0xffff));
    let _crowd = crowd(deployment.traffic(0), 300, head, &piece, 64).await;
    check(&mut deployment).await;
}
