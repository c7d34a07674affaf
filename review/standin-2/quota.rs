//! QUOTA: instances that hear of each other's admissions only later each grant the same allowance.

use std::io;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::Duration;

use crate::client::{self, Answer};
use crate::fleet::{Bounds, Fleet, Record};
use crate::server::{Fate, Runs, Server};

const DAEMONS: usize = 6;
const SERVERS: usize = 9;
const RATE: u64 = 47_000;
const SLACK: u64 = 190_000;
const WINDOW_S: u64 = 8;
/// (rate x window + burst) x (1 + overage) + slack.
const ALLOWED: u64 = (RATE * WINDOW_S + RATE) * 11 / 10 + SLACK;
/// Tokens of a request; the deployment's largest prompts have 53,200.
const TOKENS: u64 = 53_000;
const REQUESTS: usize = 18;
const BURSTS: usize = 4;
/// Between bursts the window of the one before has passed.
const PAUSE: Duration = Duration::from_secs(15);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"review","host":"case.example","path_prefix":"/review/","kind":"streaming","timeout_ms":12000,"target_latency_ms":800,"priority":0,"service":"engines","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":200}],"services":[{"name":"engines","health_path":"/healthz","max_conns":360,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant","api_keys":["a-key"],"priority":0,"unit":"token_count","plain_tokens":200,"rate_per_s":47000,"burst":47000}]}"#;

pub fn play(record: &Record, is_troubled: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(DAEMONS, &Bounds { retry_slack: 54, quota_slack: SLACK as u32 })?;
    let runs = Runs::default();
    for n in 0..SERVERS {
        let server = Server {
            id: format!("i-{n}"),
            address: fleet.server_address(n),
            slots: 6,
            running: Arc::new(AtomicUsize::new(0)),
            runs: runs.clone(),
            record: record.clone(),
            events: 5,
            pause: Duration::from_millis(200),
            fate: Arc::new(|_| Fate::Whole),
        };
        server.start()?;
        server.enter(&fleet.store, "engines", ["zone-a", "zone-b", "zone-c"][n % 3]);
    }
    fleet.store.put("op/config", CONFIG);
    fleet.start_all()?;
    if !fleet.wait_ready(Duration::from_secs(10)) {
        return Err(io::Error::other("the daemons are not ready"));
    }
    thread::sleep(Duration::from_secs(3));
    let fronts: Vec<_> = fleet.daemons.iter().map(|daemon| daemon.front()).collect();
    for burst in 0..BURSTS {
        let barrier = Arc::new(Barrier::new(REQUESTS));
        let clients: Vec<_> = (0..REQUESTS)
            .map(|n| {
                let (front, record, barrier) = (fronts[n % DAEMONS], record.clone(), barrier.clone());
                thread::spawn(move || {
                    barrier.wait();
                    if !is_troubled {
                        // The tenant's usual: one request after the other, far below its rate.
                        thread::sleep(Duration::from_millis(800 * n as u64));
                    }
                    let id = format!("{:08x}{n:08x}", burst + 1);
                    let (input, output) = (TOKENS - 40, 40);
                    let request = format!(
                        "POST /review/2f HTTP/1.1\r\nHost: case.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 12000\r\n\
                         Authorization: Bearer a-key\r\nModel: m\r\nToken-Count: {input},{output}\r\nContent-Length: 4\r\n\r\nbody"
                    );
                    record.note(&format!("sent {id} to daemon {} tokens={TOKENS}", n % DAEMONS + 1));
                    let answer = client::ask(front, request.as_bytes(), Duration::from_secs(13));
                    let shown = match &answer {
                        Answer::Whole(status, _) => format!("{status}"),
                        Answer::Cut(status, _) => format!("{status}, broken off"),
                        Answer::None(why) => format!("none: {why}"),
                    };
                    record.note(&format!("answered {id} {shown}"));
                })
            })
            .collect();
        clients.into_iter().for_each(|client| drop(client.join()));
        thread::sleep(PAUSE);
    }
    let mut all: Vec<(u128, u64)> = Vec::new();
    for run in runs.0.lock().unwrap().values().flatten() {
        assert_eq!(run.tenant, "tenant");
        all.push((run.ms, run.tokens));
    }
    all.sort();
    let window = u128::from(WINDOW_S) * 1000;
    let in_window = |from: u128| -> u64 {
        all.iter().filter(|(at, _)| *at >= from && *at < from + window).map(|(_, n)| n).sum()
    };
    let most = all.iter().map(|(at, _)| in_window(*at)).max().unwrap_or(0);
    record.say(&format!(
        "{} requests have run; the most tokens in {WINDOW_S} s: {most}, allowed: {ALLOWED}",
        all.len()
    ));
    Ok(most <= ALLOWED)
}
