//! Callers who leave their streams, and what endpoints still do for them.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use async_std::task;

use crate::caller::{self, Seen};
use crate::endpoint::{Runs, LEAVES};
use crate::fleet::{Fleet, DAEMONS};

/// Callers who leave at the same time.
const LEAVERS: usize = 12;
/// Time after which endpoints are at work for a quarter of those who have left at most, and time after which they are for
/// nobody.
const STOPPED: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1000));
/// Time in which an endpoint that is at work makes more events.
const LOOKED: Duration = Duration::from_millis(200);

/// A request for which endpoints worked after its caller had left: its runs and events at two moments.
struct Late {
    seen: Seen,
    before: (usize, u64),
    after: (usize, u64),
}

impl fmt::Debug for Late {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Late { seen, before, after } = self;
        let Seen { id, daemon, status, .. } = seen;
        write!(f, "worked on {id} of {daemon}: {before:?}, {after:?}; its caller saw {status:?}")
    }
}

/// Callers of all instances, who leave.
pub struct Leavers {
    daemons: [SocketAddr; DAEMONS],
    logs: Vec<PathBuf>,
    runs: Runs,
}

impl Leavers {
    pub fn new(fleet: &Fleet) -> Leavers {
        let logs = fleet.daemons.iter().map(|daemon| daemon.log.clone()).collect();
        Leavers { daemons: fleet.callers(), logs, runs: fleet.runs.clone() }
    }

    /// They come and leave some times; returns what was still done for them.
    pub async fn leave(self, times: usize) -> Vec<String> {
        let mut broken = Vec::new();
        for time in 0..times {
            let sent = (0..LEAVERS).map(|n| {
                let id = format!("{LEAVES}{time}-{n}");
                task::spawn(caller::send(self.daemons[n % DAEMONS], "stream", id))
            });
            let seen = futures::future::join_all(sent).await;
            task::sleep(STOPPED.0).await;
            let late = self.worked_on(&seen).await;
            self.show(&late);
            if late.len() > LEAVERS / 4 {
                broken.push(format!("half a second after callers have left: {late:?}"));
            }
            task::sleep(STOPPED.1 - STOPPED.0 - LOOKED).await;
            let late = self.worked_on(&seen).await;
            self.show(&late);
            if !late.is_empty() {
                broken.push(format!("a second after callers have left: {late:?}"));
            }
        }
        broken
    }

    /// Requests for which endpoints begin or make something in a while.
    async fn worked_on(&self, seen: &[Seen]) -> Vec<Late> {
        let done = |seen: &Seen| {
            let records = self.runs.lock().unwrap();
            let runs = records.runs.get(&seen.id).map_or(0, Vec::len);
            (runs, records.made.get(&seen.id).copied().unwrap_or_default())
        };
        let before: Vec<_> = seen.iter().map(done).collect();
        task::sleep(LOOKED).await;
        let after = seen.iter().map(|seen| (seen, done(seen)));
        let late = after.zip(before).filter(|((_, after), before)| after != before);
        late.map(|((seen, after), before)| Late { seen: seen.clone(), before, after }).collect()
    }

    /// Prints what daemons have logged of requests for which work went on.
    fn show(&self, late: &[Late]) {
        for Late { seen, .. } in late {
            for log in &self.logs {
                let text = std::fs::read_to_string(log).unwrap_or_default();
                let lines = text.lines().filter(|line| line.contains(&format!("id={} ", seen.id)));
                lines.for_each(|line| println!("{}: {line}", log.display()));
            }
        }
    }
}
