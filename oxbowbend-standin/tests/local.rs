//! Ports for processes that tests start.

use std::net::TcpListener;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use async_std::task;
use oxbowbend_standin::local::free_address;

/// Threads that start processes meanwhile.
const STARTERS: usize = 4;
/// Time for which ports are asked for, and most of them, which is less than there are.
const LENGTH: Duration = Duration::from_millis(400);
const PORTS: usize = 15_000;

/// Guards against a daemon that finds its port in use: a process that another thread starts has inherited the socket
/// that found the port free, until it begins its program.
#[test]
fn ports_stay_free_while_other_threads_start_processes() {
    let stop = Arc::new(AtomicBool::new(false));
    let start = |_| {
        let stop = stop.clone();
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                Command::new("true").status().unwrap();
            }
        })
    };
    let starters: Vec<_> = (0..STARTERS).map(start).collect();
    let began = Instant::now();
    let failures: Vec<_> = (0..PORTS)
        .take_while(|_| began.elapsed() < LENGTH)
        .filter_map(|_| TcpListener::bind(task::block_on(free_address()).unwrap()).err())
        .collect();
    stop.store(true, Ordering::SeqCst);
    starters.into_iter().for_each(|starter| starter.join().unwrap());
    assert!(failures.is_empty(), "{} failed: {:?}", failures.len(), failures.first());
}
