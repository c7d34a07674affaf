/*!
Passes plain HTTP requests on to endpoints.

An operator's platform brings callers, declares routes, lists endpoints and stores what must last;
this crate is the product's side of that. What the platform's messages look like is behind the
traits of [`seam`], so that nothing here knows a name of theirs.

# Usage

[`gateway::Gateway::start`] takes a [`seam::Wire`], a [`seam::Store`] and a [`gateway::Config`].
Decisions are `oxbowbend-core`'s; here they are fed and carried out.

# Limits

Bodies of requests are read whole before they are passed on, within the operator's bound. Instances
trust each other's datagrams; the network between them must not be open to others.
*/

#![deny(clippy::disallowed_methods)]

mod audience;
mod catch_up;
mod client_memory;
pub mod entry;
pub mod features;
pub mod gateway;
pub mod seam;
pub mod source;
pub mod world;

mod confirm;
mod follow;
mod intake;
mod knowledge;
pub mod link;
mod moved;
mod observe;
mod order;
mod path;
mod peers;
mod quarantine;
mod relay;
mod rollouts;
mod shared;
mod signals;
mod slot_leases;
mod snapshots;
mod stop;
mod streams;
mod waiting;
mod watches;
