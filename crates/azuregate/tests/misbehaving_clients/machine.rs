//! One instance as a process, and what it holds of its machine.

use std::{
    fs,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    sync::{Mutex, MutexGuard},
    time,
};

use crate::{
    cluster::{Client, PEER_PORT, TestCluster, get_request},
    process::Process,
};

/// The memory of the machine.
pub(crate) const MEMORY_MB: u64 = 96;
/// The file descriptors that the process may have open.
pub(crate) const MAX_FDS: u64 = 500;
/// Longer than any test, so that no timeout ends a stalled request.
pub(crate) const ROUTE_TIMEOUT_MS: u64 = 120_000;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// How long an ordinary client tries again.
const PATIENCE: Duration = Duration::from_secs(30);

static RUNNING: Mutex<()> = Mutex::const_new(());

/// The most that a process has held.
#[derive(Debug, Default)]
struct Peaks {
    /// Its memory together with the bytes that its sockets hold.
    memory_bytes: AtomicU64,
    fds: AtomicU64,
    is_stopped: AtomicBool,
}

/// A machine that runs one instance.
pub(crate) struct Machine {
    pub(crate) cluster: TestCluster,
    pub(crate) process: Process,
    peaks: Arc<Peaks>,
    _guard: MutexGuard<'static, ()>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.peaks.is_stopped.store(true, Ordering::Relaxed);
    }
}

impl Machine {
    /// Starts an instance that takes bodies of `max_body_bytes`, and two backend servers.
    pub(crate) async fn start(max_body_bytes: usize) -> Machine {
        Machine::start_with(max_body_bytes, "terms.bounds.retryBudgetRatio=0.2\n").await
    }

    /// Starts the same with further lines of settings.
    pub(crate) async fn start_with(max_body_bytes: usize, lines: &str) -> Machine {
        let guard = RUNNING.lock().await;
        let mut cluster = TestCluster::start(2).await;
        cluster.update_config(|config| {
            config.max_body_bytes = max_body_bytes;
            config.timeout_ms = ROUTE_TIMEOUT_MS;
        });
        let limits =
            format!("self.limits.memoryMb={MEMORY_MB}\nself.limits.maxFds={MAX_FDS}\n{lines}");
        let process = Process::start_with(&cluster, 1, &limits).await;
        let peaks = Arc::<Peaks>::default();
        std::thread::spawn({
            let (peaks, id, ip) = (Arc::clone(&peaks), process.id(), process.traffic_addr.ip());
            move || sample(&peaks, id, ip)
        });
        Machine { cluster, process, peaks, _guard: guard }
    }

    /// Returns the address at which other instances forward requests.
    pub(crate) fn forwarding_addr(&self) -> SocketAddr {
        SocketAddr::new(self.process.traffic_addr.ip(), PEER_PORT + 1)
    }

    /// Checks that an ordinary client is served, and that the process has stayed within its machine.
    pub(crate) async fn check(&mut self) {
        assert!(!self.process.has_exited(), "the process has ended");
        let read = get_request("/read/x", "ordinary-read");
        assert!(self.is_served(&read).await, "an ordinary read is not served");
        let write = format!(
            "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: ordinary-write\r\n\
             X-Deadline-Ms: 5000\r\nContent-Length: 100000\r\n\r\n{}",
            "x".repeat(100_000)
        );
        assert!(self.is_served(&write).await, "an ordinary write is not served");
        assert!(!self.process.has_exited(), "the process has ended");
        let memory_bytes =
            self.process.peak_memory_bytes().max(self.peaks.memory_bytes.load(Ordering::Relaxed));
        let fds = self.peaks.fds.load(Ordering::Relaxed);
        eprintln!("peaks: {} KiB, {fds} descriptors", memory_bytes >> 10);
        assert!(memory_bytes <= MEMORY_MB << 20, "held {} KiB", memory_bytes >> 10);
        assert!(fds <= MAX_FDS, "{fds} descriptors were open");
    }

    /// Sends a request on new connections until it is served.
    async fn is_served(&self, request: &str) -> bool {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            let attempt = async {
                let mut client = Client::try_connect(self.process.traffic_addr).await?;
                client.send(request).await;
                client.response().await
            };
            let response = time::timeout(PATIENCE, attempt).await.ok().flatten();
            if response.is_some_and(|response| response.status == 200) {
                return true;
            }
            time::sleep(Duration::from_millis(200)).await;
        }
        false
    }

    /// Waits until `sent_bytes` has not changed for two seconds.
    pub(crate) async fn settle(&self, sent_bytes: &AtomicU64) {
        let (mut last, mut since) = (u64::MAX, Instant::now());
        eventually_settled(async || {
            let now = sent_bytes.load(Ordering::Relaxed);
            if now != last {
                (last, since) = (now, Instant::now());
            }
            since.elapsed() > Duration::from_secs(2)
        })
        .await;
    }
}

async fn eventually_settled(mut is_settled: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !is_settled().await && start.elapsed() < Duration::from_secs(60) {
        time::sleep(Duration::from_millis(50)).await;
    }
}

fn sample(peaks: &Peaks, id: u32, ip: IpAddr) {
    while !peaks.is_stopped.load(Ordering::Relaxed) {
        let memory_bytes = resident_bytes(id) + socket_bytes(ip);
        peaks.memory_bytes.fetch_max(memory_bytes, Ordering::Relaxed);
        let fds = fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
        peaks.fds.fetch_max(fds as u64, Ordering::Relaxed);
        std::thread::sleep(SAMPLE_INTERVAL);
    }
}

fn resident_bytes(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
    kib << 10
}

/// Returns the bytes that sockets at `ip` have received and the process has not read, or that it has written
/// and the peer has not acknowledged.
fn socket_bytes(ip: IpAddr) -> u64 {
    let IpAddr::V4(ip) = ip else { return 0 };
    let ip = format!("{:08X}", u32::from_le_bytes(ip.octets()));
    let table = fs::read_to_string("/proc/net/tcp").unwrap();
    let lines = table.lines().filter_map(|line| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (local, _, state, queues) =
            (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let is_listening = state == "0A";
        let (sent, received) = queues.split_once(':')?;
        let bytes = u64::from_str_radix(sent, 16).ok()? + u64::from_str_radix(received, 16).ok()?;
        (local.starts_with(&ip) && !is_listening).then_some(bytes)
    });
    lines.sum()
}
