//! Requests of all kinds to all instances in turn, at a steady pace.

use std::time::{Duration, Instant};

use async_std::task;

use crate::caller::{self, Seen, KINDS};
use crate::fleet::{Fleet, DAEMONS};

/// Time between two requests.
const PACE: Duration = Duration::from_millis(7);

/// Sends for a while and waits for all answers.
pub async fn press(fleet: &Fleet, part: &str, length: Duration) -> Vec<Seen> {
    let until = Instant::now() + length;
    let mut sent = Vec::new();
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        let daemon = fleet.daemons[n % DAEMONS].callers;
        let kind = KINDS[n / DAEMONS % KINDS.len()];
        sent.push(task::spawn(caller::send(daemon, kind, format!("p-{part}-{n}"))));
        task::sleep(PACE).await;
    }
    futures::future::join_all(sent).await
}

/// The first of these that was not served.
pub fn unserved(seen: &[Seen]) -> Option<String> {
    let failed = seen.iter().filter(|seen| !seen.is_served());
    let count = failed.clone().count();
    failed.map(|seen| format!("{count} are not served, the first: {seen:?}")).next()
}
