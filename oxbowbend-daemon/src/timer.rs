//! The timer service that the daemon's parts subscribe to.
//!
//! One task keeps all periods, so that a part needs no clock of its own and a test of a part can
//! drive it with a channel. A subscriber that is late gets one tick, not a backlog.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver, Sender};
use async_std::task;
use oxbowbend_clock as clock;

/// Resolution of the timer.
const STEP: Duration = Duration::from_millis(20);

struct Subscription {
    period: Duration,
    next: Instant,
    tx: Sender<Instant>,
}

/// The service; clones share it.
#[derive(Clone)]
pub(crate) struct Timer {
    subscriptions: Arc<Mutex<Vec<Subscription>>>,
}

impl Timer {
    /// Starts the service. It ends when nobody holds it any more.
    pub(crate) fn start() -> Timer {
        let subscriptions: Arc<Mutex<Vec<Subscription>>> = Arc::default();
        let weak = Arc::downgrade(&subscriptions);
        task::spawn(async move {
            while let Some(subscriptions) = weak.upgrade() {
                tick(&mut subscriptions.lock().expect("no panic under lock"), clock::now());
                drop(subscriptions);
                task::sleep(STEP).await;
            }
        });
        Timer { subscriptions }
    }

    /// Subscribes to a tick in every `period`.
    pub(crate) fn every(&self, period: Duration) -> Receiver<Instant> {
        let (tx, rx) = bounded(1);
        let next = clock::now() + period;
        let mut subscriptions = self.subscriptions.lock().expect("no panic under lock");
        subscriptions.push(Subscription { period, next, tx });
        rx
    }
}

fn tick(subscriptions: &mut Vec<Subscription>, now: Instant) {
    for s in subscriptions.iter_mut().filter(|s| s.next <= now) {
        s.next = now + s.period;
        s.tx.try_send(now).ok();
    }
    subscriptions.retain(|s| !s.tx.is_closed());
}
