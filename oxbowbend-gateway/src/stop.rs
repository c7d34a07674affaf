//! Stopping without cutting anything off.
//!
//! Readiness fails first. The balancer notices within two of its questions, so connections are
//! served on, each answer closing its own; idle ones are closed only when no new request is to be
//! expected on them, and whoever still comes is sent elsewhere. The process ends with its last answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::channel::{bounded, Receiver};
use async_std::task;
use oxbowbend_http::h1;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Time for which requests are served as before: the balancer takes two questions a second apart to
/// notice. What comes later is told at once that it has not run, since a stream that begins then
/// may not end in time.
const LINGER: Duration = Duration::from_millis(2500);
/// Part of the grace time after which the process ends whatever is left. The platform kills it at
/// the end of it.
const GRACE_SHARE: f64 = 0.95;
/// How often it is looked whether all is done.
const LOOK: Duration = Duration::from_millis(20);
/// Time without a request after which nothing more is expected.
const QUIET: Duration = Duration::from_millis(300);

/// Subscribes to the signals to stop and to read the settings again.
pub(crate) fn signals() -> std::io::Result<Receiver<i32>> {
    let (tx, rx) = bounded(4);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    std::thread::Builder::new().name("signals".to_owned()).spawn(move || {
        for signal in signals.forever() {
            // A full channel holds signals enough.
            let _ = tx.try_send(signal);
        }
    })?;
    Ok(rx)
}

/// Waits for the signal to stop and carries it out; returns the requests that were cut off.
pub(crate) async fn run(signals: Receiver<i32>, door: Arc<h1::Door>, grace: Duration) -> usize {
    while let Ok(signal) = signals.recv().await {
        if signal != SIGHUP {
            break;
        }
        log::info!("event=reload result=unchanged reason=\"settings take effect at a start\"");
    }
    let began = Instant::now();
    log::info!("event=stopping in_progress={} connections={}", door.busy(), door.open());
    door.close();
    while began.elapsed() < LINGER && door.open() > 0 {
        task::sleep(LOOK).await;
    }
    door.shut();
    let limit = grace.mul_f64(GRACE_SHARE);
    while began.elapsed() < limit && !(door.busy() == 0 && door.quiet_for() >= QUIET) {
        task::sleep(LOOK).await;
    }
    let left = door.busy();
    let took = began.elapsed().as_millis();
    log::info!("event=stopped cut_off={left} after_ms={took}");
    left
}
