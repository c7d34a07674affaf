//! BUDGET: a request of a route with two attempts runs on three servers.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Answer};
use crate::fleet::{Bounds, Fleet, Record};
use crate::server::{draw, Fate, Runs, Server};

const MAX_ATTEMPTS: usize = 2;
const SERVERS: usize = 9;
const CLIENTS: u64 = 40;
/// Rounds of this length: answers are lost in the first four seconds, and broken off in all six.
const ROUND: Duration = Duration::from_secs(6);
const ROUNDS: u32 = 14;
const LOST_FOR: Duration = Duration::from_secs(4);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"review","host":"case.example","path_prefix":"/review/","kind":"streaming","timeout_ms":12000,"target_latency_ms":800,"priority":0,"service":"engines","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":200}],"services":[{"name":"engines","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant","api_keys":["a-key"],"priority":1,"rate_per_s":0,"burst":0}]}"#;

pub fn play(record: &Record, is_troubled: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(3, &Bounds { retry_slack: 54, quota_slack: 190_000 })?;
    let (runs, began) = (Runs::default(), Arc::new(Mutex::new(None::<Instant>)));
    for n in 0..SERVERS {
        let (id, began) = (format!("i-{n}"), began.clone());
        let name = id.clone();
        // Half of the servers break off some answers (garble), six in ten lose some (answer_lost).
        let (breaks_off, loses) = (n % 9 < 4, n % 9 >= 4);
        let fate = move |head: &crate::http::Head| {
            let Some(at) = *began.lock().unwrap() else { return Fate::Whole };
            let round = at.elapsed().as_millis() % ROUND.as_millis();
            let request = format!("{} {name}", head.get("request-id").unwrap_or(""));
            if !is_troubled {
                return Fate::Whole;
            }
            if loses && round < LOST_FOR.as_millis() && draw(&request, 1, 1000) < 400 {
                return Fate::Lost;
            }
            if breaks_off && draw(&request, 2, 10_000) < 247 {
                return Fate::Cut(4 + draw(&request, 3, 5));
            }
            Fate::Whole
        };
        let server = Server {
            id,
            address: fleet.server_address(n),
            slots: 6,
            running: Arc::new(AtomicUsize::new(0)),
            runs: runs.clone(),
            record: record.clone(),
            events: 12,
            pause: Duration::from_millis(10),
            fate: Arc::new(fate),
        };
        server.start()?;
        server.enter(&fleet.store, "engines", ["zone-a", "zone-b", "zone-c"][n % 3]);
    }
    fleet.store.put("op/config", CONFIG);
    fleet.start_all()?;
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    thread::sleep(Duration::from_secs(1));
    *began.lock().unwrap() = Some(Instant::now());
    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let answers = Arc::new(Mutex::new(BTreeMap::<String, u64>::new()));
    let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, next, answers, record) = (stop.clone(), next.clone(), answers.clone(), record.clone());
            let front = fronts[n as usize % fronts.len()];
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst) + 1);
                    let request = format!(
                        "POST /review/2f HTTP/1.1\r\nHost: case.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\n\
                         Authorization: Bearer a-key\r\nModel: m\r\nToken-Count: 600,40\r\nContent-Length: 4\r\n\r\nbody"
                    );
                    record.note(&format!("sent {id}"));
                    let answer = client::ask(front, request.as_bytes(), Duration::from_secs(13));
                    let shown = match &answer {
                        Answer::Whole(status, _) => format!("{status}"),
                        Answer::Cut(status, _) => format!("{status}, broken off"),
                        Answer::None(why) => format!("none: {why}"),
                    };
                    record.note(&format!("answered {id} {shown}"));
                    *answers.lock().unwrap().entry(shown).or_default() += 1;
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    thread::sleep(ROUND * ROUNDS);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    record.say(&format!("answers: {:?}", answers.lock().unwrap()));
    let (mut total, mut broken) = (0, 0);
    for (id, runs) in runs.0.lock().unwrap().iter() {
        total += 1;
        let servers: BTreeSet<_> = runs.iter().map(|run| run.server.as_str()).collect();
        if servers.len() > MAX_ATTEMPTS {
            broken += 1;
            record
                .note(&format!("beyond max_attempts={MAX_ATTEMPTS}: {id} has run on {servers:?}"));
        }
    }
    record.say(&format!("{total} requests have run, {broken} of them on more than {MAX_ATTEMPTS} servers (3 are allowed)"));
    Ok(broken <= 3)
}
