//! Daemons as the deploy file starts them, on loopback addresses, and the record of a case.

use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::store::Store;

/// What was seen, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &str) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn note(&self, line: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:>6} {line}", self.ms());
    }

    /// Notes a line and prints it.
    pub fn say(&self, line: &str) {
        self.note(line);
        println!("{line}");
    }
}

/// Settings that differ between cases.
#[derive(Clone)]
pub struct Bounds {
    pub retry_slack: u32,
    pub quota_slack: u32,
}

pub struct Daemon {
    pub name: String,
    ip: String,
    boot: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub store: Store,
    pub daemons: Vec<Daemon>,
    dir: PathBuf,
    net: String,
}

impl Fleet {
    /// Starts a store and writes the settings of daemons; none of these is started yet.
    pub fn new(daemons: usize, bounds: &Bounds) -> io::Result<Fleet> {
        let zones = ["zone-a", "zone-b", "zone-c"];
        Fleet::in_zones(&(0..daemons).map(|n| zones[n % 3]).collect::<Vec<_>>(), bounds)
    }

    /// The same with one daemon in each of these zones.
    pub fn in_zones(zones: &[&str], bounds: &Bounds) -> io::Result<Fleet> {
        let daemons = zones.len();
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("oxbow-review-{pid}"));
        fs::create_dir_all(&dir)?;
        // All of 127.0.0.0/8 is loopback; a network of its own for each run keeps the ports free.
        let net = format!("127.{}.{}", 64 + pid / 256 % 128, pid % 256);
        let store = Store::start(format!("{net}.200:8225").parse().unwrap())?;
        let mut fleet = Fleet { store, daemons: Vec::new(), dir, net };
        let seeds: Vec<String> =
            (1..=daemons.min(3)).map(|n| format!("\"{}.{n}:8229\"", fleet.net)).collect();
        for n in 1..=daemons {
            let (name, ip) = (format!("front-{n}"), format!("{}.{n}", fleet.net));
            let zone = zones[n - 1];
            let boot = fleet.dir.join(format!("{name}.toml"));
            fs::write(
                &boot,
                settings(&name, zone, &ip, &seeds.join(","), fleet.store.address, bounds),
            )?;
            let log = fleet.dir.join(format!("{name}.log"));
            fleet.daemons.push(Daemon { name, ip, boot, log, child: None });
        }
        Ok(fleet)
    }

    /// Address of a server of the platform.
    pub fn server_address(&self, n: usize) -> SocketAddr {
        format!("{}.{}:8080", self.net, 100 + n).parse().unwrap()
    }

    pub fn start_all(&mut self) -> io::Result<()> {
        self.daemons.iter_mut().try_for_each(Daemon::start)
    }

    pub fn kill_all(&mut self) {
        self.daemons.iter_mut().for_each(Daemon::kill);
    }

    /// Waits until all daemons say that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.daemons.iter().all(Daemon::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("logs: {}", self.dir.display());
        }
    }
}

impl Daemon {
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new("target/release/oxbowd");
        command.args(["--wire", "platform"]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        // As in the deploy file.
        command.env("ASYNC_STD_THREAD_COUNT", "1").env("OXBOWD_METRICS_PORT", "9464");
        command.env("OXBOWD_ENABLE", "overflow").env("OXBOWBEND_BOOT", &self.boot);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        // For whoever ends what an interrupted play leaves.
        if let Some(pids) = std::env::var_os("PIDS") {
            writeln!(File::options().append(true).open(pids)?, "{}", child.id())?;
        }
        self.child = Some(child);
        Ok(())
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// The code with which it ended, if it has.
    pub fn ended(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.code())
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:8221", self.ip).parse().unwrap()
    }

    pub fn is_ready(&self) -> bool {
        let address: SocketAddr = format!("{}:8224", self.ip).parse().unwrap();
        let ask = || -> io::Result<bool> {
            let mut conn = TcpStream::connect_timeout(&address, Duration::from_millis(200))?;
            conn.set_read_timeout(Some(Duration::from_millis(500)))?;
            conn.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            let head = crate::http::read_head(&mut io::BufReader::new(conn))?;
            Ok(head.is_some_and(|head| head.status() == 200))
        };
        ask().unwrap_or(false)
    }
}

fn settings(
    name: &str,
    zone: &str,
    ip: &str,
    seeds: &str,
    store: SocketAddr,
    b: &Bounds,
) -> String {
    let Bounds { retry_slack, quota_slack } = b;
    format!(
        "node_name = \"{name}\"
role = \"gateway\"
machine_class = \"front\"
serves = [\"front\",\"control\"]
ip = \"{ip}\"
zone = \"{zone}\"
region = \"one\"
port_range = [7600,7615]
seed_nodes = [{seeds}]
bootstrap = true
loss_counted = false
discovery = \"platform\"
entry = \"vip\"
heartbeat_ms = 1200
contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"platform\"]
[zones]
zone-a = \"one\"
zone-b = \"one\"
zone-c = \"one\"
[listen]
front = \"{ip}:8221\"
readiness_addr = \"{ip}:8224\"
control = \"{ip}:8229\"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = {retry_slack}
quota_window_s = 8
quota_overage = 0.1
quota_slack = {quota_slack}
recovery_s = 12
pass_ms = 120
cache_window_s = 10
[platform]
address = \"{store}\"
form = \"kv\"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"
    )
}
