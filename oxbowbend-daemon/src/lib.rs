/*!
The oxbowbend daemon, as a library that the binary `oxbowd` wraps.

# Usage

Read [`settings::Settings`] and pass them to [`daemon::Daemon::start`]. Tests and the local demo
start several daemons in one process; in service each runs in a process of its own.

# Limits

The daemon keeps nothing on disk. Peers speak plain TCP and prove themselves by a shared secret;
the network between instances is trusted not to be read.
*/

#![deny(clippy::disallowed_methods)]

pub mod daemon;
pub mod settings;

mod callers;
mod config;
mod drain;
mod hub;
mod ids;
mod listing;
mod observe;
mod operators;
mod orders;
mod peers;
mod probes;
mod router;
mod timer;
