//! Experiments: the real decisions against small fakes of engines, in virtual time.
//!
//! One pool, one scheduler, and engines reduced to slots, two speeds and a prefix cache. There is
//! no network, no platform and no second instance in here; what needs those belongs in a live run.
//! The same seed gives the same figures.

pub mod deployment;
pub mod engines;
pub mod policy;
pub mod report;
pub mod run;
