//! What is believed of endpoints after the store has come back from an older copy.
//!
//! The copy may list endpoints that have left since, as ready. A request sent there breaks what was promised
//! when they left. So an entry of the copy takes nothing back: an endpoint that was leaving goes on leaving, and
//! one that has gone is held until it writes its entry again, or until the store would have removed the entry of
//! one that is not there.
//!
//! What was traded: an endpoint that had lapsed for want of the store and lives is used up to [`CONFIRM`]
//! later, if it changes nothing in its entry.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use oxbowbend_core::ids::EndpointId;
use oxbowbend_core::routes::Endpoint;

/// Time after which an entry of a copy is its endpoint's own word: the users' endpoints write every 1.2 s, and the
/// store removes entries after three such times; the rest is for the word of that.
pub const CONFIRM: Duration = Duration::from_millis(4500);
/// Time for which it is remembered that an endpoint has gone. Copies are some seconds old.
const REMEMBERED: Duration = Duration::from_secs(60);
/// Endpoints that are remembered at most.
const MAX_REMEMBERED: usize = 4096;

#[derive(Debug)]
struct Gone {
    born: u64,
    at: Instant,
}

/// Endpoints that have gone lately, and those of them that a copy lists again.
#[derive(Debug, Default)]
pub(super) struct Departed {
    gone: BTreeMap<EndpointId, Gone>,
    /// Until when they are held.
    held: BTreeMap<EndpointId, Instant>,
}

impl Departed {
    /// Notes that an endpoint has gone.
    pub(super) fn note(&mut self, now: Instant, endpoint: Endpoint) {
        self.held.remove(&endpoint.id);
        self.gone.retain(|_, gone| now.saturating_duration_since(gone.at) < REMEMBERED);
        if self.gone.len() < MAX_REMEMBERED {
            self.gone.insert(endpoint.id, Gone { born: endpoint.started_at_ms, at: now });
        }
    }

    /// Holds an endpoint that a copy lists, if it is a start that has gone; returns whether it does.
    pub(super) fn hold(&mut self, now: Instant, endpoint: &Endpoint) -> bool {
        let is_fresh = |gone: &&Gone| now.saturating_duration_since(gone.at) < REMEMBERED;
        let gone = self.gone.get(&endpoint.id).filter(is_fresh);
        let is_gone = gone.is_some_and(|gone| endpoint.started_at_ms <= gone.born);
        if is_gone {
            self.held.insert(endpoint.id.clone(), now + CONFIRM);
        }
        is_gone
    }

    /// Lets go of an endpoint that has written its entry, or whose entry has gone; returns whether it was held.
    pub(super) fn release(&mut self, id: &EndpointId) -> bool {
        self.held.remove(id).is_some()
    }

    /// Endpoints that have been held for long enough.
    pub(super) fn confirmed(&mut self, now: Instant) -> Vec<EndpointId> {
        let due = self.held.iter().filter(|(_, until)| now >= **until);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        self.held.retain(|_, until| now < *until);
        due
    }
}
