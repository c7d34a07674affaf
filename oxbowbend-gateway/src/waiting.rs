//! A caller's side of the queue.

use std::time::Duration;

use futures::channel::oneshot;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::{Assignment, Outcome, Ticket};

use crate::shared::Shared;

/// A request that waits for its place. Dropping it takes it out of the queue, or ends the run that
/// it was given and did not take.
pub(crate) struct Waiting {
    shared: Shared,
    ticket: Ticket,
    rx: oneshot::Receiver<Assignment>,
}

impl Waiting {
    /// The request behind a ticket, whose place comes through the receiver.
    pub(crate) fn new(
        shared: Shared,
        ticket: Ticket,
        rx: oneshot::Receiver<Assignment>,
    ) -> Waiting {
        Waiting { shared, ticket, rx }
    }

    /// The place, if it comes in time.
    pub(crate) async fn place(mut self, limit: Duration) -> Option<Assignment> {
        match async_std::future::timeout(limit, &mut self.rx).await {
            Ok(Ok(assignment)) => Some(assignment),
            // Withdrawn below; what was placed in the same instant is taken all the same.
            _ => {
                self.withdraw();
                self.rx.try_recv().ok().flatten()
            }
        }
    }

    /// Whether the place is not to be expected within `limit`.
    pub(crate) fn should_refuse(&self, limit: Duration) -> bool {
        self.shared.lock().cell.should_refuse(clock::now(), self.ticket, limit)
    }

    fn withdraw(&self) -> bool {
        let mut state = self.shared.lock();
        state.waiters.remove(&self.ticket);
        state.cell.dequeue(self.ticket)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.withdraw() {
            self.shared.tell_others();
        } else if let Ok(Some(assignment)) = self.rx.try_recv() {
            let Assignment { endpoint, prompt_tokens, .. } = assignment;
            self.shared.finish(endpoint.key(), prompt_tokens, Outcome::Neutral);
        }
    }
}
