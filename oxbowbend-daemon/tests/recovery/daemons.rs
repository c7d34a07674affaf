//! The daemons as real processes, started again when they end, and a balancer that asks whether they are ready.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use oxbowbend_http::h1;
use rustix::process::{kill_process, Pid, Signal};
use rustix::thread::{sched_setaffinity, CpuSet};

pub const ZONES: [&str; 3] = ["hobart", "launceston", "burnie"];
const FRONT: u16 = 27620;
const READINESS: u16 = 27621;
const CONTROL: u16 = 27622;
const METRICS: u16 = 27623;
/// First and last port between instances.
const BETWEEN: (u16, u16) = (27600, 27615);
/// Pause of whoever starts a process again that has ended.
const START_AGAIN: Duration = Duration::from_millis(300);
/// Time between two questions of the balancer.
const READY_PACE: Duration = Duration::from_secs(1);
const READY_TIMEOUT: Duration = Duration::from_millis(500);
/// Misses after which the balancer gives a daemon no new connections.
const MISSES: u32 = 2;

/// Loopback addresses of one play, which no other one uses at the time.
#[derive(Clone, Copy)]
pub struct Net {
    seed: u64,
}

impl Net {
    pub fn of(seed: u64) -> Net {
        Net { seed }
    }

    /// An address of the play: `net` is 0, or 1 for machines that come in place of others.
    pub fn ip(self, net: u64, n: u8) -> Ipv4Addr {
        let (a, b) = (20 + std::process::id() % 200, (2 * self.seed + net) % 250 + 1);
        Ipv4Addr::new(127, a as u8, b as u8, n)
    }
}

/// Processors, by their numbers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Processors {
    pub first: usize,
    pub count: usize,
}

impl Processors {
    /// Lets a thread use only these; the calling one if none is named.
    fn bind(self, thread: Option<Pid>) {
        let mut set = CpuSet::new();
        (self.first..self.first + self.count).for_each(|n| set.set(n));
        // A thread may have ended meanwhile.
        let _ = sched_setaffinity(thread, &set);
    }

    /// Lets all threads of this process use only these, and those that they start.
    pub fn bind_own_threads(self) {
        for thread in std::fs::read_dir("/proc/self/task").unwrap().flatten() {
            let id = thread.file_name().to_str().and_then(|id| id.parse().ok());
            self.bind(id.and_then(Pid::from_raw));
        }
    }
}

/// One machine of the deployment.
pub struct Daemon {
    n: u8,
    ip: Ipv4Addr,
    name: String,
    child: Option<Child>,
    /// Whether its process is to be started again when it ends.
    is_kept: bool,
    in_rotation: Arc<AtomicBool>,
}

/// All machines; clones share them.
#[derive(Clone)]
pub struct Daemons {
    all: Arc<Mutex<Vec<Daemon>>>,
    net: Net,
    store: SocketAddr,
    folder: PathBuf,
    /// Processors that the daemons may use; all if `None`.
    processors: Option<Processors>,
    stop: Arc<AtomicBool>,
    /// Times that a process has ended by itself.
    pub ends: Arc<AtomicUsize>,
}

impl Daemons {
    pub fn launch(
        net: Net,
        count: u8,
        store: SocketAddr,
        processors: Option<Processors>,
    ) -> Daemons {
        let name = format!("oxbow-recovery-{}-{}", std::process::id(), net.seed);
        let folder = logs().unwrap_or_else(std::env::temp_dir).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let (all, stop, ends) = (Arc::default(), Arc::default(), Arc::default());
        let daemons = Daemons { all, net, store, folder, processors, stop, ends };
        let all = (1..=count).map(|n| daemons.machine(0, n)).collect();
        *daemons.all.lock().unwrap() = all;
        daemons.start_all();
        task::spawn(daemons.clone().supervise());
        daemons
    }

    fn machine(&self, net: u64, n: u8) -> Daemon {
        let (ip, zone) = (self.net.ip(net, n), ZONES[n as usize % ZONES.len()]);
        let name = format!("front-{zone}-{net}{n:03}");
        let daemon =
            Daemon { n, ip, name, child: None, is_kept: true, in_rotation: Arc::default() };
        let (rotation, stop) = (daemon.in_rotation.clone(), self.stop.clone());
        task::spawn(balance(SocketAddr::from((ip, READINESS)), rotation, stop));
        daemon
    }

    /// Starts all processes that do not run.
    pub fn start_all(&self) {
        self.start(|_| true);
    }

    /// Starts the processes of some machines that do not run.
    pub fn start(&self, is_meant: impl Fn(u8) -> bool) {
        let mut all = self.all.lock().unwrap();
        for daemon in all.iter_mut().filter(|d| d.child.is_none() && is_meant(d.n)) {
            daemon.is_kept = true;
            daemon.child = Some(self.spawn(daemon));
        }
    }

    fn spawn(&self, daemon: &Daemon) -> Child {
        let boot = self.folder.join(format!("{}.toml", daemon.name));
        std::fs::write(&boot, self.settings(daemon)).unwrap();
        let log = self.folder.join(format!("{}.log", daemon.name));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let built = env!("CARGO_BIN_EXE_oxbowd").to_owned();
        let mut command = Command::new(std::env::var("OXBOW_RECOVERY_DAEMON").unwrap_or(built));
        command
            .args(["--wire", "platform"])
            .env("OXBOWBEND_BOOT", boot)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .env("OXBOWD_METRICS_PORT", METRICS.to_string())
            .env("OXBOWD_ENABLE", "overflow")
            .stderr(log.try_clone().unwrap())
            .stdout(log);
        let Some(processors) = self.processors else { return command.spawn().unwrap() };
        // A process inherits the processors of the thread that starts it.
        let start = || {
            processors.bind(None);
            command.spawn().unwrap()
        };
        std::thread::scope(|scope| scope.spawn(start).join().unwrap())
    }

    /// The processes that run now, by their machines' addresses for clients.
    pub fn processes(&self) -> Vec<(SocketAddr, u32)> {
        let all = self.all.lock().unwrap();
        let running = all.iter().filter_map(|d| Some((d.ip, d.child.as_ref()?.id())));
        running.map(|(ip, id)| (SocketAddr::from((ip, FRONT)), id)).collect()
    }

    /// Processor time that the processes that run now have used so far.
    pub fn processor_time(&self) -> Duration {
        let all = self.all.lock().unwrap();
        let ids = all.iter().filter_map(|daemon| daemon.child.as_ref()).map(Child::id);
        ids.map(|id| processor_time_of(id).unwrap_or_default()).sum()
    }

    /// Ends all processes at once; they stay down until [`Daemons::start_all`].
    pub fn kill_all(&self) {
        self.kill(|_| true);
    }

    /// Ends the processes of some machines at once; they stay down until they are started.
    pub fn kill(&self, is_meant: impl Fn(u8) -> bool) {
        let mut all = self.all.lock().unwrap();
        let mut meant: Vec<_> = all.iter_mut().filter(|daemon| is_meant(daemon.n)).collect();
        meant.iter_mut().for_each(|daemon| daemon.is_kept = false);
        meant.iter().for_each(|daemon| daemon.signal(Signal::KILL));
        for daemon in meant {
            if let Some(mut child) = daemon.child.take() {
                child.wait().unwrap();
            }
        }
    }

    /// Sends a signal to the processes of some machines. Those that end are started again.
    pub fn signal(&self, signal: Signal, is_meant: impl Fn(u8) -> bool) {
        let all = self.all.lock().unwrap();
        all.iter().filter(|daemon| is_meant(daemon.n)).for_each(|daemon| daemon.signal(signal));
    }

    /// Replaces machines by others of other names at other addresses; call it while they are down.
    pub fn replace(&self, is_replaced: impl Fn(u8) -> bool) {
        let mut all = self.all.lock().unwrap();
        for daemon in all.iter_mut().filter(|daemon| is_replaced(daemon.n)) {
            *daemon = self.machine(1, daemon.n);
        }
    }

    /// Takes machines away for good; call it while they are down.
    pub fn remove(&self, is_removed: impl Fn(u8) -> bool) {
        self.all.lock().unwrap().retain(|daemon| !is_removed(daemon.n));
    }

    /// Sends a signal to all processes of every `of`th machine.
    pub fn signal_part(&self, signal: Signal, part: usize, of: usize) {
        let all = self.all.lock().unwrap();
        all.iter().skip(part).step_by(of).for_each(|daemon| daemon.signal(signal));
    }

    /// Addresses that get new connections: those that are ready, or all if less than half are.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let all = self.all.lock().unwrap();
        let front = |daemon: &Daemon| SocketAddr::from((daemon.ip, FRONT));
        let ready = all.iter().filter(|d| d.in_rotation.load(Ordering::SeqCst));
        let ready: Vec<_> = ready.map(front).collect();
        if ready.len() * 2 < all.len() {
            return all.iter().map(front).collect();
        }
        ready
    }

    /// Waits until all are in rotation.
    pub async fn ready(&self, limit: Duration) -> bool {
        let started = std::time::Instant::now();
        while started.elapsed() < limit {
            let is_ready = |d: &Daemon| d.in_rotation.load(Ordering::SeqCst);
            if self.all.lock().unwrap().iter().all(is_ready) {
                return true;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Port at which other instances ask, of each machine.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let all = self.all.lock().unwrap();
        all.iter().map(|d| SocketAddr::from((d.ip, BETWEEN.0))).collect()
    }

    async fn supervise(self) {
        while !self.stop.load(Ordering::SeqCst) {
            task::sleep(START_AGAIN).await;
            for daemon in self.all.lock().unwrap().iter_mut().filter(|d| d.is_kept) {
                let child = daemon.child.as_mut();
                if child.is_some_and(|child| child.try_wait().unwrap().is_some()) {
                    self.ends.fetch_add(1, Ordering::SeqCst);
                    daemon.child = Some(self.spawn(daemon));
                }
            }
        }
    }

    /// Ends everything.
    pub fn end(&self) {
        self.stop.store(true, Ordering::SeqCst);
        self.kill_all();
        if logs().is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }

    /// The bounds of the deployment, as its sheet gives them.
    fn settings(&self, daemon: &Daemon) -> String {
        let Daemon { ip, name, n, .. } = daemon;
        let zone = ZONES[*n as usize % ZONES.len()];
        let seeds: Vec<_> =
            (1..=3).map(|n| format!("\"{}:{CONTROL}\"", self.net.ip(0, n))).collect();
        format!(
            "node_name = \"{name}\"\nrole = \"gateway\"\nserves = [\"front\", \"control\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"tas\"\nport_range = [{}, {}]\n\
             seed_nodes = [{}]\nbootstrap = true\nheartbeat_ms = 1200\n\
             [listen]\nfront = \"{ip}:{FRONT}\"\nreadiness_addr = \"{ip}:{READINESS}\"\n\
             control = \"{ip}:{CONTROL}\"\n\
             [limits]\ncpu_share = 0.084\ncores = 1\nmemory_mb = 96\nmax_fds = 2870\nlink_mbps = 10.0\n\
             [bounds]\ncontact_ms = 4000\nack_ms = 6000\ncatch_up_s = 6\ndrain_ms = 3000\ngrace_s = 8\n\
             config_apply_ms = 3000\nmax_stretch_ms = 6000\nbudget_ratio = 0.2\nbudget_window_s = 10\n\
             retry_slack = 326\nquota_window_s = 8\nquota_overage = 0.1\nquota_slack = 110000\n\
             recovery_s = 15\npass_ms = 200\n\
             [platform]\naddress = \"{}\"\nform = \"kv\"\nwrites_per_s = 1200\nreads_per_s = 6000\n\
             history_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            BETWEEN.0,
            BETWEEN.1,
            seeds.join(", "),
            self.store,
        )
    }
}

impl Daemon {
    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            // The process may have ended meanwhile; it has not been waited for, so its id is its own.
            let _ = kill_process(Pid::from_child(child), signal);
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Processor time of a process, from the fields `utime` and `stime` of its `stat`, in hundredths of a second.
fn processor_time_of(id: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    let fields: Vec<_> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = |n: usize| fields.get(n)?.parse::<u64>().ok();
    Some(Duration::from_millis((ticks(11)? + ticks(12)?) * 10))
}

/// Where logs are kept after a play, if they are.
fn logs() -> Option<PathBuf> {
    std::env::var_os("OXBOW_SOAK_LOGS").map(PathBuf::from)
}

/// Two misses take a daemon out, an answer of 200 takes it in again.
async fn balance(readiness: SocketAddr, rotation: Arc<AtomicBool>, stop: Arc<AtomicBool>) {
    let mut misses = 0;
    while !stop.load(Ordering::SeqCst) {
        let cfg = h1::PoolConfig { connect: READY_TIMEOUT, idle: Duration::ZERO };
        let req = http::Request::get("/ready").header("host", "r").body(Default::default());
        let answer = h1::Pool::new(cfg).call(readiness, req.unwrap(), READY_TIMEOUT).await;
        let is_ready = answer.is_ok_and(|answer| answer.status() == 200);
        misses = if is_ready { 0 } else { misses + 1 };
        if misses == 0 || misses >= MISSES {
            rotation.store(misses == 0, Ordering::SeqCst);
        }
        let pace = if is_ready { READY_PACE } else { READY_PACE / 2 };
        task::sleep(pace).await;
    }
}
