//! An entry instance as a process, and what the system says of it.

use std::{
    fs,
    net::SocketAddr,
    path::Path,
    process::{Child, Command, Stdio},
    time::Duration,
};

use azuregate_lab::{
    client::{self, ClientError},
    example::Example,
};
use tokio::time;

/// Processor time is told in hundredths of a second on all common systems.
const TICK_US: u64 = 10_000;
/// Columns of `/proc/PID/stat` after the name: time in user mode, in the kernel.
const USER_COLUMN: usize = 11;
const KERNEL_COLUMN: usize = 12;

/// A running entry process; ended when dropped.
pub(crate) struct Entry {
    #[allow(dead_code, reason = "one of the two benches that share this module makes no calls")]
    pub(crate) traffic: SocketAddr,
    child: Child,
}

impl Entry {
    /// Starts the first entry instance of an example from the binary that the
    /// same build made.
    pub(crate) async fn start(example: &Example) -> Result<Entry, ClientError> {
        let entry = &example.entries[0];
        let binary = Path::new(env!("CARGO_BIN_EXE_azuregate-lab")).with_file_name("azuregate");
        let mut settings = example.settings(entry);
        settings.log_filter = "error".to_owned();
        let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{}.jsonc", entry.ip));
        fs::write(&file, serde_json::to_string(&settings)?)?;
        let child = Command::new(&binary)
            .arg("run")
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| format!("{}: {e}; run `cargo build --release` first", binary.display()))?;
        let traffic = SocketAddr::new(entry.ip, example.ports.traffic);
        let started = Entry { traffic, child };
        let status = SocketAddr::new(entry.ip, example.ports.status);
        for _ in 0..100 {
            if client::get(status, "/ready").await.is_ok_and(|a| a.status().is_success()) {
                return Ok(started);
            }
            time::sleep(Duration::from_millis(100)).await;
        }
        Err("the entry instance never got ready".into())
    }

    /// Memory that is resident now.
    pub(crate) fn resident_kib(&self) -> Result<u64, ClientError> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.trim().strip_suffix(" kB")).ok_or("no VmRSS")?;
        Ok(kib.trim().parse()?)
    }

    /// Processor time that was used so far, in user mode and in the kernel.
    pub(crate) fn processor_us(&self) -> Result<u64, ClientError> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let (_, rest) = stat.rsplit_once(')').ok_or("no name in stat")?;
        let columns: Vec<&str> = rest.split_whitespace().collect();
        let ticks: u64 =
            columns[USER_COLUMN].parse::<u64>()? + columns[KERNEL_COLUMN].parse::<u64>()?;
        Ok(ticks * TICK_US)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
