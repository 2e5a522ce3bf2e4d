//! Entry instances that run as processes.

use std::{
    env,
    fs::{self, File},
    net::{IpAddr, SocketAddr},
    os::unix::process::ExitStatusExt,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use azuregate_platform::fakes::settings_text;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time;

use crate::{
    ZONES,
    cluster::{FIRST_PORT, PEER_PORT},
    retries,
};

/// Time between SIGTERM and the exit of a process, as in the settings fixture.
const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// One instance, which has no process while it restarts.
pub(crate) struct Process {
    pub(crate) traffic_addr: SocketAddr,
    pub(crate) readiness_addr: SocketAddr,
    pub(crate) lookup_addr: SocketAddr,
    settings: PathBuf,
    text: String,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Length of the log when the process started.
    log_start_bytes: AtomicU64,
}

impl Process {
    /// Starts instance `number` at `ip`, with the store at `store`.
    pub(crate) fn start(dir: &Path, number: usize, ip: IpAddr, store: SocketAddr) -> Process {
        let name = format!("entry-{number}");
        let (zone, region) = ZONES[number % ZONES.len()];
        let text = settings_text(&name, &ip.to_string(), FIRST_PORT, PEER_PORT, store)
            .replace("self.zone=zone-a", &format!("self.zone={zone}"))
            .replace("self.region=region-1", &format!("self.region={region}"))
            + &retry_settings(retries::BURST);
        let settings = dir.join(format!("{name}.conf"));
        fs::write(&settings, &text).unwrap();
        let process = Process {
            traffic_addr: SocketAddr::new(ip, FIRST_PORT),
            readiness_addr: SocketAddr::new(ip, FIRST_PORT + 1),
            lookup_addr: SocketAddr::new(ip, FIRST_PORT + 2),
            settings,
            text,
            log: dir.join(format!("{name}.log")),
            child: Mutex::new(None),
            log_start_bytes: AtomicU64::new(0),
        };
        process.spawn();
        process
    }

    fn spawn(&self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        self.log_start_bytes.store(log.metadata().unwrap().len(), Ordering::Relaxed);
        let binary = env::var_os("AZUREGATE_SOAK_BINARY");
        let child = Command::new(binary.unwrap_or_else(|| env!("CARGO_BIN_EXE_azuregate").into()))
            .arg("serve")
            .env("AZUREGATE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        *self.child.lock().unwrap() = Some(child);
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &*self.child.lock().unwrap() {
            let pid = Pid::from_child(child);
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills the process and restarts it after `downtime`.
    pub(crate) async fn kill(&self, downtime: Duration) {
        let child = self.child.lock().unwrap().take();
        let Some(mut child) = child else { return };
        let _ = child.kill();
        let _ = child.wait();
        time::sleep(downtime).await;
        self.spawn();
    }

    /// Shuts the process down and restarts it. Returns a problem if the shutdown failed or
    /// took too long.
    pub(crate) async fn stop(&self) -> Option<String> {
        self.signal(Signal::CONT);
        self.signal(Signal::TERM);
        let child = self.child.lock().unwrap().take();
        let mut child = child?;
        let start = Instant::now();
        let problem = loop {
            match child.try_wait().unwrap() {
                Some(status) if status.success() => break None,
                // It was stopped before it opened its ports, so no request is lost.
                Some(status) if ended_by_sigterm(status) && !self.has_logged() => break None,
                Some(status) => break Some(format!("exited with {status}")),
                None if start.elapsed() > GRACE_PERIOD => {
                    let _ = child.kill();
                    let _ = child.wait();
                    break Some("did not exit within the grace period".to_owned());
                }
                None => time::sleep(Duration::from_millis(20)).await,
            }
        };
        time::sleep(Duration::from_millis(200)).await;
        self.spawn();
        problem
    }

    /// Returns whether the process has logged anything since it started.
    fn has_logged(&self) -> bool {
        let length = fs::metadata(&self.log).unwrap().len();
        length > self.log_start_bytes.load(Ordering::Relaxed)
    }

    /// Pauses the process with SIGSTOP.
    pub(crate) async fn pause(&self, duration: Duration) {
        self.signal(Signal::STOP);
        time::sleep(duration).await;
        self.signal(Signal::CONT);
    }

    /// Changes the settings file. Without SIGHUP the process must notice by itself.
    pub(crate) fn change_settings(&self, send_sighup: bool) {
        let burst = fastrand::u32(..=retries::BURST);
        let text = format!("{}{}", self.text, retry_settings(burst));
        fs::write(&self.settings, text).unwrap();
        if send_sighup {
            self.signal(Signal::HUP);
        }
    }

    /// Returns all lines that the process has logged.
    pub(crate) fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap()
    }

    /// Returns a problem if the process exited without being told to.
    pub(crate) fn unexpected_exit(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let status = child.as_mut()?.try_wait().unwrap()?;
        Some(format!("{} exited unexpectedly with {status}", self.log.display()))
    }
}

/// Returns settings of the retry budget that replace earlier ones.
fn retry_settings(burst: u32) -> String {
    let (ratio, window_s) = (retries::RATIO, retries::WINDOW.as_secs_f64());
    format!(
        "terms.bounds.retryBudgetRatio={ratio}\nterms.bounds.retryWindowS={window_s}\n\
         terms.bounds.retryBurst={burst}\n"
    )
}

/// Returns whether SIGTERM terminated a process, as it does before the process installs
/// its handler.
fn ended_by_sigterm(status: ExitStatus) -> bool {
    status.signal() == Some(Signal::TERM.as_raw())
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut *self.child.lock().unwrap() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
