//! The time of this instance.
//!
//! The standard [`Instant`] stands still while the machine is suspended. The decisions must notice
//! a suspension, so time is taken from the boot-time clock and given the standard type.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

/// The present, including the time for which the machine was suspended.
pub(crate) fn now() -> Instant {
    static START: OnceLock<(Instant, Duration)> = OnceLock::new();
    let (instant, boot) = START.get_or_init(|| (Instant::now(), boot_time()));
    *instant + boot_time().saturating_sub(*boot)
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}
