//! The daemons as separate processes, started with the commands of deploy/system.toml, and the
//! platform's balancer, which asks each of them once a second whether it is ready.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;
const FRONT: u16 = 8221;
const READINESS: u16 = 8224;
const CONTROL: u16 = 8229;
const METRICS: u16 = 9464;
/// First and last port between instances.
const BETWEEN: (u16, u16) = (7600, 7615);

pub struct Daemon {
    n: u8,
    pub name: String,
    pub front: SocketAddr,
    ip: Ipv4Addr,
    child: Child,
    /// Whether the balancer gives it new connections.
    pub in_rotation: Arc<AtomicBool>,
}

pub struct Fleet {
    pub daemons: Vec<Daemon>,
    pub folder: PathBuf,
    stop: Arc<AtomicBool>,
}

/// Loopback addresses of this run, which no other one uses at the time.
#[derive(Clone, Copy)]
pub struct Net(u8, u8);

impl Net {
    pub fn find() -> Option<Net> {
        let seed = std::process::id();
        (0..200).find_map(|i| {
            let net = Net(20 + ((seed + i) % 100) as u8, 1 + ((seed / 100 + i) % 250) as u8);
            let ports = [FRONT, READINESS, CONTROL, METRICS, BETWEEN.0, BETWEEN.0 + 1];
            let is_free = |port: &u16| TcpListener::bind((net.ip(1), *port)).is_ok();
            ports.iter().all(is_free).then_some(net)
        })
    }

    pub fn ip(self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, self.1, n)
    }
}

/// The bounds of a site, as its page gives them.
#[derive(Clone, Copy)]
pub enum Site {
    /// kalemdar-tutanak.
    Small,
    /// kalemdar-tutanak-grown.
    Grown,
}

impl Site {
    fn bounds(self) -> &'static str {
        match self {
            Site::Small => {
                "contact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\n\
                 config_apply_ms = 2000\nmax_stretch_ms = 5000\nretry_slack = 52\n\
                 recovery_s = 12\npass_ms = 120\n"
            }
            Site::Grown => {
                "contact_ms = 4000\nack_ms = 6000\ncatch_up_s = 6\ndrain_ms = 3000\n\
                 config_apply_ms = 3000\nmax_stretch_ms = 6000\nretry_slack = 218\n\
                 recovery_s = 15\npass_ms = 200\n"
            }
        }
    }
}

fn settings(net: Net, n: u8, zone: &str, store: SocketAddr, site: Site) -> String {
    let ip = net.ip(n);
    let seeds: Vec<String> = (1..=3).map(|s| format!("\"{}:{CONTROL}\"", net.ip(s))).collect();
    format!(
        "node_name = \"front-{zone}-{n:02}\"\nrole = \"gateway\"\nmachine_class = \"front\"\n\
         serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"ist\"\n\
         port_range = [{},{}]\nseed_nodes = [{}]\nbootstrap = true\ndiscovery = \"platform\"\n\
         entry = \"vip\"\nheartbeat_ms = 1200\n\
         [zones]\nist-sisli = \"ist\"\nist-kartal = \"ist\"\nist-ikitelli = \"ist\"\n\
         [listen]\nfront = \"{ip}:{FRONT}\"\nreadiness_addr = \"{ip}:{READINESS}\"\n\
         control = \"{ip}:{CONTROL}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ngrace_s = 8\nloss_slack_ms = 200\n\
         downgrade_slack_ms = 250\nstrict_revoke = false\nrevoke_ms = 5000\n\
         budget_ratio = 0.2\nbudget_window_s = 10\nquota_window_s = 8\nquota_overage = 0.1\n\
         quota_slack = 190000\ncache_window_s = 10\n{}\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
        BETWEEN.0,
        BETWEEN.1,
        seeds.join(","),
        site.bounds()
    )
}

impl Daemon {
    fn start(
        (net, n): (Net, u8),
        zone: &str,
        store: SocketAddr,
        site: Site,
        folder: &Path,
    ) -> Option<Daemon> {
        let boot = folder.join(format!("boot-{n}.toml"));
        std::fs::write(&boot, settings(net, n, zone, store, site)).ok()?;
        let child = Daemon::spawn(n, folder)?;
        Some(Daemon {
            n,
            name: format!("front-{zone}-{n:02}"),
            front: SocketAddr::from((net.ip(n), FRONT)),
            ip: net.ip(n),
            child,
            in_rotation: Arc::new(AtomicBool::new(false)),
        })
    }

    /// The command of the deploy file.
    fn spawn(n: u8, folder: &Path) -> Option<Child> {
        let boot = folder.join(format!("boot-{n}.toml"));
        let log = folder.join(format!("daemon-{n}.log"));
        let log = File::options().create(true).append(true).open(log).ok()?;
        let mut command = Command::new("target/release/oxbowd");
        command.args(["--wire", "platform"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command
            .env("OXBOWBEND_BOOT", &boot)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .env("OXBOWD_METRICS_PORT", METRICS.to_string())
            .env("OXBOWD_ENABLE", "overflow")
            .stdin(std::process::Stdio::null())
            .stderr(log.try_clone().ok()?)
            .stdout(log);
        // The daemon ends with the process that started it, whatever ends that.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        command.spawn().ok()
    }

    /// Starts it again after its end.
    pub fn start_again(&mut self, folder: &Path) -> bool {
        let child = Daemon::spawn(self.n, folder);
        child.map(|child| self.child = child).is_some()
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Its log so far.
    pub fn log(&self, folder: &Path) -> String {
        std::fs::read_to_string(folder.join(format!("daemon-{}.log", self.n))).unwrap_or_default()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn is_ready(ip: Ipv4Addr) -> bool {
        let address = SocketAddr::from((ip, READINESS));
        let limit = Duration::from_millis(500);
        let Ok(stream) = std::net::TcpStream::connect_timeout(&address, limit) else { return false };
        let _ = stream.set_read_timeout(Some(limit));
        let mut conn = Conn::new(stream);
        let asked = format!("GET /ready HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n");
        conn.write(asked.as_bytes()).is_ok()
            && matches!(conn.head(), Ok(Some(head)) if head.status() == 200)
    }
}

impl Fleet {
    /// Starts so many daemons and waits until all are ready.
    pub fn start(
        net: Net,
        site: Site,
        count: u8,
        store: impl Fn(u8) -> SocketAddr,
    ) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("oxbow-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let stop = Arc::new(AtomicBool::new(false));
        let mut fleet = Fleet { daemons: Vec::new(), folder: folder.clone(), stop };
        for n in 1..=count {
            let zone = ["ist-sisli", "ist-kartal", "ist-ikitelli"][(n as usize - 1) % 3];
            let daemon = Daemon::start((net, n), zone, store(n), site, &folder);
            fleet.daemons.push(daemon.ok_or("a daemon does not start")?);
        }
        let until = Instant::now() + Duration::from_secs(10);
        while !fleet.daemons.iter().all(|d| Daemon::is_ready(d.ip)) {
            if Instant::now() > until {
                return Err("the daemons are not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        for daemon in &fleet.daemons {
            daemon.in_rotation.store(true, Ordering::SeqCst);
            let (ip, rotation, stop) = (daemon.ip, daemon.in_rotation.clone(), fleet.stop.clone());
            thread::spawn(move || balance(ip, &rotation, &stop));
        }
        Ok(fleet)
    }
}

/// Two misses take a daemon out, an answer of 200 takes it in again.
fn balance(ip: Ipv4Addr, rotation: &AtomicBool, stop: &AtomicBool) {
    let mut misses = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_secs(1));
        misses = if Daemon::is_ready(ip) { 0 } else { misses + 1 };
        if misses == 0 || misses >= 2 {
            rotation.store(misses == 0, Ordering::SeqCst);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for daemon in &mut self.daemons {
            let _ = daemon.child.kill();
            let _ = daemon.child.wait();
        }
        match std::env::var("KEEP_LOGS") {
            Ok(to) => drop(std::fs::rename(&self.folder, to)),
            Err(_) => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

/// What was seen, in order of time.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { began: Instant::now(), lines: Arc::default() }
    }

    pub fn note(&self, line: String) {
        self.lines.lock().unwrap().push((self.began.elapsed(), line));
    }

    pub fn ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    /// When lines that begin so were noted, in ms.
    pub fn times(&self, beginning: &str) -> Vec<u128> {
        let lines = self.lines.lock().unwrap();
        let lines = lines.iter().filter(|(_, line)| line.starts_with(beginning));
        lines.map(|(at, _)| at.as_millis()).collect()
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text = lines.iter().map(|(at, l)| format!("{:>9.3} {l}\n", at.as_secs_f64()));
        let _ = std::fs::write(path, text.collect::<String>());
    }
}
