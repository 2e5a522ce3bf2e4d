/*!
Measures what users notice: latency and headroom, drains, shifts, changes of
configuration, recovery, and the cost of the entry instance itself.

Each experiment gives a [`Section`]: a table for docs/MEASUREMENTS.md, and all
figures as JSON. [`all`] runs every one of them; one that fails says so and does
not stop the others.
*/

mod config;
mod drain;
mod latency;
mod operators;
mod overhead;
mod processes;
mod recovery;
mod section;
mod shift;
mod spread;
mod watch;

use std::{
    fs,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::Instant,
};

use crate::{client::ClientError, example::Example};
use azuregate::cli::print_line;

pub use section::Section;
pub use spread::Spread;

/// What to measure, and how long.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The example.
    pub example: Example,
    /// The example's file, as it was named.
    pub example_file: PathBuf,
    /// The rules that latency is measured by, side by side.
    pub rules: Vec<String>,
    /// Load as a share of all slots, in percent.
    pub load_percents: Vec<u32>,
    /// Seeds, each a run by itself.
    pub seeds: Vec<u64>,
    /// How long each run gives load, in milliseconds.
    pub run_ms: u64,
    /// Whether two entry instances get half of all callers.
    pub skew: bool,
}

/// Second parts of the IP numbers that runs use; tests use others.
const OCTETS: u32 = 60;

impl Plan {
    /// The example on IP numbers that no run of the last minute used.
    fn fresh_example(&self) -> Example {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let run = std::process::id().wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let octet = u8::try_from(run % OCTETS).unwrap_or(0);
        self.example.with_loopback_subnet(1 + octet)
    }
}

/// What can be measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Experiment {
    /// Latency and headroom by rule.
    Latency,
    /// From the sign to the last new request at a backend server.
    Drain,
    /// The movement of a shift as a share of its cap.
    Shift,
    /// From accepted to in force everywhere.
    Config,
    /// What failures cost.
    Recovery,
    /// What the entry instance costs.
    Overhead,
}

impl Experiment {
    /// All of them, in the order of the page.
    pub const ALL: [Experiment; 6] = [
        Experiment::Latency,
        Experiment::Drain,
        Experiment::Shift,
        Experiment::Config,
        Experiment::Recovery,
        Experiment::Overhead,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Experiment::Latency => "latency",
            Experiment::Drain => "drain",
            Experiment::Shift => "shift",
            Experiment::Config => "config",
            Experiment::Recovery => "recovery",
            Experiment::Overhead => "overhead",
        }
    }

    /// The experiment with this name.
    pub fn parse(name: &str) -> Option<Experiment> {
        Experiment::ALL.into_iter().find(|experiment| experiment.name() == name)
    }
}

/// Runs one experiment.
///
/// # Errors
///
/// When something could not be started or reached; nothing was measured then.
pub async fn one(experiment: Experiment, plan: &Plan) -> Result<Section, ClientError> {
    // A task of its own, so that a defect in one experiment stops only that.
    let plan = plan.clone();
    let running = tokio::spawn(async move {
        match experiment {
            Experiment::Latency => latency::measure(&plan).await,
            Experiment::Drain => drain::measure(&plan).await,
            Experiment::Shift => shift::measure(&plan).await,
            Experiment::Config => config::measure(&plan).await,
            Experiment::Recovery => recovery::measure(&plan).await,
            Experiment::Overhead => overhead::measure(&plan).await,
        }
    });
    running.await?
}

/// Runs experiments and writes `measurements.md` and one JSON file each to
/// `out`. Returns the names of those that failed.
///
/// # Errors
///
/// When nothing can be written to `out`.
pub async fn all(
    experiments: &[(Experiment, Plan)],
    out: &Path,
) -> Result<Vec<String>, ClientError> {
    fs::create_dir_all(out)?;
    let mut page = String::new();
    let mut failed = Vec::new();
    for (experiment, plan) in experiments {
        let name = file_name(*experiment, plan);
        let start = Instant::now();
        print_line(format_args!("measuring {name}"));
        match one(*experiment, plan).await {
            Ok(section) => {
                page.push_str(&section.to_markdown());
                let json = serde_json::to_string_pretty(&section)?;
                fs::write(out.join(format!("{name}.json")), json)?;
            }
            Err(e) => {
                print_line(format_args!("{name} FAILED: {e}"));
                page.push_str(&format!("## {name}\n\nNot measured: {e}\n\n"));
                failed.push(name.clone());
            }
        }
        print_line(format_args!("{name} took {} s", start.elapsed().as_secs()));
        // Written each time, so that an interrupted run leaves what it has.
        fs::write(out.join("measurements.md"), &page)?;
    }
    Ok(failed)
}

fn file_name(experiment: Experiment, plan: &Plan) -> String {
    let skew = if plan.skew { "-skew" } else { "" };
    format!("{}-{}{skew}", experiment.name(), plan.example.name)
}
