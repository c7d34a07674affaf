//! Stopping without cutting anything off.
//!
//! Readiness fails first. The balancer notices within two of its questions, so connections are
//! served on, each answer closing its own; idle ones are closed only when no new request is to be
//! expected on them. Whoever still comes is served if that will end in time
//! ([`oxbowbend_core::shutdown`]). The process ends with its last answer. Shortly before its time is
//! over, whoever has no answer yet gets an error.

use std::sync::Arc;
use std::time::Duration;

use async_std::channel::{bounded, Receiver};
use async_std::task;
use oxbowbend_clock as clock;
use oxbowbend_core::shutdown::Shutdown;
use oxbowbend_http::h1;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::shared::Shared;

/// How often it is looked whether all is done.
const LOOK: Duration = Duration::from_millis(20);

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
pub(crate) async fn run(
    signals: Receiver<i32>,
    door: Arc<h1::Door>,
    shared: Shared,
    grace: Duration,
) -> usize {
    while let Ok(signal) = signals.recv().await {
        if signal != SIGHUP {
            break;
        }
        log::info!("event=reload result=unchanged reason=\"settings take effect at a start\"");
    }
    let began = clock::now();
    let shutdown = Shutdown::new(began, grace);
    log::info!("event=stopping in_progress={} connections={}", door.busy(), door.open());
    shared.lock().shutdown = Some(shutdown);
    door.close();
    while clock::now() < shutdown.full_service_until() && door.open() > 0 {
        task::sleep(LOOK).await;
    }
    door.shut();
    let is_done = |now| {
        let others_ready = shared.lock().are_others_ready(now);
        // Callers may still be reading answers that this machine holds for them.
        let in_progress = door.busy() + door.answered();
        shutdown.can_exit(now, in_progress, door.quiet_for(), others_ready)
    };
    while clock::now() < shutdown.deadline() && !is_done(clock::now()) {
        if clock::now() >= shutdown.response_deadline() {
            shared.pass_response_deadline();
        }
        task::sleep(LOOK).await;
    }
    let left = door.busy();
    let took = clock::since(began).as_millis();
    log::info!("event=stopped cut_off={left} after_ms={took}");
    left
}
