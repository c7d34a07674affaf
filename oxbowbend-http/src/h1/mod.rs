//! HTTP/1.1 on `hyper`'s connections over async-std's sockets.
//!
//! `async-h1` takes an answer without a length for an empty one, a cut one for whole and an
//! interim one for the answer. Traffic that is passed on needs the truth there, so this module
//! uses the nearest kin that tells it. Pools, bounds and the end of connections are here; framing
//! is the library's.

mod collect;
mod framing;
mod gate;
mod head_charge;
mod head_limit;
mod held;
mod meter;
mod observed;
mod outgoing;
mod pool;
mod server;
mod silence;
mod unflushed;
mod whole;

pub use collect::{collect, Collected};
pub use framing::Framing;
pub use gate::{ConnectionCounts, ConnectionGate};
pub use held::{discard, hold, HeldBody, HoldError};
pub use meter::LinkMeter;
pub use pool::{CallError, Conn, Pool, PoolConfig};
pub use server::{serve, serve_limited, ConnectionLimits, Door, ServeConfig};
pub use silence::SilenceLimits;
pub use whole::Whole;
