//! From the acceptance of a change to its being in force on all instances.

use std::{sync::Arc, time::Duration, time::Instant};

use futures_util::future;
use serde::Serialize;
use tokio::time;

use crate::{
    client::ClientError,
    example::Example,
    measure::{Plan, Section, Spread, operators::Operator, processes::Entries, watch},
    platform::{Faults, Server},
    up,
};

/// How long a change may take before it is given up.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long the instances run before the first change.
const SETTLE: Duration = Duration::from_secs(3);
/// How long each call takes when the platform is slow.
const SLOW_MS: u64 = 300;

/// What is wrong with the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Platform {
    Up,
    Slow,
    DownAfterCommit,
}

/// One case.
#[derive(Clone, Debug, Serialize)]
struct Case {
    platform: Platform,
    /// From accepted to in force everywhere, one for each change.
    everywhere_ms: Vec<f64>,
    /// From the sending of the command to its acceptance.
    accepted_ms: Vec<f64>,
    /// Changes that were not in force everywhere when they were given up.
    never: usize,
    /// Changes that were not accepted, with the reason.
    errors: Vec<String>,
}

/// Measures changes with the platform up, slow, and going down.
pub(crate) async fn measure(plan: &Plan) -> Result<Section, ClientError> {
    let example = plan.fresh_example();
    let lab = up::start_simulators(&example).await?;
    let entries = Entries::start(&example).await?;
    let mut operators = Vec::new();
    for entry in &example.entries {
        operators.push(Operator::connect(example.operators_addr(entry)).await?);
    }
    // Instances link up within a second of their start.
    time::sleep(SETTLE).await;
    let mut cases = Vec::new();
    for (platform, rounds) in
        [(Platform::Up, 40), (Platform::Slow, 10), (Platform::DownAfterCommit, 15)]
    {
        cases.push(run(&example, &lab.platform, &operators, platform, rounds).await?);
    }
    drop(entries);
    lab.stop().await;
    Ok(section(plan, &cases))
}

async fn run(
    example: &Example,
    server: &Arc<Server>,
    operators: &[Operator],
    platform: Platform,
    rounds: usize,
) -> Result<Case, ClientError> {
    let service = &example.services.first().ok_or("the example has no service")?.name;
    let mut case = Case {
        platform,
        everywhere_ms: Vec::new(),
        accepted_ms: Vec::new(),
        never: 0,
        errors: Vec::new(),
    };
    if platform == Platform::Slow {
        *server.faults() = Faults { slow_ms: SLOW_MS, ..Faults::default() };
    }
    for round in 0..rounds {
        let outage = (platform == Platform::DownAfterCommit)
            .then(|| tokio::spawn(watch::down_after_commit(server, service)));
        let mut operator = operators[round % operators.len()].clone();
        let sent = Instant::now();
        let changed = operator.change(service, |policy| policy.timeout_ms += 1).await;
        let accepted = Instant::now();
        match changed {
            Ok(version) => {
                case.accepted_ms.push(ms(accepted - sent));
                let waits = operators.iter().map(|operator| {
                    let mut operator = operator.clone();
                    async move { operator.wait_in_force(service, version).await }
                });
                match time::timeout(PATIENCE, future::try_join_all(waits)).await {
                    Ok(everywhere) => {
                        everywhere?;
                        case.everywhere_ms.push(ms(accepted.elapsed()));
                    }
                    Err(_) => case.never += 1,
                }
            }
            Err(e) => case.errors.push(e.to_string()),
        }
        if let Some(outage) = outage {
            outage.await?;
            server.faults().down = false;
            // All have read the platform again before the next change.
            time::sleep(Duration::from_millis(1_500)).await;
        }
    }
    *server.faults() = Faults::default();
    time::sleep(Duration::from_secs(1)).await;
    Ok(case)
}

fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1_000.0
}

fn section(plan: &Plan, cases: &[Case]) -> Section {
    let rows = cases.iter().map(|case| {
        let everywhere = Spread::of(case.everywhere_ms.iter().copied());
        vec![
            match case.platform {
                Platform::Up => "up".to_owned(),
                Platform::Slow => format!("slow, {SLOW_MS} ms a call"),
                Platform::DownAfterCommit => "down just after the commit".to_owned(),
            },
            format!("{:.0}", Spread::of(case.accepted_ms.iter().copied())),
            format!("{everywhere:.0}"),
            format!("{:.0}", everywhere.p99),
            everywhere.count.to_string(),
            case.never.to_string(),
            case.errors.len().to_string(),
        ]
    });
    Section {
        title: format!("Configuration: {}", plan.example.name),
        command: format!("azuregate-lab measure config {}", plan.example_file.display()),
        notes: vec![format!(
            "{} entry instances, each a process, without load and without delays between them; \
             the operator changes a policy at one after the other. From the accepting answer to \
             the status of every instance naming the version, asked each 2 ms.",
            plan.example.entries.len()
        )],
        columns: vec![
            "platform",
            "accepted after, ms",
            "in force everywhere after, ms",
            "p99 ms",
            "changes",
            "never in force",
            "not accepted",
        ],
        rows: rows.collect(),
        data: serde_json::to_value(cases).unwrap_or_default(),
    }
}
