//! Discrete-time simulation of balancers and backend servers with caches.
//!
//! A server has slots, a queue and an LRU cache of objects; a request for a cached object takes
//! less time. Clients send refused requests again.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::RangeInclusive,
};

use azuregate_core::{
    balance::{
        Backend, BackendHandle, BackendQuery, BackendRun, Balancer, Choice, HeartbeatStatus,
        LoadBalancingPolicy, Members, Outcome, RateLimitObservation, retry_after_pause_ms,
    },
    names::StartNumber,
};

use crate::fixtures::{ZONES, balancer_with, exchange_reports, instance, members, query, service};

const REPORT_INTERVAL_MS: u64 = 100;

/// When an object enters a server's cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CacheInsertion {
    /// When the server starts a request for it.
    AtStart,
    /// When the server has completed a request for it.
    AtEnd,
}

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) route: &'static str,
    /// Its share of all requests, from 0 to 1.
    pub(crate) share: f64,
    pub(crate) objects: u64,
    pub(crate) warm_ms: u64,
    pub(crate) cold_ms: u64,
    pub(crate) target_latency_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// Parameters of a simulation.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) seed: u64,
    pub(crate) end_ms: u64,
    pub(crate) instances: usize,
    pub(crate) servers: Vec<Backend>,
    pub(crate) server_queue: usize,
    /// Number of objects in a server's cache.
    pub(crate) cache_capacity: usize,
    pub(crate) cache_insertion: CacheInsertion,
    /// Range of the delay before a refused request is retried.
    pub(crate) retry_after_ms: RangeInclusive<u64>,
    /// How many times a client sends a refused request again.
    pub(crate) client_retries: u32,
    /// Probability, by time, that a server rejects a request although it is not full.
    pub(crate) rejection_rate: fn(u64) -> f64,
    /// Number of servers that name a rate limit, and the limit in requests per second.
    pub(crate) limited: (usize, f64),
    pub(crate) pausing: Option<Pausing>,
    /// Maximum number of servers that a request is sent to before it is refused.
    pub(crate) max_attempts: u32,
    /// Whether a server that rejected a request may get it again.
    pub(crate) may_retry_same_backend: fn(&Choice) -> bool,
    pub(crate) classes: Vec<Class>,
    /// Whether all clients of an object are in one region.
    pub(crate) is_regional: bool,
    pub(crate) exchanges_reports: bool,
    pub(crate) rate_per_s: fn(u64) -> f64,
    /// Affinity hash of an object.
    pub(crate) hash: fn(&Class, u64) -> u64,
    pub(crate) policy: fn() -> Box<dyn LoadBalancingPolicy>,
}

/// Servers that reject all requests for a time and ask for pauses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pausing {
    /// Number of these servers.
    pub(crate) servers: usize,
    pub(crate) from_ms: u64,
    pub(crate) to_ms: u64,
    pub(crate) pause_ms: u64,
    pub(crate) way: PauseWay,
}

/// What instances do with the pauses that servers ask for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PauseWay {
    /// Nothing: a rejection is a failure.
    Ignored,
    /// The instance that is asked sends nothing until the end. Clients that are refused are told it.
    Kept,
    /// The same, but clients are told to come back soon.
    KeptWithShortRetryDelay,
    /// The same as `Kept`, but what one instance is asked binds all.
    ToldToAll,
    /// The same as `Kept`, but a request that is refused is sent through another instance.
    Forwarded,
}

/// Results of the requests that arrived in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SecondStats {
    pub(crate) requests: u32,
    pub(crate) on_time: u32,
    /// Requests that were sent to a server of their instance's region.
    pub(crate) in_region: u32,
    pub(crate) sent: u32,
    /// Sends of these requests that servers which ask for pauses rejected.
    pub(crate) rejected: u32,
}

/// Returns the share of requests that met their latency target.
pub(crate) fn on_time(seconds: &[SecondStats]) -> f64 {
    let requests: u32 = seconds.iter().map(|second| second.requests).sum();
    let on_time: u32 = seconds.iter().map(|second| second.on_time).sum();
    f64::from(on_time) / f64::from(requests)
}

/// Returns the share of sent requests that stayed in the region of their instance.
pub(crate) fn in_region(seconds: &[SecondStats]) -> f64 {
    let sent: u32 = seconds.iter().map(|second| second.sent).sum();
    let in_region: u32 = seconds.iter().map(|second| second.in_region).sum();
    f64::from(in_region) / f64::from(sent)
}

/// Runs a simulation and returns its results by second.
pub(crate) fn simulate(scenario: &Scenario) -> Vec<SecondStats> {
    let mut simulation = Simulation::new(scenario);
    for now_ms in 0..scenario.end_ms {
        simulation.step(now_ms);
    }
    simulation.seconds
}

#[derive(Clone, Copy)]
struct Request {
    class: usize,
    object: u64,
    instance: usize,
    arrived_at_ms: u64,
    retries_left: u32,
}

#[derive(Clone)]
struct Job {
    request: Request,
    handle: BackendHandle,
    sent_ms: u64,
}

struct Server {
    slots: usize,
    running: Vec<(u64, Job)>,
    waiting: VecDeque<Job>,
    cached: VecDeque<(usize, u64)>,
}

impl Server {
    fn new(backend: &Backend) -> Server {
        Server {
            slots: backend.slots as usize,
            running: Vec::new(),
            waiting: VecDeque::new(),
            cached: VecDeque::new(),
        }
    }

    fn start_next(&mut self, scenario: &Scenario, now_ms: u64) {
        while self.running.len() < self.slots
            && let Some(job) = self.waiting.pop_front()
        {
            let class = &scenario.classes[job.request.class];
            let object = (job.request.class, job.request.object);
            let is_warm = self.cached.contains(&object);
            if scenario.cache_insertion == CacheInsertion::AtStart {
                self.cache_object(scenario, object);
            }
            let service_time_ms = if is_warm { class.warm_ms } else { class.cold_ms };
            self.running.push((now_ms + service_time_ms, job));
        }
    }

    fn cache_object(&mut self, scenario: &Scenario, object: (usize, u64)) {
        self.cached.retain(|known| *known != object);
        self.cached.push_front(object);
        self.cached.truncate(scenario.cache_capacity);
    }

    /// Removes the jobs that are done or past their deadline; the flag says whether one is done.
    fn finish(&mut self, scenario: &Scenario, now_ms: u64) -> Vec<(Job, bool)> {
        let is_late = |job: &Job| {
            now_ms >= job.request.arrived_at_ms + scenario.classes[job.request.class].deadline_ms
        };
        let (late, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_late);
        self.waiting = waiting.into();
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(at_ms, job)| *at_ms <= now_ms || is_late(job));
        self.running = running;
        for (_, job) in ended.iter().filter(|(at_ms, _)| *at_ms <= now_ms) {
            if scenario.cache_insertion == CacheInsertion::AtEnd {
                self.cache_object(scenario, (job.request.class, job.request.object));
            }
        }
        let ended = ended.into_iter().map(|(at_ms, job)| (job, at_ms <= now_ms));
        late.into_iter().map(|job| (job, false)).chain(ended).collect()
    }
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    random: fastrand::Rng,
    balancers: Vec<Balancer>,
    members: Vec<Members>,
    servers: BTreeMap<String, Server>,
    pending_retries: Vec<(u64, Request)>,
    seconds: Vec<SecondStats>,
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario) -> Simulation<'a> {
        let balancer = |local| {
            balancer_with(
                (scenario.policy)(),
                local,
                scenario.instances,
                scenario.servers.iter().cloned(),
            )
        };
        let server = |backend: &Backend| (backend.id.as_str().to_owned(), Server::new(backend));
        Simulation {
            scenario,
            random: fastrand::Rng::with_seed(scenario.seed),
            balancers: (0..scenario.instances).map(balancer).collect(),
            members: (0..scenario.instances)
                .map(|local| members(local, scenario.instances))
                .collect(),
            servers: scenario.servers.iter().map(server).collect(),
            pending_retries: Vec::new(),
            seconds: Vec::new(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(1_000) {
            self.seconds.push(SecondStats::default());
        }
        let per_ms = (self.scenario.rate_per_s)(now_ms) / 1_000.0;
        while self.random.f64() < per_ms {
            let request = self.new_request(now_ms);
            self.second_stats(&request).requests += 1;
            self.send(request, now_ms);
            if self.random.f64() < 0.5 {
                break;
            }
        }
        let (due, pending_retries): (Vec<_>, Vec<_>) =
            self.pending_retries.drain(..).partition(|&(at_ms, _)| at_ms <= now_ms);
        self.pending_retries = pending_retries;
        for (_, request) in due {
            let instance = self.random_instance(request.object);
            self.send(Request { instance, ..request }, now_ms);
        }
        self.advance_servers(now_ms);
        if self.scenario.exchanges_reports && now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            exchange_reports(&mut self.balancers, now_ms);
        }
        if self.scenario.limited.0 > 0 && now_ms.is_multiple_of(REPORT_INTERVAL_MS) {
            self.name_limits(now_ms);
        }
    }

    /// Lets all instances hear the limits, as from a response, and each other.
    fn name_limits(&mut self, now_ms: u64) {
        let (count, limit_per_s) = self.scenario.limited;
        for (balancer, members) in self.balancers.iter_mut().zip(&mut self.members) {
            for number in 0..self.scenario.instances {
                let name = instance(number);
                let status = HeartbeatStatus {
                    instance: name.as_str(),
                    start: StartNumber(1),
                    is_leaving: false,
                    can_watch: false,
                };
                members.record_heartbeat(&status, now_ms);
            }
            for handle in balancer.handles().take(count).collect::<Vec<_>>() {
                let observation = RateLimitObservation {
                    limit_per_s: Some(limit_per_s),
                    sent_at_ms: now_ms,
                    received_at_ms: now_ms,
                };
                balancer.record_rate_limit(handle, observation, members, now_ms);
            }
        }
    }

    /// Chooses a server on the account of another instance's part of a rate limit.
    fn choose_granted(
        &mut self,
        local: usize,
        query: &BackendQuery<'_>,
        now_ms: u64,
    ) -> Option<Choice> {
        if self.scenario.limited.0 == 0 {
            // Scenarios without limits keep their random numbers.
            return None;
        }
        let random = self.random.u64(..);
        let members = &self.members[local];
        let request = self.balancers[local].grant_request(query, members, random, now_ms)?;
        let holder = (0..self.balancers.len()).find(|&n| instance(n) == request.holder.instance)?;
        if !self.balancers[holder].grant(request.run, now_ms) {
            return None;
        }
        self.balancers[local].choose_granted(query, request.handle, now_ms)
    }

    fn new_request(&mut self, now_ms: u64) -> Request {
        let class = self.pick_class();
        let instance = self.random.usize(..self.scenario.instances);
        let object = self.random.u64(..self.scenario.classes[class].objects);
        let instance = self.nearby_instance(object, instance);
        let retries_left = self.scenario.client_retries;
        Request { class, object, instance, arrived_at_ms: now_ms, retries_left }
    }

    fn pick_class(&mut self) -> usize {
        let classes = &self.scenario.classes;
        if classes.len() == 1 {
            return 0;
        }
        let mut rest = self.random.f64();
        let class = classes.iter().position(|class| {
            rest -= class.share;
            rest < 0.0
        });
        class.unwrap_or(classes.len() - 1)
    }

    fn random_instance(&mut self, object: u64) -> usize {
        let instance = self.random.usize(..self.scenario.instances);
        self.nearby_instance(object, instance)
    }

    /// Returns `instance`, or the next one in the region of the object's clients.
    fn nearby_instance(&self, object: u64, instance: usize) -> usize {
        if !self.scenario.is_regional {
            return instance;
        }
        let region = ZONES[(object as usize * 2) % ZONES.len()].1;
        let mut instances = (0..self.scenario.instances).cycle().skip(instance);
        instances.find(|&instance| region_of(instance) == region).unwrap()
    }

    fn second_stats(&mut self, request: &Request) -> &mut SecondStats {
        &mut self.seconds[(request.arrived_at_ms / 1_000) as usize]
    }

    fn send(&mut self, request: Request, now_ms: u64) {
        let choice =
            self.choose(&request, now_ms).or_else(|| self.choose_elsewhere(request, now_ms));
        let Some((request, choice)) = choice else {
            return self.schedule_retry(request, now_ms);
        };
        let server = self.servers.get_mut(choice.backend.id.as_str()).unwrap();
        server.waiting.push_back(Job { request, handle: choice.handle, sent_ms: now_ms });
        let zone = choice.backend.zone.as_str();
        let region = ZONES.iter().find(|(name, _)| *name == zone).unwrap().1;
        let is_in_region = region == region_of(request.instance);
        let second_stats = self.second_stats(&request);
        second_stats.sent += 1;
        second_stats.in_region += u32::from(is_in_region);
    }

    /// Chooses a server that accepts the request, within the scenario's attempts.
    fn choose(&mut self, request: &Request, now_ms: u64) -> Option<(Request, Choice)> {
        let service = service();
        let class = &self.scenario.classes[request.class];
        let hash = (self.scenario.hash)(class, request.object);
        let mut tried = Vec::new();
        self.balancers[request.instance].record_request(hash, now_ms);
        for _ in 0..self.scenario.max_attempts {
            let backend_query = BackendQuery { tried: &tried, ..query(&service, hash) };
            let choice = match self.balancers[request.instance].choose(&backend_query, now_ms) {
                Some(choice) => choice,
                None => self.choose_granted(request.instance, &backend_query, now_ms)?,
            };
            let is_pausing = self.is_pausing(&choice, now_ms);
            self.second_stats(request).rejected += u32::from(is_pausing);
            if !is_pausing && self.is_accepted(&choice, now_ms) {
                return Some((*request, choice));
            }
            if is_pausing && self.keeps_pauses() {
                self.push_back(request.instance, &choice, now_ms);
                continue;
            }
            self.balancers[request.instance].complete(choice.handle, Outcome::Rejected, now_ms);
            if !(self.scenario.may_retry_same_backend)(&choice) {
                tried.push(choice.handle);
            }
        }
        None
    }

    fn is_accepted(&mut self, choice: &Choice, now_ms: u64) -> bool {
        let waiting = self.servers[choice.backend.id.as_str()].waiting.len();
        let rejection_rate = (self.scenario.rejection_rate)(now_ms);
        waiting < self.scenario.server_queue
            && (rejection_rate == 0.0 || self.random.f64() >= rejection_rate)
    }

    /// Returns whether the server that was chosen rejects all requests and asks for a pause.
    fn is_pausing(&self, choice: &Choice, now_ms: u64) -> bool {
        let Some(pausing) = self.scenario.pausing else { return false };
        let mut servers = self.scenario.servers.iter().take(pausing.servers);
        (pausing.from_ms..pausing.to_ms).contains(&now_ms)
            && servers.any(|server| server.id == choice.backend.id)
    }

    fn keeps_pauses(&self) -> bool {
        self.scenario.pausing.is_some_and(|pausing| pausing.way != PauseWay::Ignored)
    }

    /// Lets a server that has rejected a request ask for a pause.
    fn push_back(&mut self, local: usize, choice: &Choice, now_ms: u64) {
        let Some(pausing) = self.scenario.pausing else { return };
        let run = BackendRun::of(&choice.backend);
        for (number, balancer) in self.balancers.iter_mut().enumerate() {
            if number == local || pausing.way == PauseWay::ToldToAll {
                balancer.record_pushback(run, pausing.pause_ms, now_ms);
            }
        }
        self.balancers[local].complete(choice.handle, Outcome::PushedBack, now_ms);
    }

    /// Returns the time until a server may get the request, if only pauses keep it from all.
    fn refusing_pause_ms(&mut self, request: &Request, now_ms: u64) -> Option<u64> {
        let service = service();
        let hash = (self.scenario.hash)(&self.scenario.classes[request.class], request.object);
        let balancer = &mut self.balancers[request.instance];
        balancer.explain(&query(&service, hash), now_ms).refusing_pause_ms()
    }

    /// Chooses a server through another instance, if pauses keep the request from all.
    fn choose_elsewhere(&mut self, request: Request, now_ms: u64) -> Option<(Request, Choice)> {
        let is_forwarded = self.scenario.pausing.is_some_and(|p| p.way == PauseWay::Forwarded);
        if !is_forwarded || self.refusing_pause_ms(&request, now_ms).is_none() {
            return None;
        }
        let instance = self.random_instance(request.object);
        self.choose(&Request { instance, ..request }, now_ms)
    }

    fn schedule_retry(&mut self, request: Request, now_ms: u64) {
        if request.retries_left > 0 {
            let is_told = self.keeps_pauses()
                && self
                    .scenario
                    .pausing
                    .is_some_and(|p| p.way != PauseWay::KeptWithShortRetryDelay);
            let pause_ms = self.refusing_pause_ms(&request, now_ms).filter(|_| is_told);
            let request = Request { retries_left: request.retries_left - 1, ..request };
            if let Some(pause_ms) = pause_ms {
                // Clients wait for a third of the time that they have left at most.
                let deadline_ms =
                    request.arrived_at_ms + self.scenario.classes[request.class].deadline_ms;
                let max_ms = deadline_ms.saturating_sub(now_ms) / 3;
                let delay_ms = self.random.u64(retry_after_pause_ms(pause_ms)).min(max_ms);
                return self.pending_retries.push((now_ms + delay_ms, request));
            }
            let retry_after_ms = &self.scenario.retry_after_ms;
            let retry_after_ms = match retry_after_ms.start() == retry_after_ms.end() {
                true => *retry_after_ms.start(),
                false => self.random.u64(retry_after_ms.clone()),
            };
            self.pending_retries.push((now_ms + retry_after_ms, request));
        }
    }

    fn advance_servers(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for server in self.servers.values_mut() {
            ended.extend(server.finish(self.scenario, now_ms));
            server.start_next(self.scenario, now_ms);
        }
        for (job, is_done) in ended {
            let taken_ms = now_ms - job.sent_ms;
            let outcome = match is_done {
                true => Outcome::Succeeded { taken_ms },
                false => Outcome::TimedOut { taken_ms },
            };
            self.balancers[job.request.instance].complete(job.handle, outcome, now_ms);
            let target_latency_ms = self.scenario.classes[job.request.class].target_latency_ms;
            let is_on_time = is_done && now_ms - job.request.arrived_at_ms <= target_latency_ms;
            self.second_stats(&job.request).on_time += u32::from(is_on_time);
        }
    }
}

fn region_of(instance: usize) -> &'static str {
    ZONES[instance % ZONES.len()].1
}
