/*!
The time of an instance.

The standard [`Instant`] stands still while the machine is suspended, on Linux. Leases, windows, deadlines and the
ages of what is known do not, so whoever decides by time takes it from here: the boot-time clock, given the standard
type. `clippy.toml` disallows the standard functions elsewhere.

# Usage

```
use std::time::Duration;

let began = oxbowbend_clock::now();
assert!(oxbowbend_clock::since(began) < Duration::from_secs(1));
```

# Limits

Timers of the runtime run by the steady clock: one that slept through a suspension is late by as much. What must not
act late asks for the time again before it acts.
*/

#![allow(clippy::disallowed_methods)]

use std::sync::OnceLock;
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};

/// The present, including the time for which the machine was suspended.
pub fn now() -> Instant {
    static START: OnceLock<(Instant, Duration)> = OnceLock::new();
    let (instant, boot) = START.get_or_init(|| (Instant::now(), boot_time()));
    *instant + boot_time().saturating_sub(*boot)
}

/// Time since an instant that [`now`] gave; zero if it is to come.
pub fn since(at: Instant) -> Duration {
    now().saturating_duration_since(at)
}

fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec.max(0) as u64, time.tv_nsec.clamp(0, 999_999_999) as u32)
}
