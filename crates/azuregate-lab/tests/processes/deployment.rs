//! A small deployment of separate processes, on IP numbers of its own.

use std::{
    fs,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use azuregate_core::route::hash;
use azuregate_lab::{client, example::Example};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};

/// How long anything may take before a test gives up.
const PATIENCE: Duration = Duration::from_secs(20);

/// Processes that end with the test.
pub(crate) struct Deployment {
    pub(crate) example: Example,
    pub(crate) entries: Vec<Child>,
    stand_ins: Child,
}

impl Deployment {
    /// Starts stand-ins and entry instances; `test` names the deployment.
    pub(crate) async fn start(test: &str) -> Deployment {
        Deployment::start_with(test, |_| {}).await
    }

    /// The same, with changes to the example.
    pub(crate) async fn start_with(test: &str, change: impl FnOnce(&mut Example)) -> Deployment {
        let mut example = example(test);
        change(&mut example);
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        fs::create_dir_all(&dir).unwrap();
        let file = dir.join("example.jsonc");
        fs::write(&file, serde_json::to_string(&example).unwrap()).unwrap();
        let stand_ins = Command::new(env!("CARGO_BIN_EXE_azuregate-lab"))
            .arg("stand-ins")
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let entries = (0..example.entries.len()).map(|i| start_entry(&example, i, &dir)).collect();
        let deployment = Deployment { example, entries, stand_ins };
        for index in 0..deployment.entries.len() {
            deployment.wait_ready(index).await;
        }
        deployment
    }

    /// Where an entry instance takes requests.
    pub(crate) fn traffic(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.example.entries[index].ip, self.example.ports.traffic)
    }

    /// Where an entry instance takes operators' calls.
    pub(crate) fn operators(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.example.entries[index].ip, self.example.ports.operators)
    }

    /// Sends a request for the example's first service to an entry instance.
    pub(crate) async fn send(
        &self,
        index: usize,
        mut request: Request<Full<Bytes>>,
    ) -> Response<Bytes> {
        let host = self.example.services[0].name.as_str().parse().unwrap();
        request.headers_mut().insert("host", host);
        client::call(self.traffic(index), request).await.unwrap()
    }

    /// The same, or returns `None` if there is no response.
    pub(crate) async fn try_send(
        &self,
        index: usize,
        mut request: Request<Full<Bytes>>,
    ) -> Option<Response<Bytes>> {
        let host = self.example.services[0].name.as_str().parse().unwrap();
        request.headers_mut().insert("host", host);
        client::call(self.traffic(index), request).await.ok()
    }

    /// How often a request ran, over all backend servers.
    pub(crate) async fn runs(&self, request_id: &str) -> u64 {
        let mut runs = 0;
        for backend in self.example.backends(&self.example.services[0]) {
            let answer = client::get(backend.addr, "/lab/ran").await.unwrap();
            let ran: std::collections::HashMap<String, u64> =
                serde_json::from_slice(answer.body()).unwrap();
            runs += ran.get(request_id).copied().unwrap_or(0);
        }
        runs
    }

    async fn wait_ready(&self, index: usize) {
        let addr = SocketAddr::new(self.example.entries[index].ip, self.example.ports.status);
        let start = Instant::now();
        loop {
            if client::get(addr, "/ready").await.is_ok_and(|a| a.status().is_success()) {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "{addr} never got ready");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.entries.iter_mut().chain([&mut self.stand_ins]) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The binary under test, which the same build puts beside the lab's.
pub(crate) fn azuregate() -> PathBuf {
    Path::new(env!("CARGO_BIN_EXE_azuregate-lab")).with_file_name("azuregate")
}

fn start_entry(example: &Example, index: usize, dir: &Path) -> Child {
    let entry = &example.entries[index];
    let file = dir.join(format!("{}.jsonc", entry.id));
    let mut settings = example.settings(entry);
    settings.log_filter = "warn".to_owned();
    fs::write(&file, serde_json::to_string(&settings).unwrap()).unwrap();
    Command::new(azuregate())
        .arg("run")
        .arg("--settings")
        .arg(&file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

/// The Kvas example, cut down to three entry instances and six backend servers,
/// on IP numbers that follow from the test's name.
fn example(test: &str) -> Example {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/kvas.jsonc");
    let mut example = Example::load(file.as_ref()).unwrap();
    // Two checkouts may test at once on one machine, so the folder counts too.
    let checkout = env!("CARGO_TARGET_TMPDIR");
    let [.., second, third] = hash::stable_hash(&[test, checkout]).to_be_bytes();
    let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, 64 + second / 2, third, last));
    example.entries.truncate(3);
    for (entry, last) in example.entries.iter_mut().zip(1..) {
        entry.ip = ip(last);
    }
    example.platform_addr.set_ip(ip(100));
    example.services.truncate(1);
    example.services[0].ip = ip(200);
    example.services[0].upstreams = 6;
    example.stop_delay_ms = 200;
    example
}
