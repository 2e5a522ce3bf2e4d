//! An entry instance that runs as a process, so that it can get signals, and its memory and its log be
//! read.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use azuregate_platform::settings::Settings;
use rustix::process::{Pid, Signal, kill_process};

use crate::cluster::{METRICS_PORT, TestCluster, eventually, metric, readiness_status};

/// A process that ends when this is dropped.
pub(crate) struct Process {
    pub(crate) traffic_addr: SocketAddr,
    pub(crate) lookup_addr: SocketAddr,
    metrics_addr: SocketAddr,
    log: PathBuf,
    child: Child,
}

impl Process {
    /// Starts an instance and waits until it is ready.
    pub(crate) async fn start(cluster: &TestCluster, number: u8) -> Process {
        Process::start_with(cluster, number, "").await
    }

    /// Starts an instance with further lines of settings, and waits until it is ready.
    pub(crate) async fn start_with(cluster: &TestCluster, number: u8, lines: &str) -> Process {
        let text = cluster.settings_text(number) + lines;
        let settings = Settings::parse(&text).unwrap();
        let file = cluster.settings_file(number);
        fs::write(&file, &text).unwrap();
        let log = file.with_extension("log");
        let child = Command::new(env!("CARGO_BIN_EXE_azuregate"))
            .arg("serve")
            .env("AZUREGATE_SETTINGS", file)
            .stdin(Stdio::null())
            .stdout(File::create(&log).unwrap())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let readiness_addr = settings.readiness_addr;
        eventually("the process is ready", async || readiness_status(readiness_addr).await == 200)
            .await;
        Process {
            traffic_addr: settings.traffic_addr,
            lookup_addr: settings.lookup_addr,
            metrics_addr: SocketAddr::new(settings.ip, METRICS_PORT),
            log,
            child,
        }
    }

    /// Returns the process ID.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns all lines that the process has logged.
    pub(crate) fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_exited(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }

    /// Returns the log line of the request `id`.
    pub(crate) fn request_line(&self, id: &str) -> Option<String> {
        let log = fs::read_to_string(&self.log).unwrap();
        let line = log.lines().find(|line| line.contains(&format!("message=request id={id} ")));
        line.map(str::to_owned)
    }

    /// Returns the value of a metric without labels.
    pub(crate) async fn metric(&self, name: &str) -> u64 {
        metric(self.metrics_addr, name).await
    }

    /// Returns the largest memory that the process has had, in bytes.
    pub(crate) fn peak_memory_bytes(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
        kib * 1_024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
