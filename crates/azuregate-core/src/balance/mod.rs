/*!
Chooses backend servers by the object that a request is about.

Backend servers work several times faster on an object that they handled
recently. [`Balancer`] therefore sends requests for one object to the same
server on all instances of a region, by rendezvous hashing and without any message
between them, and leaves that server only when it is full, failing or leaving.

# Design

* [`Config`] is the operator's configuration; [`Backend`] and [`Member`] are what
  backend servers and entry instances say of themselves.
* [`Balancer`] holds the state of all backend servers and decides where a request
  goes, by the rule of a [`LoadBalancingPolicy`], which is [`ObjectAffinity`].
* [`RetryBudget`] and [`ColdStartBudget`] bound what all instances do together, each
  by a share of its own.
* [`Members`] tells which entry instances clients should use.
* [`Datagram`] is what entry instances tell each other.
* [`RetryReason`] tells refused clients when to come back.
*/

mod backends;
mod choice;
mod cold_start;
mod config;
mod datagrams;
mod health;
mod members;
mod missing_backends;
mod policy;
mod remote_load;
mod replication_source;
mod retry_after;
mod retry_budget;
mod shared_objects;
mod weighted_round_robin;

pub use backends::{Backend, BackendHandle, Balancer, Settings};
pub use choice::{BackendQuery, Choice, Explanation, object_hash};
pub use cold_start::ColdStartBudget;
pub use config::{
    ClientLimits, Config, ConfigError, ConfigParts, Destination, RequestKind, Route, Service,
};
pub use datagrams::{Datagram, Heartbeat, Load};
pub use health::{Baseline, Health, Outcome};
pub use members::{HeartbeatStatus, Member, Members};
pub use missing_backends::MissingBackends;
pub use policy::{Candidate, Decision, HealthStatus, LoadBalancingPolicy, ObjectAffinity};
pub use remote_load::InFlightCount;
pub use replication_source::ReplicationSource;
pub use retry_after::RetryReason;
pub use retry_budget::RetryBudget;
pub use weighted_round_robin::WeightedRoundRobin;
