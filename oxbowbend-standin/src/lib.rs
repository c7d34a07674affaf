/*!
Stand-ins for what surrounds oxbowbend, and tools to load and measure it. Not published.

# Usage

[`platform::Platform`], [`engine::Engine`] and [`service::Service`] each start on a listener inside
the calling process; the examples of the same names run them as processes. Each has switches for
its faults, set over HTTP at `/standin/switches`.

# Limits

They are stand-ins, not simulators: they keep the interfaces, the timing in outline, and a record
of what reached them, which the tests compare with what callers were told.
*/

pub mod engine;
pub mod experiment;
pub mod load;
pub mod local;
pub mod platform;
pub mod service;
pub mod switches;
