//! What happens around the return of all instances, by seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// What the store does while the instances start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Away {
    Not,
    /// Refuses everything for a time after the start.
    Down(Duration),
    /// Answers so late for a time after the start.
    Slow(Duration, Duration),
}

#[derive(Clone, Debug)]
pub struct Plan {
    /// Time that an answer of a model server takes before the end and after it.
    pub first_work: Duration,
    pub work: Duration,
    /// Part of the model servers' slots that the load takes, by the work after the end.
    pub share: f64,
    /// Part of these requests that may not be repeated.
    pub once: f64,
    /// Factor on the load from the return on.
    pub burst: f64,
    /// Whether callers come back at once from the return on.
    pub is_hasty: bool,
    /// Time from the end to the start.
    pub down: Duration,
    pub store: Away,
    /// Time for which endpoints do not notice that connections have closed, as after a power loss.
    pub unnoticed: Option<Duration>,
    /// Connections that endpoints accept.
    pub model_connections: usize,
    pub app_connections: usize,
    /// Machines in ten that come back under other names and addresses, and that stay away.
    pub replaced: u8,
    pub removed: u8,
    /// Processes that run at a time, as if each had a part of a processor; all if `None`.
    pub running: Option<usize>,
    /// Time for which somebody else holds a port of some machines.
    pub held_ports: Option<Duration>,
    /// Whether nine tenths of what was served before are asked for late after the return, whatever is wrong.
    pub is_late_judged: bool,
}

impl Plan {
    /// A plain end and return of all before sound endpoints whose answers take longer than the objective.
    pub fn slow_endpoints() -> Plan {
        Plan {
            first_work: Duration::from_millis(1000),
            work: Duration::from_millis(1000),
            share: 0.25,
            once: 0.0,
            burst: 1.0,
            is_hasty: false,
            down: Duration::from_millis(900),
            store: Away::Not,
            unnoticed: None,
            model_connections: 1294,
            app_connections: 879,
            replaced: 0,
            removed: 0,
            running: None,
            held_ports: None,
            is_late_judged: false,
        }
    }

    /// The plan of a seed.
    pub fn drawn(seed: u64) -> Plan {
        let rng = &mut Pcg64::seed_from_u64(seed);
        let ms = |n: u64| Duration::from_millis(n);
        let base = Plan::slow_endpoints();
        let work = ms([300, 600, 1000, 1500][rng.random_range(0..4)]);
        let store = match rng.random_range(0..4) {
            0 => Away::Down(ms(rng.random_range(500..7000))),
            1 => Away::Slow(ms(240), ms(rng.random_range(2000..9000))),
            _ => Away::Not,
        };
        let half = |rng: &mut Pcg64| rng.random_bool(0.5);
        let is_lost = half(rng);
        Plan {
            first_work: if half(rng) { work } else { ms(150) },
            work,
            share: [0.25, 0.45, 0.6][rng.random_range(0..3)],
            once: [0.0, 0.3, 0.6][rng.random_range(0..3)],
            burst: [1.0, 1.0, 1.5][rng.random_range(0..3)],
            is_hasty: rng.random_bool(0.3),
            down: ms(rng.random_range(100..3000)),
            store,
            unnoticed: is_lost.then(|| ms(rng.random_range(5000..20000))),
            // Few more than the connections that all instances keep, so that dead ones leave little room.
            model_connections: if half(rng) { 60 } else { base.model_connections },
            app_connections: if half(rng) { 500 } else { base.app_connections },
            replaced: if rng.random_bool(0.3) { rng.random_range(1..=10) } else { 0 },
            removed: if rng.random_bool(0.2) { rng.random_range(1..=3) } else { 0 },
            running: rng.random_bool(0.25).then_some(6),
            held_ports: rng.random_bool(0.2).then(|| ms(rng.random_range(1000..6000))),
            is_late_judged: false,
        }
    }

    /// Whether nothing is wrong with store, endpoints and machines after the return.
    pub fn is_well(&self) -> bool {
        self.running.is_none()
            && self.held_ports.is_none()
            && self.unnoticed.is_none()
            && self.removed == 0
            && !self.is_hasty
            && self.share * self.burst < 0.7
            && !matches!(self.store, Away::Slow(..))
    }
}
