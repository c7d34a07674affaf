//! LOST: a daemon that stops takes requests on for which it has no time, if its cell has no free place.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{self, Answer};
use crate::fleet::{Bounds, Fleet, Record};
use crate::server::{Fate, Runs, Server};

/// More daemons than a cell has; those of the first zone are stopped at a time.
const ZONES: [&str; 14] = [
    "zone-a", "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-b", "zone-b",
    "zone-c", "zone-c", "zone-c", "zone-c", "zone-c",
];
const STOPPED: usize = 4;
const SERVERS: usize = 12;
const SLOTS: usize = 2;
/// Time before each event of a stream.
const EVENT: Duration = Duration::from_millis(20);
/// Events of a stream of five seconds, of the one that keeps the daemon running, and of those that fill its cell.
const TESTED: u64 = 250;
const KEEPER: u64 = 320;
const FILLER: u64 = 300;
const REQUESTS: usize = 6;
const ROUNDS: usize = 3;
/// Requests at once that show which engines a daemon uses.
const PROBES: usize = 6;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"review","host":"case.example","path_prefix":"/review/","kind":"streaming","timeout_ms":12000,"target_latency_ms":800,"priority":0,"service":"engines","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":200}],"services":[{"name":"engines","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant","api_keys":["a-key"],"priority":0,"rate_per_s":0,"burst":0}]}"#;

type Answers = Arc<Mutex<BTreeMap<String, Answer>>>;

fn send(
    front: SocketAddr,
    id: String,
    events: u64,
    record: &Record,
    answers: &Answers,
) -> JoinHandle<()> {
    let (record, answers) = (record.clone(), answers.clone());
    thread::spawn(move || {
        let request = format!(
            "POST /review/{events} HTTP/1.1\r\nHost: case.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\n\
             Authorization: Bearer a-key\r\nModel: m\r\nToken-Count: 3000,{}\r\nContent-Length: 4\r\n\r\nbody",
            events * 3
        );
        record.note(&format!("sent {id} to {front} events={events}"));
        let answer = client::ask(front, request.as_bytes(), Duration::from_secs(13));
        let shown = match &answer {
            Answer::Whole(status, body) => {
                format!("{status}, whole, {} events", body.matches("id:").count())
            }
            Answer::Cut(status, body) => {
                format!("{status}, broken off after {} events", body.matches("id:").count())
            }
            Answer::None(why) => format!("none: {why}"),
        };
        record.note(&format!("answered {id} {shown}"));
        answers.lock().unwrap().insert(id, answer);
    })
}

pub fn play(record: &Record, is_troubled: bool) -> io::Result<bool> {
    let mut fleet = Fleet::in_zones(&ZONES, &Bounds { retry_slack: 174, quota_slack: 190_000 })?;
    let (runs, answers) = (Runs::default(), Answers::default());
    for n in 0..SERVERS {
        let server = Server {
            id: format!("i-{n}"),
            address: fleet.server_address(n),
            slots: SLOTS,
            running: Arc::new(AtomicUsize::new(0)),
            runs: runs.clone(),
            record: record.clone(),
            events: TESTED,
            pause: EVENT,
            fate: Arc::new(|_| Fate::Whole),
        };
        server.start()?;
        server.enter(&fleet.store, "engines", ["zone-a", "zone-b", "zone-c"][n % 3]);
    }
    fleet.store.put("op/config", CONFIG);
    fleet.start_all()?;
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    // The layout of cells follows the entries in the store.
    thread::sleep(Duration::from_secs(8));
    let (mut lost, mut tested) = (0, 0);
    for round in 0..ROUNDS {
        let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
        // Of the daemons that stop, the one that the requests reach.
        let stopped = round % STOPPED;
        let with_it = cell(stopped, &fronts, round, record, &runs, &answers);
        record.note(&format!(
            "round {round}: daemons that share engines with daemon {}: {with_it:?}",
            stopped + 1
        ));
        let keeper = format!("keeper-{round}");
        let mut threads = vec![send(fronts[stopped], keeper, KEEPER, record, &answers)];
        thread::sleep(Duration::from_millis(300));
        if is_troubled {
            record.note(&format!("SIGTERM to daemons 1 to {STOPPED}"));
            fleet.daemons[..STOPPED].iter().for_each(|daemon| daemon.signal("TERM"));
        }
        thread::sleep(Duration::from_millis(3000));
        // The cell's places are taken, through its other daemons.
        let others: Vec<_> = with_it.iter().filter(|n| **n >= STOPPED).collect();
        if others.is_empty() {
            return Err(io::Error::other(
                "no other daemon shares the engines of the one that stops",
            ));
        }
        for n in 0..SERVERS * SLOTS / 2 {
            let front = fronts[*others[n % others.len()]];
            threads.push(send(front, format!("filler-{round}-{n}"), FILLER, record, &answers));
            thread::sleep(Duration::from_millis(30));
        }
        thread::sleep(Duration::from_millis(400));
        // None of the zone's daemons is in rotation, so the platform uses all of them.
        for n in 0..REQUESTS {
            tested += 1;
            threads.push(send(
                fronts[stopped],
                format!("tested-{round}-{n}"),
                TESTED,
                record,
                &answers,
            ));
            thread::sleep(Duration::from_millis(50));
        }
        threads.into_iter().for_each(|thread| drop(thread.join()));
        for n in 0..REQUESTS {
            let id = format!("tested-{round}-{n}");
            let has_run = runs.0.lock().unwrap().contains_key(&id);
            let answer = answers.lock().unwrap().get(&id).cloned();
            if has_run && !matches!(answer, Some(Answer::Whole(..))) {
                lost += 1;
                record.note(&format!(
                    "lost: {id} has run, and its connection ended without a whole answer"
                ));
            }
        }
        if is_troubled {
            for daemon in &mut fleet.daemons[..STOPPED] {
                let code = daemon.ended();
                record.note(&format!("{} ended with {code:?}", daemon.name));
                daemon.kill();
                daemon.start()?;
            }
            if !fleet.wait_ready(Duration::from_secs(10)) {
                return Err(io::Error::other("the daemons are not ready again"));
            }
            thread::sleep(Duration::from_secs(4));
        }
    }
    record.say(&format!("{tested} requests were sent to daemons that stop, 4 s after SIGTERM; {lost} were taken on and lost"));
    Ok(lost == 0)
}

/// The daemons that use the same engines as one of them.
fn cell(
    first: usize,
    fronts: &[SocketAddr],
    round: usize,
    record: &Record,
    runs: &Runs,
    answers: &Answers,
) -> Vec<usize> {
    for (n, front) in fronts.iter().enumerate() {
        let send = |k| send(*front, format!("probe-{round}-{n}-{k}"), 8, record, answers);
        let threads: Vec<_> = (0..PROBES).map(send).collect();
        threads.into_iter().for_each(|thread| drop(thread.join()));
        thread::sleep(Duration::from_millis(100));
    }
    let runs = runs.0.lock().unwrap();
    let engines = |n: usize| -> BTreeSet<String> {
        let ids = (0..PROBES).map(|k| format!("probe-{round}-{n}-{k}"));
        ids.filter_map(|id| Some(runs.get(&id)?.first()?.server.clone())).collect()
    };
    let of_daemon: Vec<_> = (0..fronts.len()).map(engines).collect();
    let (mut known, mut members) = (of_daemon[first].clone(), BTreeSet::from([first]));
    loop {
        let before = members.len();
        for (n, engines) in of_daemon.iter().enumerate() {
            if !engines.is_disjoint(&known) {
                known.extend(engines.iter().cloned());
                members.insert(n);
            }
        }
        if members.len() == before {
            return members.into_iter().collect();
        }
    }
}
