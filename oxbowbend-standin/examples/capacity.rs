//! Measures the slopes that docs/CAPACITY.md is worked out from: time and memory of decisions
//! against queue length, endpoints, members and resources, and bytes of messages.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use oxbowbend_core::ids;
use oxbowbend_core::ledger;
use oxbowbend_core::membership;
use oxbowbend_core::message;
use oxbowbend_core::node;
use oxbowbend_core::scheduler;
use oxbowbend_core::selection;
use oxbowbend_core::topology;
use oxbowbend_resource::derive;
use oxbowbend_resource::kinds;
use oxbowbend_resource::manifest;
use oxbowbend_standin::experiment::policy;

/// An instance's name of usual length.
const ENTRY: &str = "entry-zone-a-0123abcd";
const POOL: &str = "ankara/minutes";

/// Points (size, value) with the line through them.
struct Series {
    name: String,
    unit: &'static str,
    points: Vec<(f64, f64)>,
}

impl Series {
    fn print(&self) {
        let n = self.points.len() as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (mx, my) = (mean(|p| p.0), mean(|p| p.1));
        let sxx: f64 = self.points.iter().map(|p| (p.0 - mx).powi(2)).sum();
        let sxy: f64 = self.points.iter().map(|p| (p.0 - mx) * (p.1 - my)).sum();
        let slope = sxy / sxx;
        let base = my - slope * mx;
        let error = |p: &(f64, f64)| (base + slope * p.0 - p.1).powi(2);
        let rms = (self.points.iter().map(error).sum::<f64>() / n).sqrt();
        println!("{} [{}]", self.name, self.unit);
        self.points.iter().for_each(|(x, y)| println!("  {x:>10.0} {y:>14.2}"));
        println!("  line: {base:.3} + {slope:.6} * size, rms error {rms:.3}\n");
    }
}

fn endpoint() -> topology::Endpoint {
    topology::Endpoint {
        slots: 4,
        generation: "g1".into(),
        prefill_rate: 4000.0,
        decode_rate: 40.0,
        cache_tokens: 65_536,
        leaving: false,
        report_lag: Duration::from_secs(1),
    }
}

fn pool(endpoints: usize) -> topology::Pool {
    let names = (0..endpoints).map(|n| (format!("engine-{n}").as_str().into(), endpoint()));
    topology::Pool {
        zones: ["zone-a".into()].into(),
        endpoints: names.collect(),
        queue_bound: usize::MAX,
        max_run: Duration::from_secs(600),
        prefill_bias: 0.0,
    }
}

fn record(n: usize, blocks: u64) -> message::RequestInfo {
    message::RequestInfo {
        id: format!("r-{n:032x}").as_str().into(),
        attempt: 1,
        pool: POOL.into(),
        account: format!("account-{}", n % 50).as_str().into(),
        tier: 0,
        weight: 1,
        prompt_tokens: 1000,
        output_tokens: 200,
        prefix: (0..blocks).map(|b| b ^ (n as u64) << 20).collect(),
        due_in_ms: 3_600_000,
    }
}

/// Microseconds of one decision: a slot becomes free, the scheduler grants, and one more request
/// takes the granted one's place, so that the queue keeps its length.
fn decision(queue: usize, endpoints: usize) -> f64 {
    let now = Instant::now();
    let entry: ids::InstanceId = ENTRY.into();
    let config = pool(endpoints);
    let mut s =
        scheduler::Scheduler::new(entry.clone(), POOL.into(), &config, selection::EarliestFinish);
    (0..queue).for_each(|n| s.enqueue(now, &entry, record(n, 16)));
    let offer = |s: &mut scheduler::Scheduler<selection::EarliestFinish>,
                 n: usize,
                 free: u32,
                 seen: u64| {
        let endpoint = format!("engine-{}", n % endpoints);
        let endpoint = endpoint.as_str().into();
        s.handle_offer(
            &entry,
            &message::Offer { pool: POOL.into(), endpoint, free, owned: 4, last_seq: seen },
        );
    };
    let mut out = Vec::new();
    let mut seen = 0;
    let mut granted = 0;
    let rounds = 2000;
    let records: Vec<message::RequestInfo> = (0..rounds).map(|n| record(queue + n, 16)).collect();
    let began = Instant::now();
    for (n, record) in records.into_iter().enumerate() {
        s.enqueue(now, &entry, record);
        offer(&mut s, n, 1, seen);
        s.schedule(now, &policy::Alone, &mut out);
        for action in out.drain(..) {
            if let node::Action::Send { message: message::Message::Grant(grant), .. } = &action {
                seen = seen.max(grant.seq);
                granted += 1;
                s.handle_accepted(&(grant.request.clone(), grant.attempt));
            }
            black_box(&action);
        }
    }
    assert_eq!(granted, rounds, "each round grants one request");
    began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds as u32)
}

/// Resident bytes of this process.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

fn memory_per_request(queue: usize) -> f64 {
    let now = Instant::now();
    let entry: ids::InstanceId = ENTRY.into();
    let before = resident();
    let mut s =
        scheduler::Scheduler::new(entry.clone(), POOL.into(), &pool(10), selection::EarliestFinish);
    (0..queue).for_each(|n| s.enqueue(now, &entry, record(n, 16)));
    let used = resident() - before;
    black_box(&s);
    std::mem::forget(s);
    used / 1024.0
}

fn list(members: usize) -> membership::InstanceList {
    let member = |n: usize| {
        let address = format!("10.0.{}.{}:8082", n / 250, n % 250);
        let member = membership::Member { zone: "zone-a".into(), address, leaving: false };
        (format!("entry-{n:03}-0123abcd").as_str().into(), member)
    };
    membership::InstanceList { version: 1, members: (0..members).map(member).collect() }
}

fn topology(endpoints: usize, limited_accounts: usize) -> topology::Topology {
    let account = |n: usize| {
        (format!("account-{n}").as_str().into(), topology::Account { max_running: Some(16) })
    };
    topology::Topology {
        pools: [(POOL.into(), pool(endpoints))].into(),
        accounts: (0..limited_accounts).map(account).collect(),
        lowest_tier: 2,
        max_run: Duration::from_secs(600),
    }
}

/// Milliseconds for a node to work out anew who owns what after a change of the list.
fn retarget(members: usize, endpoints: usize, accounts: usize) -> f64 {
    let now = Instant::now();
    let mut node = node::Node::new("entry-000-0123abcd".into(), "zone-a".into(), 1);
    node.handle(now, node::Event::Topology(Arc::new(topology(endpoints, accounts))));
    let mut list = list(members);
    let began = Instant::now();
    let rounds = 3;
    for _ in 0..rounds {
        list.version += 1;
        black_box(node.handle(now, node::Event::List(list.clone())));
    }
    began.elapsed().as_secs_f64() * 1000.0 / f64::from(rounds)
}

/// Microseconds to answer a heartbeat.
fn heartbeat(pools: usize) -> f64 {
    let now = Instant::now();
    let mut node = node::Node::new("entry-000-0123abcd".into(), "zone-a".into(), 1);
    let mut topology = topology(10, 0);
    let config = pool(10);
    topology.pools =
        (0..pools).map(|n| (format!("p{n}").as_str().into(), config.clone())).collect();
    node.handle(now, node::Event::Topology(Arc::new(topology)));
    node.handle(now, node::Event::List(list(7)));
    let digests = |n: usize| message::PoolDigest {
        pool: format!("p{n}").as_str().into(),
        digest: 0,
        threshold_seq: 0,
    };
    let message = message::Message::Heartbeat { seq: 1, pools: (0..pools).map(digests).collect() };
    let from: ids::InstanceId = "entry-001-0123abcd".into();
    let rounds = 2000;
    let began = Instant::now();
    for _ in 0..rounds {
        let event = node::Event::Peer { from: from.clone(), message: message.clone() };
        black_box(node.handle(now, event));
    }
    began.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

fn account(n: usize) -> kinds::Resource {
    let spec = kinds::ClientAccount {
        key_hashes: vec![format!("{n:064x}")],
        tiers: vec!["live".to_owned()],
        places: vec!["ankara".to_owned()],
        weight: Some(1),
        max_running: Some(16),
        max_open: None,
    };
    kinds::Resource {
        name: format!("account-{n}"),
        version: 0,
        spec: kinds::Spec::ClientAccount(spec),
    }
}

fn manifest(accounts: usize) -> manifest::Manifest {
    let place = kinds::Place { zones: vec!["zone-a".to_owned()] };
    let tier = kinds::Tier { level: Some(0), deadline_seconds: None };
    let mut resources = vec![
        kinds::Resource { name: "ankara".to_owned(), version: 0, spec: kinds::Spec::Place(place) },
        kinds::Resource { name: "live".to_owned(), version: 0, spec: kinds::Spec::Tier(tier) },
    ];
    resources.extend((0..accounts).map(account));
    let operations = resources.into_iter().map(manifest::Operation::Put).collect();
    let plan =
        manifest::Manifest::default().plan(&manifest::Change { id: "c0".to_owned(), operations });
    plan.expect("the resources are good").manifest
}

/// Milliseconds to plan a change of one account, and to put a revision into use.
fn change(accounts: usize) -> (f64, f64) {
    let manifest = manifest(accounts);
    let mut changed = manifest.set().of(kinds::Kind::ClientAccount).next().cloned();
    if let Some(kinds::Spec::ClientAccount(a)) = changed.as_mut().map(|c| &mut c.spec) {
        a.weight = Some(2);
    }
    let operations = changed.into_iter().map(manifest::Operation::Put).collect();
    let change = manifest::Change { id: "c1".to_owned(), operations };
    let began = Instant::now();
    let planned = black_box(manifest.plan(&change));
    let planning = began.elapsed().as_secs_f64() * 1000.0;
    let began = Instant::now();
    let set = planned.expect("the change is good").manifest;
    black_box(derive::topology(set.set()));
    black_box(oxbowbend_resource::set::KeyIndex::new(set.set()));
    (planning, began.elapsed().as_secs_f64() * 1000.0)
}

/// Microseconds to take a step in a shard and render it, and its bytes.
fn shard(entries: usize) -> (f64, f64) {
    let mut shard = ledger::Shard::default();
    let step = |n: usize| ledger::Step {
        key: ledger::ledger_key("account", &n.to_string()),
        run: format!("r-{n:032x}").as_str().into(),
        action: ledger::StepAction::Hold {
            holder: ENTRY.into(),
            body_digest: 1,
            takeover: false,
            retention_s: 900,
        },
    };
    (0..entries).for_each(|n| {
        shard.apply(0, &step(n));
    });
    let began = Instant::now();
    let rounds = 20;
    let mut bytes = 0;
    for n in 0..rounds {
        let mut next = shard.clone();
        next.expire(1);
        next.apply(0, &step(entries + n));
        bytes = serde_json::to_vec(&next).map_or(0, |v| v.len());
    }
    (began.elapsed().as_secs_f64() * 1e6 / rounds as f64, bytes as f64)
}

fn series(name: &str, unit: &'static str, sizes: &[usize], measure: impl Fn(usize) -> f64) {
    let points = sizes.iter().map(|n| (*n as f64, measure(*n))).collect();
    Series { name: name.to_owned(), unit, points }.print();
}

fn main() {
    // First, since memory that was freed before would be used again unseen.
    series(
        "queue memory at the scheduler, 16 blocks each",
        "KiB",
        &[10_000, 50_000, 100_000],
        memory_per_request,
    );
    let queues = [10, 100, 1_000, 10_000, 100_000];
    series("decision against queue length, 60 endpoints, 1 free", "us", &queues, |n| {
        decision(n, 60)
    });
    let endpoints = [10, 60, 300, 1200, 2400];
    series("decision against endpoints, 1000 waiting, 1 free", "us", &endpoints, |n| {
        decision(1000, n)
    });
    series("list change against members, 1200 endpoints of 4", "ms", &[7, 50, 137, 410], |n| {
        retarget(n, 1200, 0)
    });
    series(
        "list change against limited accounts of 16, 137 members",
        "ms",
        &[100, 1000, 7200],
        |n| retarget(137, 100, n),
    );
    series("heartbeat answered against pools", "us", &[1, 7, 21], heartbeat);
    series("change planned against accounts", "ms", &[100, 1000, 7200], |n| change(n).0);
    series("revision put into use against accounts", "ms", &[100, 1000, 7200], |n| change(n).1);
    series("ledger step against entries of the shard", "us", &[10, 100, 1000, 4000], |n| {
        shard(n).0
    });
    series("ledger shard against entries", "bytes", &[10, 100, 1000, 4000], |n| shard(n).1);
    messages();
}

fn messages() {
    let bytes = |m: &message::Message| serde_json::to_vec(m).map_or(0, |v| v.len());
    let entry: ids::InstanceId = ENTRY.into();
    let hop = |key| message::Hop { owner: entry.clone(), key, index: Some(3) };
    let grant = message::Grant {
        request: record(1, 0).id,
        attempt: 1,
        pool: POOL.into(),
        endpoint: "engine-12".into(),
        ingress: entry.clone(),
        scheduler: entry.clone(),
        seq: 12_345,
        hops: vec![
            hop(message::PermitKey::Account("account-1".into())),
            hop(message::PermitKey::Endpoint("engine-12".into())),
        ],
    };
    let digest = message::PoolDigest { pool: POOL.into(), digest: u64::MAX, threshold_seq: 0 };
    let table: BTreeMap<&str, usize> = [
        ("enqueue, 16 blocks", bytes(&message::Message::Enqueue(record(1, 16)))),
        ("enqueue, no blocks", bytes(&message::Message::Enqueue(record(1, 0)))),
        ("grant, 2 hops", bytes(&message::Message::Grant(grant))),
        (
            "beat, 1 pool",
            bytes(&message::Message::Heartbeat { seq: 1000, pools: vec![digest.clone()] }),
        ),
        (
            "beat, 21 pools",
            bytes(&message::Message::Heartbeat { seq: 1000, pools: vec![digest; 21] }),
        ),
        ("beat ack", bytes(&message::Message::HeartbeatAck { seq: 1000, resync: Vec::new() })),
        ("claim of 100, list of 137", claim_bytes(137)),
        ("claim of 100, list of 410", claim_bytes(410)),
    ]
    .into();
    println!("bytes of messages");
    table.iter().for_each(|(name, n)| println!("  {name:30} {n:>8}"));
    let bucket = manifest::Bucket { resources: (0..112).map(account).collect() };
    let n = serde_json::to_vec(&bucket).map_or(0, |v| v.len());
    println!("  {:30} {n:>8}", "bucket of 112 accounts");
}

fn claim_bytes(members: usize) -> usize {
    let permit = |index| oxbowbend_core::message::Permit {
        key: message::PermitKey::Endpoint("engine-12".into()),
        index,
    };
    let claim = message::Message::Claim {
        nonce: 1,
        list: list(members),
        permits: (0..100).map(permit).collect(),
    };
    serde_json::to_vec(&claim).map_or(0, |v| v.len())
}
