/*!
Bounded HTTP serving and pooled HTTP calls for oxbowbend.

The protocol itself is `async-h1`'s. This crate adds what that library leaves to its user: bounds
on time, size and number; a pool of client connections; and the check that a body is as long as
its `Content-Length` says, without which a truncated answer passes for a whole one.

# Usage

[`server::serve`] runs a [`server::Handler`] on a listener. [`client::Client`] sends requests.
[`problem::Problem`] builds error responses as of RFC 9457.

[`h1`] serves and calls on top of `hyper`, for traffic whose framing must be judged exactly: answers
that end with their connection, cut ones, interim ones.

# Limits

HTTP/1.1 without TLS and without pipelining. A head is at most 8 KiB.
*/

#![deny(clippy::disallowed_methods)]

pub mod body;
pub mod client;
mod event_end;
pub mod h1;
pub mod listener;
pub mod memory;
pub mod problem;
pub mod server;
