/*!
Pure decisions of the oxbowbend request scheduler.

Everything here is a state machine of the form `(state, now, event) -> actions`. Nothing in this
crate opens a socket, reads a clock or draws a random number, so every fault can be injected at
every step by a plain test.

# Usage

[`node::Node`] composes the parts that one instance runs: the [`entry`] that holds callers'
requests, the [`scheduler`] of each pool this instance was chosen for, and the [`permits`] this
instance owns. The daemon feeds it [`node::Event`]s and carries out the [`node::Action`]s.

[`cell::Cell`] is the decision where endpoints do not promise their slots: every instance tells the
others what it runs and what waits, and all come to the same order on their own. [`routes::RoutingTable`],
[`quota::Quotas`] and [`retries::RetryLimiter`] stand beside it.

# Limits

Times are [`std::time::Instant`]s supplied by the caller. The crate trusts them to be monotonic
and to include the time for which the instance was suspended.
*/

#![deny(clippy::disallowed_methods)]

pub mod admission;
pub mod ages;
pub mod budget;
pub mod cache;
pub mod cell;
pub mod entry;
pub mod fingerprint;
pub mod ids;
pub mod ledger;
pub mod membership;
pub mod message;
pub mod node;
pub mod permits;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod retries;
pub mod rollout;
pub mod routes;
pub mod scheduler;
pub mod selection;
pub mod shutdown;
pub mod silence;
pub mod speed;
pub mod subscription;
pub mod token_bucket;
pub mod topology;
