//! Replays a load on balancers and on servers that remember objects.
//!
//! Instances choose servers and tell each other what they have in flight. A server
//! has slots, a queue, and a memory of the objects that it handled last: work on
//! one that it remembers is shorter. Requests that were refused come back once.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::RangeInclusive,
};

use azuregate_core::balance::{
    Backend, BackendHandle, BackendQuery, Balancer, Choice, LoadBalancingPolicy, Outcome,
};

use crate::world::{ZONES, balancer_by, query, service, tell_others};

/// How often instances tell each other what they have in flight.
const TELL_EVERY_MS: u64 = 100;

/// When a server remembers an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Remembers {
    /// As soon as work on it has begun.
    AtStart,
    /// Once work on it is done.
    AtEnd,
}

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    pub(crate) route: &'static str,
    /// Its share of all requests.
    pub(crate) share: f64,
    pub(crate) objects: u64,
    pub(crate) warm_ms: u64,
    pub(crate) cold_ms: u64,
    pub(crate) target_latency_ms: u64,
    pub(crate) deadline_ms: u64,
}

/// The servers, the instances and what clients send.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) end_ms: u64,
    pub(crate) instances: usize,
    pub(crate) servers: Vec<Backend>,
    pub(crate) server_queue: usize,
    /// Objects that a server remembers.
    pub(crate) remembered: usize,
    pub(crate) remembers: Remembers,
    /// After which clients come back that were refused.
    pub(crate) return_ms: RangeInclusive<u64>,
    /// The share of requests that a server rejects although it is not full.
    pub(crate) rejected: fn(u64) -> f64,
    /// Servers that a request may be sent to.
    pub(crate) tries: u32,
    /// Whether a server that rejected a request may be asked again.
    pub(crate) asks_again: fn(&Choice) -> bool,
    pub(crate) classes: Vec<Class>,
    /// Whether the clients of an object are all in one region.
    pub(crate) is_regional: bool,
    pub(crate) tells_others: bool,
    pub(crate) per_s: fn(u64) -> f64,
    /// The hash by which a request is placed.
    pub(crate) hash: fn(&Class, u64) -> u64,
    pub(crate) rule: fn() -> Box<dyn LoadBalancingPolicy>,
}

/// What became of the requests that began in one second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Second {
    pub(crate) asked: u32,
    pub(crate) in_time: u32,
    /// Requests that were sent to a server of the client's region.
    pub(crate) at_home: u32,
    pub(crate) sent: u32,
}

/// The share of requests that were answered within their objective.
pub(crate) fn in_time(seconds: &[Second]) -> f64 {
    let asked: u32 = seconds.iter().map(|second| second.asked).sum();
    let in_time: u32 = seconds.iter().map(|second| second.in_time).sum();
    f64::from(in_time) / f64::from(asked)
}

/// The share of sent requests that stayed in the client's region.
pub(crate) fn at_home(seconds: &[Second]) -> f64 {
    let sent: u32 = seconds.iter().map(|second| second.sent).sum();
    let at_home: u32 = seconds.iter().map(|second| second.at_home).sum();
    f64::from(at_home) / f64::from(sent)
}

/// Plays `load` to its end; what became of the requests of each second.
pub(crate) fn play(load: &Load) -> Vec<Second> {
    let mut replay = Replay::new(load);
    for now_ms in 0..load.end_ms {
        replay.step(now_ms);
    }
    replay.seconds
}

#[derive(Clone, Copy)]
struct Request {
    class: usize,
    object: u64,
    instance: usize,
    born_ms: u64,
    is_return: bool,
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
    remembered: VecDeque<(usize, u64)>,
}

impl Server {
    fn new(backend: &Backend) -> Server {
        Server {
            slots: backend.slots as usize,
            running: Vec::new(),
            waiting: VecDeque::new(),
            remembered: VecDeque::new(),
        }
    }

    fn start_next(&mut self, load: &Load, now_ms: u64) {
        while self.running.len() < self.slots
            && let Some(job) = self.waiting.pop_front()
        {
            let class = &load.classes[job.request.class];
            let object = (job.request.class, job.request.object);
            let is_warm = self.remembered.contains(&object);
            if load.remembers == Remembers::AtStart {
                self.remember(load, object);
            }
            let work_ms = if is_warm { class.warm_ms } else { class.cold_ms };
            self.running.push((now_ms + work_ms, job));
        }
    }

    fn remember(&mut self, load: &Load, object: (usize, u64)) {
        self.remembered.retain(|known| *known != object);
        self.remembered.push_front(object);
        self.remembered.truncate(load.remembered);
    }

    /// The jobs that are done, or whose client has left, and which of these it is.
    fn finish(&mut self, load: &Load, now_ms: u64) -> Vec<(Job, bool)> {
        let is_late =
            |job: &Job| now_ms >= job.request.born_ms + load.classes[job.request.class].deadline_ms;
        let (late, waiting): (Vec<_>, Vec<_>) = self.waiting.drain(..).partition(is_late);
        self.waiting = waiting.into();
        let (ended, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|(at_ms, job)| *at_ms <= now_ms || is_late(job));
        self.running = running;
        for (_, job) in ended.iter().filter(|(at_ms, _)| *at_ms <= now_ms) {
            if load.remembers == Remembers::AtEnd {
                self.remember(load, (job.request.class, job.request.object));
            }
        }
        let ended = ended.into_iter().map(|(at_ms, job)| (job, at_ms <= now_ms));
        late.into_iter().map(|job| (job, false)).chain(ended).collect()
    }
}

struct Replay<'a> {
    load: &'a Load,
    random: fastrand::Rng,
    balancers: Vec<Balancer>,
    servers: BTreeMap<String, Server>,
    returning: Vec<(u64, Request)>,
    seconds: Vec<Second>,
}

impl<'a> Replay<'a> {
    fn new(load: &'a Load) -> Replay<'a> {
        let balancer =
            |own| balancer_by((load.rule)(), own, load.instances, load.servers.iter().cloned());
        let server = |backend: &Backend| (backend.id.as_str().to_owned(), Server::new(backend));
        Replay {
            load,
            random: fastrand::Rng::with_seed(load.seed),
            balancers: (0..load.instances).map(balancer).collect(),
            servers: load.servers.iter().map(server).collect(),
            returning: Vec::new(),
            seconds: Vec::new(),
        }
    }

    fn step(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(1_000) {
            self.seconds.push(Second::default());
        }
        let per_ms = (self.load.per_s)(now_ms) / 1_000.0;
        while self.random.f64() < per_ms {
            let request = self.arrival(now_ms);
            self.second(&request).asked += 1;
            self.send(request, now_ms);
            if self.random.f64() < 0.5 {
                break;
            }
        }
        let (due, returning): (Vec<_>, Vec<_>) =
            self.returning.drain(..).partition(|&(at_ms, _)| at_ms <= now_ms);
        self.returning = returning;
        for (_, request) in due {
            let instance = self.instance_for(request.object);
            self.send(Request { instance, ..request }, now_ms);
        }
        self.work(now_ms);
        if self.load.tells_others && now_ms.is_multiple_of(TELL_EVERY_MS) {
            tell_others(&mut self.balancers, now_ms);
        }
    }

    fn arrival(&mut self, now_ms: u64) -> Request {
        let class = self.class();
        let instance = self.random.usize(..self.load.instances);
        let object = self.random.u64(..self.load.classes[class].objects);
        let instance = self.near(object, instance);
        Request { class, object, instance, born_ms: now_ms, is_return: false }
    }

    fn class(&mut self) -> usize {
        let classes = &self.load.classes;
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

    fn instance_for(&mut self, object: u64) -> usize {
        let instance = self.random.usize(..self.load.instances);
        self.near(object, instance)
    }

    /// `instance`, or if the clients of `object` are all in another region the next
    /// instance of that.
    fn near(&self, object: u64, instance: usize) -> usize {
        if !self.load.is_regional {
            return instance;
        }
        let region = ZONES[(object as usize * 2) % ZONES.len()].1;
        let mut instances = (0..self.load.instances).cycle().skip(instance);
        instances.find(|&instance| region_of(instance) == region).unwrap()
    }

    fn second(&mut self, request: &Request) -> &mut Second {
        &mut self.seconds[(request.born_ms / 1_000) as usize]
    }

    fn send(&mut self, request: Request, now_ms: u64) {
        let Some(choice) = self.choose(&request, now_ms) else {
            return self.refused(request, now_ms);
        };
        let server = self.servers.get_mut(choice.backend.id.as_str()).unwrap();
        server.waiting.push_back(Job { request, handle: choice.handle, sent_ms: now_ms });
        let zone = choice.backend.zone.as_str();
        let region = ZONES.iter().find(|(name, _)| *name == zone).unwrap().1;
        let is_home = region == region_of(request.instance);
        let second = self.second(&request);
        second.sent += 1;
        second.at_home += u32::from(is_home);
    }

    /// A server that takes the request, after one more try if the first rejects it.
    fn choose(&mut self, request: &Request, now_ms: u64) -> Option<Choice> {
        let service = service();
        let class = &self.load.classes[request.class];
        let hash = (self.load.hash)(class, request.object);
        let mut tried = Vec::new();
        self.balancers[request.instance].record_request(hash, now_ms);
        for _ in 0..self.load.tries {
            let wish = BackendQuery { tried: &tried, ..query(&service, hash) };
            let choice = self.balancers[request.instance].choose(&wish, now_ms)?;
            if self.is_taken(&choice, now_ms) {
                return Some(choice);
            }
            self.balancers[request.instance].complete(choice.handle, Outcome::Rejected, now_ms);
            if !(self.load.asks_again)(&choice) {
                tried.push(choice.handle);
            }
        }
        None
    }

    fn is_taken(&mut self, choice: &Choice, now_ms: u64) -> bool {
        let waiting = self.servers[choice.backend.id.as_str()].waiting.len();
        let rejected = (self.load.rejected)(now_ms);
        waiting < self.load.server_queue && (rejected == 0.0 || self.random.f64() >= rejected)
    }

    fn refused(&mut self, request: Request, now_ms: u64) {
        if !request.is_return {
            let request = Request { is_return: true, ..request };
            let return_ms = &self.load.return_ms;
            let return_ms = match return_ms.start() == return_ms.end() {
                true => *return_ms.start(),
                false => self.random.u64(return_ms.clone()),
            };
            self.returning.push((now_ms + return_ms, request));
        }
    }

    fn work(&mut self, now_ms: u64) {
        let mut ended = Vec::new();
        for server in self.servers.values_mut() {
            ended.extend(server.finish(self.load, now_ms));
            server.start_next(self.load, now_ms);
        }
        for (job, is_done) in ended {
            let taken_ms = now_ms - job.sent_ms;
            let outcome = match is_done {
                true => Outcome::Succeeded { taken_ms },
                false => Outcome::TimedOut { taken_ms },
            };
            self.balancers[job.request.instance].complete(job.handle, outcome, now_ms);
            let target_latency_ms = self.load.classes[job.request.class].target_latency_ms;
            let is_in_time = is_done && now_ms - job.request.born_ms <= target_latency_ms;
            self.second(&job.request).in_time += u32::from(is_in_time);
        }
    }
}

fn region_of(instance: usize) -> &'static str {
    ZONES[instance % ZONES.len()].1
}
