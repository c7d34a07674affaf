//! Asking the store, when a stream is taken up, whether an endpoint of another version has come since its last word.
//!
//! What the watch has told is as old as its last answer, and an instance that was suspended or cut off does not notice
//! that before it acts on it. The store's answer to a read that begins after the stream was taken up is new enough,
//! however long the instance is suspended afterwards. One read serves all that wait for it.

use std::time::Duration;

use async_std::channel::{self, Receiver, Sender};
use async_std::future;
use futures::channel::oneshot;
use oxbowbend_clock as clock;
use oxbowbend_core::subscription::WatchParams;

use crate::observe;
use crate::seam::{Part, Position, Store};
use crate::shared::{Shared, State};

/// Time limit of a confirmation. The store answers in 4 ms; when it is slow, up to sixty times as long.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);
/// Confirmations that may wait for the next read.
const MAX_WAITING: usize = 1024;

/// Whoever waits for a read that begins after it asked.
type Waiter = oneshot::Sender<()>;

/// Those that wait for a read.
#[derive(Clone)]
pub(crate) struct Confirmations {
    tx: Sender<Waiter>,
    rx: Receiver<Waiter>,
}

impl Default for Confirmations {
    fn default() -> Confirmations {
        let (tx, rx) = channel::bounded(MAX_WAITING);
        Confirmations { tx, rx }
    }
}

impl State {
    /// From where this instance can ask for what has changed; none while it copies or the store is away.
    fn confirmable_from(&self) -> Option<Position> {
        self.watched_to.filter(|_| self.has_store() && self.world.is_loaded())
    }
}

impl Shared {
    /// Asks the store for the versions that have come by now; returns whether it has answered.
    pub(crate) async fn confirm_versions(&self) -> bool {
        if self.lock().confirmable_from().is_none() {
            return false;
        }
        let (tx, rx) = oneshot::channel();
        if self.confirmations.tx.try_send(tx).is_err() {
            return false;
        }
        matches!(future::timeout(CONFIRM_TIMEOUT, rx).await, Ok(Ok(())))
    }
}

/// Reads for those that wait, one read after the other.
pub(crate) async fn run<S: Store>(store: S, shared: Shared) {
    let requests = shared.confirmations.rx.clone();
    while let Ok(first) = requests.recv().await {
        let mut waiting = vec![first];
        while let Ok(waiter) = requests.try_recv() {
            waiting.push(waiter);
        }
        waiting.retain(|waiter| !waiter.is_canceled());
        if !waiting.is_empty() && read(&store, &shared).await {
            // Whoever has given up has dropped its receiver.
            for waiter in waiting {
                let _ = waiter.send(());
            }
        }
    }
}

/// Takes in the versions of all changes until now; returns whether that succeeded.
async fn read<S: Store>(store: &S, shared: &Shared) -> bool {
    let Some(after) = shared.lock().confirmable_from() else { return false };
    let began = clock::now();
    let call = WatchParams { wait: Duration::ZERO, timeout: CONFIRM_TIMEOUT };
    let result = store.changes(Part::Endpoints, after.revision, call).await;
    let took_ms = clock::since(began).as_millis();
    match result {
        Ok(changes) if changes.epoch == after.epoch => {
            observe::store_call("confirm", "ok");
            let count = changes.records.len();
            log::debug!("event=versions_confirmed changes={count} took_ms={took_ms}");
            let mut state = shared.lock();
            // The watch tells the endpoints themselves, in its order.
            state.hear_versions(clock::now(), &changes);
            state.streams.record_changes(began);
            true
        }
        // Revisions of another epoch say nothing of what has changed since.
        Ok(changes) => {
            observe::store_call("confirm", "outdated");
            let (epoch, known) = (changes.epoch, after.epoch);
            log::warn!("event=versions_not_confirmed epoch={epoch} known={known}");
            false
        }
        Err(e) => {
            observe::store_call("confirm", "failed");
            log::warn!("event=versions_not_confirmed took_ms={took_ms} error=\"{e}\"");
            false
        }
    }
}
