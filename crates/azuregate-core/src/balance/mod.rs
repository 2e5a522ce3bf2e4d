/*!
Cache-aware load balancing over backend servers.

Backend servers work several times faster on an object that they have cached. [`Balancer`]
therefore sends requests for one object to the same server, chosen by rendezvous hashing
without coordination between instances, and moves them only when that server is full,
unhealthy or draining.

# Design

* [`Config`] is the operator's configuration; [`Backend`] and [`Member`] are the
  registrations of backend servers and entry instances.
* [`Balancer`] holds the state of all backend servers and chooses one per request by a
  [`LoadBalancingPolicy`], by default [`ObjectAffinity`].
* [`RetryBudgets`] and [`ColdStartBudget`] enforce limits over all instances, each within its
  own share. [`Balancer`] keeps the rate limits that backend servers name in the same way.
* [`Members`] tracks the entry instances and answers clients' lookups.
* [`Datagram`] is the message between entry instances.
* [`Reachability`] tells an instance that is cut off from backend servers from servers that are
  down; [`Members`] chooses the instance that sends its requests meanwhile.
* [`Quarantine`] recognizes requests that crash backend servers.
* A server that asks for a pause gets no requests from this instance until its end; see
  [`Balancer::record_pushback`]. One that announces that it is leaving gets none in this run; see
  [`Balancer::record_leaving`].
* [`RequestTimes`] tells which requests can end before a stopping instance does.
* [`RetryReason`] determines the retry delay of refused clients.
*/

mod backends;
mod choice;
mod cold_start;
mod config;
mod datagrams;
mod health;
mod leaving;
mod members;
mod missing_backends;
mod policy;
mod pushback;
mod quarantine;
mod rate_limit;
mod reachability;
mod remote_load;
mod replication_source;
mod request_times;
mod response;
mod retry_after;
mod retry_budget;
mod sent_ids;
mod share;
mod shared_objects;
mod unregistered;
mod weighted_round_robin;

pub use backends::{Backend, BackendHandle, Balancer, Settings};
pub use choice::{BackendQuery, Choice, Explanation, object_hash};
pub use cold_start::ColdStartBudget;
pub use config::{
    ClientLimits, Config, ConfigError, ConfigParts, Destination, RequestKind, Route, Service,
};
pub use datagrams::{Datagram, Heartbeat, Load};
pub use health::{Baseline, Health, Outcome};
pub use leaving::LeavingReport;
pub use members::{HeartbeatStatus, Member, Members};
pub use missing_backends::MissingBackends;
pub use policy::{Candidate, Decision, HealthStatus, LoadBalancingPolicy, ObjectAffinity};
pub use quarantine::{
    Admission, BackendRun, CrashReport, Fingerprint, Quarantine, ReportScope, ReportedCrash,
};
pub use rate_limit::{
    GrantRequest, RateLimitChange, RateLimitObservation, RateLimitReport, ReportedRateLimit,
};
pub use reachability::{Reachability, ReachabilityReport};
pub use remote_load::InFlightCount;
pub use replication_source::ReplicationSource;
pub use request_times::{RequestTimes, SendWindow};
pub use response::{ResponseHead, ResponseKind, promises_not_executed};
pub use retry_after::{RetryReason, retry_after_pause_ms};
pub use retry_budget::{RetryBudgets, RetryLimits};
pub use sent_ids::SentIds;
pub use weighted_round_robin::WeightedRoundRobin;
