//! Entry instances as processes of their own.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use rustix::process::{Pid, Signal, kill_process};
use tokio::time;

use crate::{
    client::{self, ClientError},
    example::{EntryExample, Example},
};

/// How long an instance may take to get ready.
const READY: Duration = Duration::from_secs(15);

/// The entry instances of an example, each a process; killed when dropped.
pub(crate) struct Entries {
    children: Vec<Child>,
    dir: PathBuf,
}

impl Entries {
    /// Starts the `azuregate` binary that lies beside this one for each entry
    /// instance, and waits until all are ready.
    pub(crate) async fn start(example: &Example) -> Result<Entries, ClientError> {
        let binary = std::env::current_exe()?.with_file_name("azuregate");
        if !binary.exists() {
            let text = format!("{} is missing: build the whole workspace", binary.display());
            return Err(text.into());
        }
        let dir = std::env::temp_dir().join(format!("azuregate-lab-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut entries = Entries { children: Vec::new(), dir };
        for entry in &example.entries {
            entries.children.push(start(&binary, example, entry, &entries.dir)?);
        }
        for entry in &example.entries {
            wait_ready(SocketAddr::new(entry.ip, example.ports.status)).await?;
        }
        Ok(entries)
    }

    /// Kills one at once.
    pub(crate) fn kill(&mut self, index: usize) -> io::Result<()> {
        self.children[index].kill()
    }

    /// Freezes one.
    pub(crate) fn freeze(&self, index: usize) -> io::Result<()> {
        self.signal(index, Signal::STOP)
    }

    /// Lets a frozen one go on.
    pub(crate) fn thaw(&self, index: usize) -> io::Result<()> {
        self.signal(index, Signal::CONT)
    }

    fn signal(&self, index: usize, signal: Signal) -> io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.children[index]), signal)?)
    }

    /// The most memory that one has used so far, in kilobytes.
    pub(crate) fn peak_memory_kb(&self, index: usize) -> Result<u64, ClientError> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.children[index].id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        Ok(number.ok_or("the process has no VmHWM")?.parse()?)
    }
}

impl Drop for Entries {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn start(
    binary: &Path,
    example: &Example,
    entry: &EntryExample,
    dir: &Path,
) -> Result<Child, ClientError> {
    let file = dir.join(format!("{}.jsonc", entry.id));
    let mut settings = example.settings(entry);
    settings.log_filter = "error".to_owned();
    fs::write(&file, serde_json::to_string(&settings)?)?;
    let child = Command::new(binary)
        .arg("run")
        .arg("--settings")
        .arg(&file)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(child)
}

async fn wait_ready(addr: SocketAddr) -> Result<(), ClientError> {
    let start = Instant::now();
    while !client::get(addr, "/ready").await.is_ok_and(|answer| answer.status().is_success()) {
        if start.elapsed() > READY {
            return Err(format!("{addr} is not ready after {} s", READY.as_secs()).into());
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
