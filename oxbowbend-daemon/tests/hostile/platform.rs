//! A machine of the users' platform with one daemon, its store and its endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::io::WriteExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::{future, task};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use oxbowbend_http::h1;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;

use crate::crowd::{ask, read_status, Crowd, Heads, Play, Seen, ID};
use crate::process::Watch;
use crate::store::{address, Store};
use crate::{MAX_BODY, MAX_HEAD};

const FRONT: u16 = 27620;
const READINESS: u16 = 27621;
/// First and last port between instances: for reports, and for handovers.
const BETWEEN: (u16, u16) = (27600, 27615);
const ENDPOINTS: usize = 3;
const SLOTS: u32 = 8;
/// Paths of the route to endpoints that work for long, and of one that does not exist.
pub const SLOW_ROUTE: &str = "/slow/";
pub const UNKNOWN_ROUTE: &str = "/unknown/";
/// Time that a slow endpoint works on a request.
const SLOW: Duration = Duration::from_millis(1500);
/// Time that the configuration gives a head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a large answer, which is held until it is read.
const LARGE_ANSWER: usize = 250_000;
/// Bytes of the body of an ordinary request.
const ORDINARY_BODY: usize = 2400;
/// Time after which an ordinary caller gives up for good, far above any limit of a daemon.
const PATIENCE: Duration = Duration::from_secs(60);
/// Time after which an ordinary caller gives up an attempt.
const ATTEMPT: Duration = Duration::from_secs(6);
/// Time between two attempts of an ordinary caller.
const PAUSE: Duration = Duration::from_millis(250);
/// Time within which a daemon starts.
const STARTS_WITHIN: Duration = Duration::from_secs(30);
/// Machines that this process has started; each has loopback addresses of its own.
static MACHINES: AtomicUsize = AtomicUsize::new(0);

/// What the settings say of a machine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub memory_mb: usize,
    pub max_fds: usize,
}

/// Where a crowd goes.
#[derive(Clone, Copy, Debug)]
pub enum Port {
    Callers,
    /// The callers' port, to endpoints that work for long.
    Slow,
    /// The callers' port, on a route that does not exist.
    Unknown,
    /// The callers' port, to endpoints whose answers are large.
    Large,
    Handovers,
    Reports,
    Readiness,
}

/// Bytes of the bodies that endpoints ran, by request id.
type Runs = Arc<Mutex<HashMap<String, Vec<usize>>>>;

pub struct Machine {
    settings: Settings,
    ip: String,
    store: SocketAddr,
    child: Mutex<Child>,
    watch: Watch,
    runs: Runs,
    asked: AtomicUsize,
}

impl Machine {
    pub async fn start(settings: Settings) -> Machine {
        let n = MACHINES.fetch_add(1, Ordering::SeqCst) % 250 + 1;
        let ip = format!("127.{}.{n}.1", 20 + std::process::id() % 200);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let store_address = address(&listener);
        let store = Store::start(listener).await;
        store.put("op/config", &configuration());
        let runs = Runs::default();
        for n in 0..ENDPOINTS {
            let id = format!("e-{n}");
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let entry = json!({
                "service": "s", "address": address(&listener).to_string(), "zone": "z",
                "slots": SLOTS, "state": "ready", "born": 1_700_000_000_000_u64,
            });
            store.put(&format!("servers/{id}"), &entry);
            let cfg = h1::ServeConfig { connections: 1000, head: 2 * MAX_HEAD };
            let runs = runs.clone();
            let answer = move |req| answer(id.clone(), req, runs.clone());
            task::spawn(h1::serve(listener, cfg, Arc::default(), answer));
        }
        let child = spawn(&ip, settings, store_address);
        let watch = Watch::start(child.id());
        let machine = Machine {
            settings,
            ip,
            store: store_address,
            child: Mutex::new(child),
            watch,
            runs,
            asked: AtomicUsize::default(),
        };
        assert!(machine.answers_ordinary(STARTS_WITHIN).await, "no service after the start");
        machine
    }

    fn address(&self, port: Port) -> SocketAddr {
        let port = match port {
            Port::Callers | Port::Slow | Port::Large | Port::Unknown => FRONT,
            Port::Handovers => BETWEEN.0 + 1,
            Port::Reports => BETWEEN.0,
            Port::Readiness => READINESS,
        };
        format!("{}:{port}", self.ip).parse().unwrap()
    }

    fn has_ended(&self) -> bool {
        self.child.lock().unwrap().try_wait().unwrap().is_some()
    }

    /// Whether an ordinary request is answered; it is repeated on new connections as callers do.
    async fn answers_ordinary(&self, within: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < within && !self.has_ended() {
            let id = format!("o-{}", self.asked.fetch_add(1, Ordering::SeqCst));
            let play = Play::Whole { bytes: ORDINARY_BODY };
            let (to, head) = (self.address(Port::Callers), head("quick", &id));
            let answered = future::timeout(ATTEMPT, ask(to, &head, play)).await;
            if matches!(answered, Ok(Ok(200))) {
                return true;
            }
            task::sleep(PAUSE).await;
        }
        false
    }

    /// A single request is served while nobody else asks for anything.
    pub async fn serves_alone(&self, play: Play) {
        let id = format!("alone-{}", self.asked.fetch_add(1, Ordering::SeqCst));
        // Its endpoint has all the time that the route gives.
        let status = ask(self.address(Port::Callers), &head("slow", &id), play).await;
        assert!(matches!(status, Ok(200)), "{play:?}: {status:?}");
        assert_eq!(self.runs.lock().unwrap().get(&id), Some(&vec![play.body_bytes()]));
        self.check_limits().await;
    }

    /// A request is refused in the middle of its body, and a client who reads late sees that. Neither it nor anything in
    /// its body runs.
    pub async fn refuses(&self, play: Play, status: u16) {
        let id = format!("{ID}late");
        let (to, head) = (self.address(Port::Callers), head("quick", &id));
        let seen = future::timeout(PATIENCE, ask(to, &head, play)).await;
        assert!(matches!(seen, Ok(Ok(seen)) if seen == status), "{seen:?}");
        assert!(self.answers_ordinary(PATIENCE).await, "no service afterwards");
        self.check_runs(&[Seen { id, status: Some(status), is_whole: false }], play);
        self.check_limits().await;
    }

    /// The process is suspended for longer than a head may take, in the middle of one whose rest comes meanwhile.
    pub async fn resumes(&mut self) {
        let id = "half";
        let head = head("quick", id) + "Content-Length: 0\r\n\r\n";
        let (beginning, rest) = head.split_at(head.len() / 2);
        let mut stream = TcpStream::connect(self.address(Port::Callers)).await.unwrap();
        stream.write_all(beginning.as_bytes()).await.unwrap();
        task::sleep(PAUSE).await;
        self.signal(Signal::STOP);
        task::sleep(HEADER_TIMEOUT + PAUSE).await;
        stream.write_all(rest.as_bytes()).await.unwrap();
        self.signal(Signal::CONT);
        let status = read_status(&mut stream).await;
        assert!(matches!(status, Ok(200)), "{status:?}");
        assert!(self.answers_ordinary(PATIENCE).await, "no service afterwards");
        self.check_limits().await;
    }

    fn signal(&mut self, signal: Signal) {
        kill_process(Pid::from_child(self.child.get_mut().unwrap()), signal).unwrap();
    }

    /// A crowd comes, and the process is told to stop while it stays. It ends, and a new one serves.
    pub async fn stops_before(&mut self, clients: usize, play: Play) {
        let heads: Heads = Arc::new(|id| head("quick", id));
        let crowd = Crowd::come(self.address(Port::Callers), clients, play, &heads);
        crowd.has_sent().await;
        let began = Instant::now();
        self.signal(Signal::TERM);
        while !self.has_ended() {
            assert!(began.elapsed() < PATIENCE, "the process hangs");
            task::sleep(PAUSE).await;
        }
        self.watch.check(self.settings.memory_mb, self.settings.max_fds);
        let child = spawn(&self.ip, self.settings, self.store);
        self.watch = Watch::start(child.id());
        self.child = Mutex::new(child);
        assert!(self.answers_ordinary(PATIENCE).await, "no service after a new start");
        crowd.leave().await;
        self.check_limits().await;
    }

    /// A crowd comes, stays, and leaves.
    pub async fn bear(&self, port: Port, clients: usize, play: Play) {
        let route = match port {
            Port::Slow => "slow",
            Port::Large => "large",
            Port::Unknown => "unknown",
            _ => "quick",
        };
        let heads: Heads = Arc::new(move |id| head(route, id));
        let crowd = Crowd::come(self.address(port), clients, play, &heads);
        crowd.has_sent().await;
        assert!(self.answers_ordinary(PATIENCE).await, "no service beside the crowd");
        let seen = crowd.leave().await;
        assert!(self.answers_ordinary(PATIENCE).await, "no service after the crowd has left");
        self.check_runs(&seen, play);
        self.check_limits().await;
    }

    async fn check_limits(&self) {
        assert!(!self.has_ended(), "the process has ended");
        self.watch.check(self.settings.memory_mb, self.settings.max_fds);
    }

    /// What ran is what was sent, and nothing of which a client was told that it never runs.
    fn check_runs(&self, seen: &[Seen], play: Play) {
        let runs = self.runs.lock().unwrap();
        let mut statuses: HashMap<Option<u16>, usize> = HashMap::new();
        seen.iter().for_each(|seen| *statuses.entry(seen.status).or_default() += 1);
        println!("answers: {statuses:?}");
        for client in seen {
            let Some(bodies) = runs.get(&client.id) else { continue };
            assert!(client.is_whole, "{} ran and was not whole", client.id);
            assert!(!client.is_promised_unexecuted(), "{client:?} ran");
            assert!(
                bodies.iter().all(|n| *n == play.body_bytes()),
                "{client:?} ran with {bodies:?}"
            );
        }
        let is_known = |id: &&String| id.starts_with("o-") || seen.iter().any(|c| c.id == **id);
        assert_eq!(runs.keys().find(|id| !is_known(id)), None, "nobody sent it");
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn head(route: &str, id: &str) -> String {
    let deadline_ms = if route == "slow" { 60_000 } else { 5000 };
    format!(
        "POST /{route}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer key-one\r\n"
    )
}

fn configuration() -> serde_json::Value {
    let route = |name: &str, timeout_ms: u32| {
        json!({
            "name": name, "host": "h.example", "path_prefix": format!("/{name}/"),
            "kind": "idempotent", "timeout_ms": timeout_ms, "target_latency_ms": timeout_ms / 2,
            "priority": 0, "service": "s", "max_attempts": 2,
        })
    };
    json!({
        "version": 1,
        "routes": [route("quick", 2000), route("large", 2000), route("slow", 60_000)],
        "services": [{ "name": "s", "max_conns": 300 }],
        "limits": {
            "max_header_bytes": MAX_HEAD, "max_body_bytes": MAX_BODY, "header_timeout_ms": HEADER_TIMEOUT.as_millis() as u64,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{ "name": "account-one", "api_keys": ["key-one"] }],
    })
}

/// Answers of an endpoint, which records what it runs.
async fn answer(entry_id: String, req: Request<Incoming>, runs: Runs) -> Response<h1::Whole> {
    let (head, body) = req.into_parts();
    let text = |name: &str| {
        let value = head.headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = text("request-id");
    let reply = |status: u16, seal: (&'static str, &'static str), body: Vec<u8>| {
        let answer = Response::builder().status(status).header("request-id", &id);
        answer.header(seal.0, seal.1).body(h1::Whole::from(body)).unwrap()
    };
    if text("expect-instance") != entry_id {
        return reply(421, ("not-executed", "1"), Vec::new());
    }
    let Ok(body) = body.collect().await else {
        return reply(400, ("not-executed", "1"), Vec::new());
    };
    let bytes = body.to_bytes().len();
    runs.lock().unwrap().entry(id.clone()).or_default().push(bytes);
    if head.uri.path().starts_with(SLOW_ROUTE) {
        task::sleep(SLOW).await;
    }
    let large = if head.uri.path().starts_with("/large/") { LARGE_ANSWER } else { 800 };
    reply(200, ("server-seal", "s"), vec![b'a'; large])
}

fn spawn(ip: &str, settings: Settings, store: SocketAddr) -> Child {
    let Settings { memory_mb, max_fds } = settings;
    let name = format!("oxbow-hostile-{}-{ip}.toml", std::process::id());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = format!(
        "node_name = \"d0\"\nip = \"{ip}\"\nzone = \"z\"\nport_range = [{}, {}]\n\
         seed_nodes = [\"{ip}:1\"]\n\
         [listen]\nfront = \"{ip}:{FRONT}\"\nreadiness_addr = \"{ip}:{READINESS}\"\n\
         [limits]\nmemory_mb = {memory_mb}\nmax_fds = {max_fds}\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\n\
         [bounds]\ngrace_s = 6\nbudget_ratio = 0.2\nbudget_window_s = 10\nretry_slack = 1000\n\
         quota_window_s = 8\nquota_overage = 0.1\nquota_slack = 1000\n",
        BETWEEN.0, BETWEEN.1
    );
    std::fs::write(&path, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_oxbowd"))
        .args(["--wire", "platform"])
        .env("OXBOWBEND_BOOT", path)
        .env("ASYNC_STD_THREAD_COUNT", "1")
        .stdout(match std::env::var_os("OXBOW_TEST_LOG") {
            Some(_) => Stdio::inherit(),
            None => Stdio::null(),
        })
        .spawn()
        .unwrap()
}
