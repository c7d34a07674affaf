/*!
Decision logic of the oxbowbend request scheduler, free of I/O.

Every component is a state machine of the form `(state, now, event) -> actions`. Nothing in this
crate opens a socket, reads a clock or draws a random number from the environment, so a unit test
can inject any fault at any step.

# Usage

[`node::Node`] combines the components that one instance runs: the [`ingress`] that holds callers'
requests, the [`scheduler`] of each pool assigned to this instance, and the [`permits`] that this
instance owns. The daemon passes [`node::Event`]s to it and carries out the [`node::Action`]s that
it returns.

[`cell::Cell`] schedules requests where endpoints do not reserve slots for an instance: all
instances exchange their running and waiting requests, and each computes the same order from them.
It is used together with [`routes::RoutingTable`], [`quota::Quotas`] and
[`retries::RetryLimiter`].

# Limits

Times are [`std::time::Instant`]s supplied by the caller. They must be monotonic and must advance
while the machine is suspended.
*/

#![deny(clippy::disallowed_methods)]

pub mod admission;
pub mod ages;
pub mod budget;
pub mod cache;
pub mod cell;
pub mod config_lag;
pub mod config_order;
pub mod continuity;
pub mod event_stream;
pub mod fair_share;
pub mod fingerprint;
pub mod handover;
pub mod ids;
pub mod ingress;
pub mod intake;
pub mod isolation;
pub mod ledger;
pub mod membership;
pub mod memory;
pub mod message;
pub mod node;
pub mod overflow;
pub mod permits;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod report_pacing;
pub mod retries;
pub mod rollout;
pub mod routes;
mod saturating;
pub mod scheduler;
pub mod selection;
pub mod shutdown;
pub mod silence;
pub mod slot_leases;
pub mod snapshot_requests;
pub mod speed;
pub mod streams;
pub mod subscription;
pub mod token_bucket;
pub mod topology;
