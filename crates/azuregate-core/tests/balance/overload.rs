//! A load that replays how an overload outlasts its cause.
//!
//! Ten servers of three slots remember 43 objects each and work 72 ms on one that
//! they remember, 240 ms on another. Nine instances send 300 requests a second
//! about 261 objects, three quarters of what warm servers can take and more than
//! twice of what cold ones can. At 6 s the load is three times as high, for two
//! seconds. Requests that were refused come back once.

use std::collections::{BTreeMap, VecDeque};

use azuregate_core::balance::{
    BackendHandle, Balancer, ByObject, Candidate, Outcome, Placed, Placement,
};

use crate::world::{backend, balancer_by, query, service, tell_others};

const INSTANCES: usize = 9;
const SERVERS: usize = 10;
const USUAL_PER_S: f64 = 300.0;
const BURST_PER_S: f64 = 900.0;
const OBJECTS: u64 = 261;
const SLOTS: usize = 3;
const SERVER_QUEUE: usize = 9;
const REMEMBERED: usize = 43;
const WARM_MS: u64 = 72;
const COLD_MS: u64 = 240;
const OBJECTIVE_MS: u64 = 250;
const DEADLINE_MS: u64 = 1_000;
const RETURN_MS: u64 = 250;

#[derive(Clone)]
struct Job {
    object: u64,
    instance: usize,
    handle: BackendHandle,
    born_ms: u64,
    sent_ms: u64,
}

/// A server with slots, a queue, and a memory of the objects that it handled last.
#[derive(Default)]
struct Server {
    running: Vec<(u64, Job)>,
    waiting: VecDeque<Job>,
    remembered: VecDeque<u64>,
}

impl Server {
    fn start_next(&mut self, now_ms: u64) {
        while self.running.len() < SLOTS
            && let Some(job) = self.waiting.pop_front()
        {
            let is_warm = self.remembered.contains(&job.object);
            let work_ms = if is_warm { WARM_MS } else { COLD_MS };
            self.running.push((now_ms + work_ms, job));
        }
    }

    /// The jobs that are done, or whose client has left.
    fn finish(&mut self, now_ms: u64) -> Vec<(Job, bool)> {
        let mut ended = Vec::new();
        self.waiting.retain(|job| {
            let is_late = now_ms >= job.born_ms + DEADLINE_MS;
            if is_late {
                ended.push((job.clone(), false));
            }
            !is_late
        });
        let (done, running): (Vec<_>, Vec<_>) = self
            .running
            .drain(..)
            .partition(|(at_ms, job)| *at_ms <= now_ms || now_ms >= job.born_ms + DEADLINE_MS);
        self.running = running;
        for (at_ms, job) in done {
            let is_done = at_ms <= now_ms;
            if is_done {
                self.remembered.retain(|object| *object != job.object);
                self.remembered.push_front(job.object);
                self.remembered.truncate(REMEMBERED);
            }
            ended.push((job, is_done));
        }
        ended
    }
}

struct World {
    balancers: Vec<Balancer>,
    servers: BTreeMap<String, Server>,
    returning: Vec<(u64, u64)>,
    asked: Vec<u32>,
    in_time: Vec<u32>,
    tells_others: bool,
}

impl World {
    fn new(tells_others: bool, rule: fn() -> Box<dyn Placement>) -> World {
        let balancer = |own| balancer_by(rule(), own, INSTANCES, (0..SERVERS).map(backend));
        World {
            balancers: (0..INSTANCES).map(balancer).collect(),
            servers: (0..SERVERS).map(|n| (format!("server-{n}"), Server::default())).collect(),
            returning: Vec::new(),
            asked: Vec::new(),
            in_time: Vec::new(),
            tells_others,
        }
    }

    /// Sends a request; `may_return` if it comes back when it is refused.
    fn send(&mut self, instance: usize, object: u64, born_ms: u64, now_ms: u64) {
        let service = service();
        let choice = self.balancers[instance].choose(&query(&service, object), now_ms);
        let Some(choice) = choice else { return self.refused(object, born_ms, now_ms) };
        let server = self.servers.get_mut(choice.backend.id.as_str()).unwrap();
        if server.waiting.len() >= SERVER_QUEUE {
            self.balancers[instance].end(choice.handle, Outcome::Full, now_ms);
            return self.refused(object, born_ms, now_ms);
        }
        let job = Job { object, instance, handle: choice.handle, born_ms, sent_ms: now_ms };
        server.waiting.push_back(job);
    }

    fn refused(&mut self, object: u64, born_ms: u64, now_ms: u64) {
        if born_ms == now_ms {
            self.returning.push((now_ms + RETURN_MS, object));
        }
    }

    fn step(&mut self, now_ms: u64) {
        for server in self.servers.values_mut() {
            for (job, is_done) in server.finish(now_ms) {
                let taken_ms = now_ms - job.sent_ms;
                let outcome = match is_done {
                    true => Outcome::Answered { taken_ms },
                    false => Outcome::TimedOut { taken_ms },
                };
                self.balancers[job.instance].end(job.handle, outcome, now_ms);
                let in_time = is_done && now_ms - job.born_ms <= OBJECTIVE_MS;
                self.in_time[(job.born_ms / 1_000) as usize] += u32::from(in_time);
            }
            server.start_next(now_ms);
        }
        if self.tells_others && now_ms.is_multiple_of(100) {
            tell_others(&mut self.balancers, now_ms);
        }
    }
}

/// The share of requests that are answered within their objective, each second.
fn replay(tells_others: bool, rule: fn() -> Box<dyn Placement>) -> Vec<f64> {
    let mut world = World::new(tells_others, rule);
    let mut random = fastrand::Rng::with_seed(1);
    for now_ms in 0..18_000_u64 {
        if now_ms.is_multiple_of(1_000) {
            world.asked.push(0);
            world.in_time.push(0);
        }
        let per_s = if (6_000..8_000).contains(&now_ms) { BURST_PER_S } else { USUAL_PER_S };
        while random.f64() < per_s / 1_000.0 {
            world.asked[(now_ms / 1_000) as usize] += 1;
            let (instance, object) = (random.usize(..INSTANCES), random.u64(..OBJECTS));
            world.send(instance, object, now_ms, now_ms);
            if random.f64() < 0.5 {
                break;
            }
        }
        let due: Vec<_> =
            world.returning.iter().filter(|&&(at, _)| at == now_ms).copied().collect();
        world.returning.retain(|&(at, _)| at != now_ms);
        for (_, object) in due {
            let instance = random.usize(..INSTANCES);
            world.send(instance, object, now_ms - RETURN_MS, now_ms);
        }
        world.step(now_ms);
    }
    let shares = world.asked.iter().zip(&world.in_time);
    shares.map(|(&asked, &in_time)| f64::from(in_time) / f64::from(asked)).collect()
}

/// The mean share in the seconds after the burst.
fn afterwards(shares: &[f64]) -> f64 {
    let seconds = &shares[11..17];
    seconds.iter().sum::<f64>() / seconds.len() as f64
}

fn by_object() -> Box<dyn Placement> {
    Box::new(ByObject)
}

/// An earlier rule, to be played beside the one that is used: a full server is
/// left for the object's second at any load of that.
#[derive(Debug)]
struct SecondAtAnyLoad;

impl Placement for SecondAtAnyLoad {
    fn place(&self, _is_large: bool, candidates: &[Candidate]) -> Placed {
        let mut ranked: Vec<&Candidate> = candidates.iter().collect();
        ranked.sort_by_key(|server| (server.standing, !server.hash));
        let mut owners = ranked.into_iter().take(2);
        let (first, second) = (owners.next(), owners.next());
        let chosen = first.filter(|first| first.has_place(4));
        let chosen = chosen.or(second.filter(|second| second.has_place(5)));
        Placed { chosen: chosen.map(|server| server.handle), ..Placed::default() }
    }
}

/// Clients see late answers and refusals while the load is too high, and good
/// answers three seconds after it is as before.
#[test]
fn an_overload_ends_with_its_cause() {
    let shares = replay(true, by_object);
    assert!(afterwards(&shares) > 0.8, "{shares:.2?}");
}

/// The same load, and a full server is left for a full one: each server sees more
/// objects than it remembers, all work is cold, and the overload stays.
#[test]
fn a_second_server_at_any_load_keeps_the_overload_up() {
    let shares = replay(true, || Box::new(SecondAtAnyLoad));
    assert!(afterwards(&shares) < 0.6, "{shares:.2?}");
}

/// The same load, and the instances do not tell each other what they have in
/// flight: queues grow unseen, and a third of the answers is late for good.
#[test]
fn knowing_what_others_have_in_flight_keeps_queues_short() {
    let (told, untold) = (replay(true, by_object), replay(false, by_object));
    assert!(afterwards(&told) > afterwards(&untold) + 0.1, "{told:.2?} and {untold:.2?}");
}
