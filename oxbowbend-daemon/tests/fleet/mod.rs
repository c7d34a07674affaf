//! Daemons as real processes, with the stand-ins inside the test's own process.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Seek};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use async_std::task;
use http_types::Method;
use oxbowbend_http::client::Client;
use oxbowbend_standin::engine::{self, RunRecord};
use oxbowbend_standin::load::{self, Ask, Ended};
use oxbowbend_standin::local::{
    declare, free_address, operator_call, wait_ok, Surroundings, ACCOUNT, MODEL, OPERATOR_KEY,
    PEER_SECRET,
};
use oxbowbend_standin::switches::Switches;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Longest time that anything in these tests may take.
pub const LONGEST: Duration = Duration::from_secs(60);

/// One daemon process.
pub struct Instance {
    child: Mutex<Child>,
    /// What it wrote, for the message of a test that fails.
    output: Mutex<File>,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    pub zone: String,
}

impl Instance {
    pub async fn start(zone: &str, platform: SocketAddr) -> Instance {
        let callers = free_address().await.expect("a port is free");
        let operators = free_address().await.expect("a port is free");
        let peers = free_address().await.expect("a port is free");
        let is_shown = std::env::var_os("OXBOW_TEST_LOG").is_some();
        let level = if is_shown { "debug" } else { "info" };
        let output = output_file(zone, callers);
        let both = || match is_shown {
            true => Stdio::inherit(),
            false => output.try_clone().expect("a file can be shared").into(),
        };
        let child = Command::new(env!("CARGO_BIN_EXE_oxbowd"))
            .args(["--instance", &format!("entry-{zone}"), "--zone", zone])
            .args(["--caller-listen", &callers.to_string()])
            .args(["--operator-listen", &operators.to_string()])
            .args(["--peer-listen", &peers.to_string()])
            .args(["--kv", &platform.to_string(), "--list", &platform.to_string()])
            .args(["--log", level])
            .env("OXBOWD_PEER_SECRET", PEER_SECRET)
            .env("OXBOWD_OPERATOR_KEY", OPERATOR_KEY)
            .stdin(Stdio::null())
            .stdout(both())
            .stderr(both())
            .spawn()
            .expect("oxbowd starts");
        let (child, output) = (Mutex::new(child), Mutex::new(output));
        Instance { child, output, callers, operators, peers, zone: zone.to_owned() }
    }

    /// Id of the process.
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child.lock().unwrap());
        kill_process(pid, signal).expect("the process is there");
    }

    pub fn kill(&mut self) {
        let child = self.child.get_mut().unwrap();
        child.kill().expect("the process is there");
        child.wait().expect("the process is there");
    }

    /// Whether the process has ended, and the last that it wrote.
    pub fn fate(&self) -> String {
        let ended = self.child.lock().unwrap().try_wait();
        let mut text = String::new();
        let mut output = self.output.lock().unwrap();
        output.rewind().and_then(|()| output.read_to_string(&mut text)).ok();
        let from = text.len().saturating_sub(2000);
        let last = text.get(from..).unwrap_or(&text);
        format!("{}: ended: {ended:?}; it wrote last:\n{last}", self.zone)
    }

    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits for the process to end by itself; says whether it did so well.
    pub async fn ended_well(&mut self) -> bool {
        let began = Instant::now();
        while began.elapsed() < LONGEST {
            let status = self.child.get_mut().unwrap().try_wait();
            if let Some(status) = status.expect("the process is there") {
                return status.success();
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        false
    }

    /// What the instance says of itself, as soon as it listens.
    pub async fn status(&self) -> Value {
        let is_heard = wait_ok(self.operators, "/healthz", LONGEST).await;
        assert!(is_heard, "it does not listen; {}", self.fate());
        let status = operator_call(self.operators, Method::Get, "/v1/status", None).await;
        status.expect("the instance answers").1
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let child = self.child.get_mut().unwrap();
        child.kill().ok();
        child.wait().ok();
    }
}

fn output_file(zone: &str, callers: SocketAddr) -> File {
    let name = format!("{zone}-{}-{}.log", std::process::id(), callers.port());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut options = File::options();
    options.create(true).read(true).append(true).open(path).expect("a file")
}

pub struct Fleet {
    pub around: Surroundings,
    pub instances: Vec<Instance>,
}

pub fn engine(slots: usize) -> engine::Options {
    let report_lag = Duration::from_millis(100);
    engine::Options { slots, report_lag, ..engine::Options::default() }
}

/// An engine slow enough for something to happen while it answers.
pub fn slow_engine(slots: usize) -> engine::Options {
    engine::Options { decode_rate: 20.0, ..engine(slots) }
}

impl Fleet {
    /// Starts daemons in three zones and waits until they serve.
    pub async fn start(engines: &[engine::Options]) -> Fleet {
        let fleet = Fleet::start_undeclared(engines).await;
        let resources = fleet.around.resources(&ZONES);
        let first = &fleet.instances[0];
        let declared = declare(first.operators, resources).await;
        declared
            .unwrap_or_else(|e| panic!("the resources are not accepted: {e}; {}", first.fate()));
        fleet.ready().await;
        fleet
    }

    pub async fn start_undeclared(engines: &[engine::Options]) -> Fleet {
        let around = Surroundings::start(engines).await.expect("ports are free");
        let mut instances = Vec::new();
        for zone in ZONES {
            instances.push(Instance::start(zone, around.platform_address).await);
        }
        Fleet { around, instances }
    }

    /// Waits until all daemons are ready and no permit is in doubt.
    pub async fn ready(&self) {
        for instance in &self.instances {
            let is_ready = wait_ok(instance.callers, "/readyz", LONGEST).await;
            assert!(is_ready, "not ready; {}", instance.fate());
        }
        self.until(|statuses| {
            // Permits are spread by a hash, so one instance may own none of few; together they own all.
            let owned: u64 = statuses.iter().filter_map(|s| s["owned_permits"].as_u64()).sum();
            statuses.iter().all(|s| {
                s["unproven_permits"] == 0
                    && s["revision"].as_u64() > Some(0)
                    && slots(s) > 0
                    && owned >= slots(s)
            })
        })
        .await;
    }

    /// Waits until the statuses of all instances are as wanted.
    pub async fn until(&self, wanted: impl Fn(&[Value]) -> bool) {
        let began = Instant::now();
        loop {
            let mut statuses = Vec::new();
            for instance in &self.instances {
                statuses.push(instance.status().await);
            }
            if wanted(&statuses) {
                return;
            }
            assert!(began.elapsed() < LONGEST, "never came about: {statuses:?}");
            task::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Position of the instance that schedules the model's pool.
    pub async fn scheduler(&self) -> usize {
        let status = self.instances[0].status().await;
        let id = status["pools"]["ankara/minutes"]["scheduler"].as_str().expect("there is one");
        let position = self.instances.iter().position(|i| id.contains(&i.zone));
        position.expect("the scheduler is one of the instances")
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.callers).collect()
    }

    pub fn switch(&self, engine: usize, switches: Switches) {
        self.around.engines[engine].0.panel().set(switches);
    }

    pub fn switch_platform(&self, switches: Switches) {
        self.around.platform.panel().set(switches);
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.around.engines.iter().flat_map(|(e, _, _)| e.runs()).collect()
    }

    /// Checks what must hold whatever happened: nothing ran twice, no engine had more than its
    /// slots, and what callers were told agrees with what ran.
    pub fn check(&self, results: &[(Ask, load::Result)]) {
        let mut starts: BTreeMap<String, u32> = BTreeMap::new();
        for run in self.runs() {
            *starts.entry(run.marker).or_default() += run.starts;
        }
        let doubled: Vec<_> = starts.iter().filter(|(_, n)| **n > 1).collect();
        assert!(doubled.is_empty(), "ran more than once: {doubled:?}");
        for (engine, _, options) in &self.around.engines {
            assert!(engine.peak() <= options.slots, "{} of {}", engine.peak(), options.slots);
        }
        for (ask, result) in results {
            match &result.ended {
                Ended::Whole => {}
                Ended::Refused { outcome, .. } if outcome == "not-run" => {
                    assert!(!starts.contains_key(&marker(ask)), "{ask:?} ran after {result:?}");
                }
                Ended::Refused { .. } | Ended::Broken(_) => {}
                Ended::Wrong(text) => panic!("{ask:?} got {text}"),
            }
        }
    }
}

/// Slots of all endpoints that an instance knows; each has a permit.
fn slots(status: &Value) -> u64 {
    let pools = status["pools"].as_object().into_iter().flat_map(|pools| pools.values());
    pools.filter_map(|pool| pool["slots"].as_u64()).sum()
}

pub fn marker(ask: &Ask) -> String {
    ask.prompt.chars().take(64).collect()
}

pub fn ask(name: &str, tier: &str, max_tokens: u32, stream: bool) -> Ask {
    Ask {
        key: ACCOUNT.1.to_owned(),
        model: MODEL.to_owned(),
        tier: Some(tier.to_owned()),
        prompt: format!("prompt {name}"),
        max_tokens,
        stream,
        run: None,
        headers: Vec::new(),
    }
}

pub fn keyed(mut ask: Ask, key: &str) -> Ask {
    ask.headers.push(("Idempotency-Key".to_owned(), key.to_owned()));
    ask
}

/// Sends a request in the background.
pub fn send(to: SocketAddr, ask: Ask) -> task::JoinHandle<(Ask, load::Result)> {
    task::spawn(async move {
        let result = load::send(&Client::new(), to, &ask).await;
        (ask, result)
    })
}

pub async fn all(handles: Vec<task::JoinHandle<(Ask, load::Result)>>) -> Vec<(Ask, load::Result)> {
    futures::future::join_all(handles).await
}

/// How many requests were answered whole.
pub fn whole(results: &[(Ask, load::Result)]) -> usize {
    results.iter().filter(|(_, r)| r.ended == Ended::Whole).count()
}

/// Waits until something holds.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < LONGEST, "never: {what}");
        task::sleep(Duration::from_millis(10)).await;
    }
}

/// Runs a test within a bound of time.
pub fn bounded(test: impl std::future::Future<Output = ()>) {
    // Boxed, since every layer above would otherwise hold the whole test on the thread's stack.
    let bounded = async_std::future::timeout(Duration::from_secs(150), Box::pin(test));
    task::block_on(bounded).expect("the test ends in time");
}
