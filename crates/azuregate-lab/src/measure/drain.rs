//! From the sign that a backend server leaves to the last new request at it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use azuregate_core::names::ServiceName;
use serde::Serialize;
use tokio::time;

use crate::{
    backends::{Backend, epoch_ms},
    client::ClientError,
    example::{Example, ServiceExample},
    load,
    measure::{Plan, Section, Spread, operators::Operator, watch},
    up::{self, Lab},
};

/// Load as a share of all slots.
const LOAD: f64 = 0.4;
/// How many servers leave at once, and how often.
const SERVERS: usize = 4;
const ROUNDS: usize = 2;
/// A server that got nothing new for so long is taken for drained.
const QUIET: Duration = Duration::from_secs(3);
/// After so long one that still gets requests is given up.
const PATIENCE: Duration = Duration::from_secs(12);

/// Who says that a server leaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Sign {
    /// An operator's command.
    Operator,
    /// `Connection: close` on the server's own answers, and nothing else.
    Own,
}

/// One case.
#[derive(Clone, Debug, Serialize)]
struct Case {
    sign: Sign,
    /// Whether the platform goes down just after the sign, or before it when
    /// nothing has to be committed.
    platform_down: bool,
    /// From the sign to the last new request, one for each server.
    last_new_ms: Vec<u64>,
    /// Servers that still got new requests when they were given up.
    never: usize,
}

/// Measures drains by each sign, with the platform up and down.
pub(crate) async fn measure(plan: &Plan) -> Result<Section, ClientError> {
    let service = plan.example.services.first().ok_or("the example has no service")?;
    let mut cases = Vec::new();
    for sign in [Sign::Operator, Sign::Own] {
        for platform_down in [false, true] {
            let case = Case { sign, platform_down, last_new_ms: Vec::new(), never: 0 };
            cases.push(run(plan, service, case).await?);
        }
    }
    Ok(section(plan, &cases))
}

async fn run(plan: &Plan, service: &ServiceExample, mut case: Case) -> Result<Case, ClientError> {
    let example = Example { stop_delay_ms: 0, ..plan.fresh_example() };
    let options = up::Options { delays: true, ..up::Options::default() };
    let lab = up::start_with(&example, &options).await?;
    lab.wait_ready().await?;
    let entry = lab.example.entries.first().ok_or("the example has no entry instance")?;
    let at = lab.example.traffic_addr(entry);
    let mut config = load::Config::new(at, &service.name).with_locations_of(&lab.example);
    config.rate_per_s = service.capacity_per_s() * LOAD;
    config.keyed_percent = 0;
    // The load ends with the rounds.
    config.duration_ms = 600_000;
    let loading = tokio::spawn(async move { load::run(&config).await.map(|_| ()) });
    time::sleep(Duration::from_secs(2)).await;
    let servers: Vec<_> = lab.backends_of(&service.name).cloned().collect();
    let mut result = Ok(());
    for round in servers.chunks(SERVERS).take(ROUNDS) {
        result = drain(&lab, &service.name, round, &mut case).await;
        if result.is_err() {
            break;
        }
    }
    loading.abort();
    lab.stop_within(Duration::from_secs(5)).await;
    result.map(|()| case)
}

async fn drain(
    lab: &Lab,
    service: &ServiceName,
    servers: &[Arc<Backend>],
    case: &mut Case,
) -> Result<(), ClientError> {
    let sign_ms = epoch_ms();
    match case.sign {
        Sign::Operator => command(lab, service, servers, case.platform_down).await?,
        Sign::Own => {
            lab.platform.faults().down = case.platform_down;
            for server in servers {
                server.behaviour().leaving = true;
            }
        }
    }
    let start = Instant::now();
    let last_new = |server: &Backend| server.stats().last_ran_at_ms.saturating_sub(sign_ms);
    let quiet_ms = u64::try_from(QUIET.as_millis()).unwrap_or(u64::MAX);
    let is_quiet =
        |server: &Backend| epoch_ms().saturating_sub(sign_ms + last_new(server)) >= quiet_ms;
    while !servers.iter().all(|s| is_quiet(s)) && start.elapsed() < PATIENCE {
        time::sleep(Duration::from_millis(100)).await;
    }
    for server in servers {
        if is_quiet(server) {
            case.last_new_ms.push(last_new(server));
        } else {
            case.never += 1;
        }
    }
    lab.platform.faults().down = false;
    // The list and the policies are read again before the next round.
    time::sleep(Duration::from_secs(1)).await;
    Ok(())
}

async fn command(
    lab: &Lab,
    service: &ServiceName,
    servers: &[Arc<Backend>],
    platform_down: bool,
) -> Result<(), ClientError> {
    let entry = lab.example.entries.first().ok_or("the example has no entry instance")?;
    let mut operator = Operator::connect(lab.example.operators_addr(entry)).await?;
    let outage = platform_down.then(|| {
        let outage = watch::down_after_commit(&lab.platform, service);
        tokio::spawn(outage)
    });
    operator
        .change(service, |policy| {
            policy.drains.extend(servers.iter().map(|server| server.server.id.to_string()));
        })
        .await?;
    if let Some(outage) = outage {
        outage.await?;
    }
    Ok(())
}

fn section(plan: &Plan, cases: &[Case]) -> Section {
    let rows = cases.iter().map(|case| {
        let spread = Spread::of(case.last_new_ms.iter().map(|&ms| ms as f64));
        vec![
            match case.sign {
                Sign::Operator => "operator's command".to_owned(),
                Sign::Own => "the server's own sign".to_owned(),
            },
            if case.platform_down { "down" } else { "up" }.to_owned(),
            format!("{:.0}", spread),
            format!("{:.0}", spread.p99),
            spread.count.to_string(),
            case.never.to_string(),
        ]
    });
    Section {
        title: format!("Drain: {}", plan.example.name),
        command: format!("azuregate-lab measure drain {}", plan.example_file.display()),
        notes: vec![format!(
            "All in one process on loopback, with the delays of the example; reads at {:.0}% of \
             all slots. From the sending of the command, or from the first moment at which \
             answers carry `Connection: close`, to the last new request at the server; \
             {SERVERS} servers at once, {ROUNDS} times. With the platform down, it goes down \
             just after the commit, or before the server's own sign.",
            LOAD * 100.0
        )],
        columns: vec![
            "sign",
            "platform",
            "last new request, ms",
            "p99 ms",
            "servers",
            "never drained",
        ],
        rows: rows.collect(),
        data: serde_json::to_value(cases).unwrap_or_default(),
    }
}
