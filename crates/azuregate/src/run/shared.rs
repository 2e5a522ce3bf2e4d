//! The resources that an entry instance's components share, and their construction.

use std::sync::Arc;

use azuregate_core::{names::StartNumber, snapshot::Snapshot};
use error_stack::Report;

use crate::{
    backend::{HttpDialer, Pool, SharedDialer},
    claims::{ClaimCleaner, Claims},
    clock::{SharedClock, SystemClock},
    config::{Config, Snapshots},
    dispatch::{LoadExchange, RoutingMode},
    gateway::{Gateway, GatewayContext},
    membership::{self, Members},
    metrics::{MetricSink, NullSink, Recorder, StatsdSink},
    operators::{self, OperatorsService},
    peer::Mesh,
    platform::{HttpPlatform, SharedPlatform},
    poll::Poller,
    probe::Prober,
    run::RunError,
    selector::{SelectorContext, Selectors},
    settings::Settings,
    status::Status,
    stop::StopSignal,
    timer::Timer,
};

/// Settings, clocks and handles to tasks; each component gets clones of these.
pub(super) struct Shared {
    pub(super) settings: Settings,
    pub(super) start: StartNumber,
    pub(super) stop: StopSignal,
    pub(super) config: Config,
    pub(super) snapshots: Snapshots,
    pub(super) pool: Pool,
    clock: SharedClock,
    timer: Timer,
    platform: SharedPlatform,
    dialer: SharedDialer,
    exchange: LoadExchange,
    recorder: Recorder,
}

impl Shared {
    /// Starts the tasks that all components use.
    pub(super) fn start(settings: Settings, stop: StopSignal) -> Result<Shared, Report<RunError>> {
        let clock: SharedClock = Arc::new(SystemClock::new());
        let first = Snapshot::empty(Arc::new(settings.topology.clone()));
        let (config, snapshots) = Config::start_with_clock(first, Arc::clone(&clock));
        let platform = &settings.platform;
        let platform = HttpPlatform::with_local_ip(settings.ip, platform.addr, platform.timeout_ms);
        Ok(Shared {
            start: StartNumber(clock.epoch().0),
            stop,
            config,
            snapshots,
            pool: Pool::start(Arc::clone(&clock)),
            clock,
            timer: Timer::start(),
            platform: Arc::new(platform),
            dialer: Arc::new(HttpDialer { ip: settings.ip }),
            exchange: LoadExchange::default(),
            recorder: Recorder::start(metric_sink(&settings)?),
            settings,
        })
    }

    pub(super) fn members(&self) -> Members {
        Members::start(membership::Parts {
            instance: self.settings.instance.clone(),
            config: self.config.clone(),
            snapshots: self.snapshots.clone(),
            clock: Arc::clone(&self.clock),
            timer: self.timer.clone(),
        })
    }

    pub(super) fn poller(&self, members: &Members) -> Poller {
        Poller {
            platform: Arc::clone(&self.platform),
            config: self.config.clone(),
            snapshots: self.snapshots.clone(),
            members: members.clone(),
            clock: Arc::clone(&self.clock),
            timer: self.timer.clone(),
            min_interval_ms: self.settings.platform.poll_ms,
        }
    }

    pub(super) fn prober(&self) -> Prober {
        Prober {
            instance: self.settings.instance.clone(),
            start: self.start,
            dialer: Arc::clone(&self.dialer),
            config: self.config.clone(),
            snapshots: self.snapshots.clone(),
            timer: self.timer.clone(),
        }
    }

    pub(super) fn cleaner(&self) -> ClaimCleaner {
        ClaimCleaner {
            instance: self.settings.instance.clone(),
            platform: Arc::clone(&self.platform),
            clock: Arc::clone(&self.clock),
            snapshots: self.snapshots.clone(),
            timer: self.timer.clone(),
        }
    }

    pub(super) fn mesh(&self, members: Members) -> Mesh {
        Mesh {
            instance: self.settings.instance.clone(),
            start: self.start,
            ip: self.settings.ip,
            config: self.config.clone(),
            snapshots: self.snapshots.clone(),
            members,
            clock: Arc::clone(&self.clock),
            exchange: self.exchange.clone(),
            timer: self.timer.clone(),
        }
    }

    pub(super) fn status(&self) -> Status {
        Status {
            snapshots: self.snapshots.clone(),
            recorder: self.recorder.clone(),
            stop: self.stop.clone(),
        }
    }

    pub(super) fn operators(&self) -> OperatorsService {
        OperatorsService::new(operators::Dependencies {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            start: self.start,
            config: self.config.clone(),
            snapshots: self.snapshots.clone(),
            platform: Arc::clone(&self.platform),
            clock: Arc::clone(&self.clock),
            recorder: self.recorder.clone(),
            stop: self.stop.clone(),
        })
    }

    pub(super) fn gateway(&self, rule: RoutingMode) -> Gateway {
        Gateway::new(GatewayContext {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            snapshots: self.snapshots.clone(),
            config: self.config.clone(),
            clock: Arc::clone(&self.clock),
            dialer: Arc::clone(&self.dialer),
            pool: self.pool.clone(),
            claims: self.claims(),
            selectors: self.selectors(rule),
            recorder: self.recorder.clone(),
        })
    }

    fn claims(&self) -> Claims {
        Claims::new(
            Arc::clone(&self.platform),
            Arc::clone(&self.clock),
            self.snapshots.clone(),
            &self.settings.instance,
            self.start,
        )
    }

    fn selectors(&self, rule: RoutingMode) -> Selectors {
        Selectors::new(SelectorContext {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            start: self.start,
            routing_mode: rule,
            clock: Arc::clone(&self.clock),
            snapshots: self.snapshots.clone(),
            exchange: self.exchange.clone(),
            timer: self.timer.clone(),
        })
    }
}

fn metric_sink(settings: &Settings) -> Result<Arc<dyn MetricSink>, Report<RunError>> {
    let Some(addr) = settings.statsd_addr else {
        return Ok(Arc::new(NullSink));
    };
    match StatsdSink::new(addr) {
        Ok(sink) => Ok(Arc::new(sink)),
        Err(e) => Err(Report::new(RunError).attach(format!("cannot send metrics to {addr}: {e}"))),
    }
}
