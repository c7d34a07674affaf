//! The project's own interface before a crowd.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use oxbowbend_standin::load::Ended;
use oxbowbend_standin::local::ACCOUNT;

use crate::crowd::{Crowd, Heads, Play};
use crate::fleet::{ask, engine, send, Fleet};
use crate::process::Watch;

/// Memory that the settings give the daemon, in MB.
const MEMORY_MB: usize = 96;
/// Connections that the settings allow, and descriptors for everything else.
const CONNECTIONS: usize = 500;
const DESCRIPTORS: usize = CONNECTIONS + 200;
/// Largest body by default, in bytes.
const MAX_BODY: usize = 8 << 20;
/// Time after which an ordinary caller gives up for good.
const PATIENCE: Duration = Duration::from_secs(90);
const PAUSE: Duration = Duration::from_millis(250);
/// Limits of the daemon, lowered.
const ENVIRONMENT: [(&str, &str); 5] = [
    ("OXBOWD_MEMORY_MB", "96"),
    ("OXBOWD_MAX_CONNECTIONS", "500"),
    ("OXBOWD_MAX_CONNECTIONS_PER_CALLER", "500"),
    ("OXBOWD_IDLE_TIME", "3"),
    ("OXBOWD_BODY_TIME", "5"),
];

/// A crowd comes to one of three daemons, stays, and leaves.
pub async fn bear(clients: usize, play: impl Fn(usize) -> Play) {
    ENVIRONMENT.iter().for_each(|(name, value)| std::env::set_var(name, value));
    let fleet = Fleet::start(&[engine(8)]).await;
    ENVIRONMENT.iter().for_each(|(name, _)| std::env::remove_var(name));
    let instance = &fleet.instances[0];
    let watch = Watch::start(instance.pid());
    let heads: Heads = Arc::new(|id| {
        format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Id: {id}\r\nAuthorization: Bearer {}\r\n\
             Content-Type: application/json\r\n",
            ACCOUNT.1
        )
    });
    let crowd = Crowd::come(instance.callers, clients, play(MAX_BODY), &heads);
    crowd.has_sent().await;
    answers_ordinary(&fleet, "beside the crowd").await;
    let seen = crowd.leave().await;
    answers_ordinary(&fleet, "after the crowd has left").await;
    println!("{} answers", seen.iter().filter(|s| s.status.is_some()).count());
    // Status answers only while the process lives.
    instance.status().await;
    watch.check(MEMORY_MB, DESCRIPTORS);
}

async fn answers_ordinary(fleet: &Fleet, when: &str) {
    let began = Instant::now();
    for n in 0.. {
        let asked = ask(&format!("{when} {n}"), "live", 10, false);
        let (_, result) = send(fleet.instances[0].callers, asked).await;
        if result.ended == Ended::Whole {
            return;
        }
        assert!(began.elapsed() < PATIENCE, "no service {when}: {result:?}");
        task::sleep(PAUSE).await;
    }
}
