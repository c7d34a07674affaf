//! What a process holds, as the system tells it.

use std::collections::HashSet;
use std::fs;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);
/// Bytes of a megabyte, in which machines are measured.
const MEGABYTE: usize = 1_000_000;

/// The most that a process has held so far; looked at in the background.
pub struct Watch {
    pid: u32,
    descriptors: Arc<AtomicUsize>,
    memory: Arc<AtomicUsize>,
    stop: Arc<AtomicBool>,
}

impl Watch {
    pub fn start(pid: u32) -> Watch {
        let watch = Watch {
            pid,
            descriptors: Arc::default(),
            memory: Arc::default(),
            stop: Arc::default(),
        };
        let (descriptors, memory) = (watch.descriptors.clone(), watch.memory.clone());
        let stop = watch.stop.clone();
        task::spawn_blocking(move || {
            while !stop.load(Ordering::SeqCst) {
                let (count, sockets) = descriptors_of(pid);
                descriptors.fetch_max(count, Ordering::SeqCst);
                let held = status_of(pid, "VmRSS:") + unread_by(&sockets);
                memory.fetch_max(held, Ordering::SeqCst);
                std::thread::sleep(LOOK);
            }
        });
        watch
    }

    /// Checks that the process has stayed within a machine's memory and descriptors. What it has received and not read
    /// counts as its memory.
    pub fn check(&self, memory_mb: usize, max_fds: usize) {
        let peak = status_of(self.pid, "VmHWM:").max(self.memory.load(Ordering::SeqCst));
        let descriptors = self.descriptors.load(Ordering::SeqCst);
        println!("at most {:.1} MB, {descriptors} descriptors", peak as f64 / MEGABYTE as f64);
        assert!(peak <= memory_mb * MEGABYTE, "{peak} bytes of memory, {memory_mb} MB are there");
        assert!(descriptors <= max_fds, "{descriptors} descriptors, {max_fds} are there");
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// A field of a process's status, in bytes; 0 of one that has ended.
fn status_of(pid: u32, field: &str) -> usize {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let value = status.lines().find_map(|line| line.strip_prefix(field));
    let value = value.and_then(|v| v.trim().trim_end_matches(" kB").parse::<usize>().ok());
    value.unwrap_or(0) * 1024
}

/// The number of a process's descriptors, and the inodes of its sockets.
fn descriptors_of(pid: u32) -> (usize, HashSet<String>) {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else { return Default::default() };
    let targets: Vec<_> = entries.flatten().map(|e| fs::read_link(e.path())).collect();
    let sockets = targets.iter().flatten().filter_map(|target| {
        let inode = target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?;
        Some(inode.to_owned())
    });
    (targets.len(), sockets.collect())
}

/// Bytes that have been received on some sockets and not been read.
fn unread_by(sockets: &HashSet<String>) -> usize {
    const LISTENS: &str = "0A";
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        let is_own = fields[3] != LISTENS && sockets.contains(fields[9]);
        let queue = fields[4].split_once(':').filter(|_| is_own)?.1;
        usize::from_str_radix(queue, 16).ok()
    });
    unread.sum()
}
