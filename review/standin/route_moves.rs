//! A fleet of two cells, of which one is full and offers requests to the other one. The operator
//! moves a route from one service to another now and then.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::{Fleet, Net, Record, Site};
use crate::http::Conn;
use crate::server::{Runs, Server};
use crate::store::Store;

const DAEMONS: u8 = 14;
/// Servers of each of two services, and the time that a request takes there.
const SERVERS: u8 = 6;
const WORK: Duration = Duration::from_millis(60);
/// Clients of each machine of the full cell.
const CLIENTS: usize = 7;
/// Changes of the configuration, and the time between two; `config_apply_ms` is 3,000.
const CHANGES: u64 = 14;
const BETWEEN: Duration = Duration::from_millis(4200);
/// `downgrade_slack_ms`.
const SLACK: u128 = 250;

fn config(version: u64) -> String {
    let service = if version % 2 == 0 { "masa-app-b" } else { "masa-app-a" };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"docket-lookup\",\"host\":\"desk.example\",\
         \"path_prefix\":\"/docket/\",\"kind\":\"non_idempotent\",\"timeout_ms\":1000,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[\
         {{\"name\":\"masa-app-a\",\"health_path\":\"/healthz\",\"max_conns\":590,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"masa-app-b\",\"health_path\":\"/healthz\",\"max_conns\":590,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"],\"priority\":1}}]}}"
    )
}

struct Sent {
    daemon: usize,
    at: u128,
    status: u16,
}

type Answers = Arc<Mutex<HashMap<String, Sent>>>;

pub fn run(has_trouble: bool, folder: &Path) -> i32 {
    let (record, runs, answers) = (Record::new(), Runs::default(), Answers::default());
    let Some(net) = Net::find() else { return 2 };
    let bind = |n: u8, port: u16| TcpListener::bind((net.ip(n), port));
    let Ok(listener) = bind(200, 8225) else { return 2 };
    let (store, store_address) = Store::start(listener);
    let mut servers = Vec::new();
    for n in 0..2 * SERVERS {
        let Ok(listener) = bind(100 + n, 8080) else { return 2 };
        let letter = if n < SERVERS { "a" } else { "b" };
        let names = (format!("i-{letter}{n:02}"), format!("masa-app-{letter}"));
        let names = (names.0.as_str(), names.1.as_str());
        servers.push(Server::start(names, listener, (WORK, 800), &runs, &record));
    }
    store.put("op/config", &config(1));
    for (n, server) in servers.iter().enumerate() {
        let zone = ["ist-sisli", "ist-kartal", "ist-ikitelli"][n % 3];
        store.put(&format!("servers/{}", server.id), &server.entry(zone));
    }
    let fleet = match Fleet::start(net, Site::Grown, DAEMONS, |_| store_address) {
        Ok(fleet) => fleet,
        Err(e) => {
            record.note(e);
            record.write(&folder.join("record.txt"));
            return 2;
        }
    };
    // Traffic starts 14 s after the machines do.
    thread::sleep(Duration::from_secs(14));
    let code = play(has_trouble, (&fleet, &store), &answers, &record);
    drop(fleet);
    let code = code.unwrap_or_else(|| judge(&runs, &answers, &record));
    record.write(&folder.join("record.txt"));
    code
}

/// From whom each daemon copies what the store holds, by its own log; none if it follows the store.
fn sources(fleet: &Fleet) -> Vec<Option<usize>> {
    let source = |log: String| {
        let line = log.lines().rev().find(|line| line.contains("event=source source="))?;
        let name = line.split("source=").nth(2).or(line.rsplit("source=").next())?.trim().to_owned();
        fleet.daemons.iter().position(|d| d.name == name)
    };
    fleet.daemons.iter().map(|d| source(d.log(&fleet.folder))).collect()
}

fn play(
    has_trouble: bool,
    (fleet, store): (&Fleet, &Store),
    answers: &Answers,
    record: &Record,
) -> Option<i32> {
    let sources = sources(fleet);
    let cell_of = |n: usize| sources[n].unwrap_or(n);
    let mut followers: Vec<usize> = (0..fleet.daemons.len()).filter(|n| sources[*n].is_none()).collect();
    followers.sort_by_key(|n| fleet.daemons[*n].name.clone());
    record.note(format!("sources={sources:?} followers={followers:?}"));
    let [first, _] = followers[..] else {
        println!("not two cells: {sources:?}");
        return Some(2);
    };
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for daemon in (0..fleet.daemons.len()).filter(|n| cell_of(*n) == first) {
        for n in 0..CLIENTS {
            let (address, stop) = (fleet.daemons[daemon].front, stop.clone());
            let (answers, record) = (answers.clone(), record.clone());
            clients.push(thread::spawn(move || {
                client((daemon, n), address, &stop, &answers, &record);
            }));
        }
    }
    thread::sleep(BETWEEN);
    for version in 2..2 + CHANGES {
        if has_trouble {
            store.put("op/config", &config(version));
            record.note(format!("version={version} acknowledged"));
        }
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    None
}

fn client(
    (daemon, n): (usize, usize),
    address: SocketAddr,
    stop: &AtomicBool,
    answers: &Answers,
    record: &Record,
) {
    let mut conn: Option<Conn> = None;
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("d{:02}-{n}-{i:04}", daemon + 1);
        let asked = format!(
            "POST /docket/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 1000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 5\r\n\r\nhello"
        );
        if conn.is_none() {
            conn = TcpStream::connect(address).ok().map(Conn::new);
        }
        let Some(open) = &mut conn else { continue };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(3)));
        let at = record.ms();
        let exchanged = open.write(asked.as_bytes()).and_then(|()| {
            let head = open.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            open.body(&head, true)?;
            Ok(head)
        });
        let status = exchanged.as_ref().map_or(0, |head| head.status());
        if exchanged.is_err() {
            conn = None;
        }
        answers.lock().unwrap().insert(id, Sent { daemon, at, status });
        if status != 200 {
            // Clients come back later.
            thread::sleep(Duration::from_millis(60));
        }
    }
}

/// A machine regresses if a request that was sent to it more than `SLACK` after a server saw the
/// effect of a version through it is run by the service of an older version.
fn judge(runs: &Runs, answers: &Answers, record: &Record) -> i32 {
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    // When versions were acknowledged, and when a server first ran a request by one, by machine.
    let acknowledged = record.times("version=");
    let service_of = |version: u64| if version % 2 == 0 { "i-b" } else { "i-a" };
    let mut broken = Vec::new();
    let mut all: Vec<_> = answers.iter().collect();
    all.sort_by_key(|(_, sent)| sent.at);
    for (index, acked) in acknowledged.iter().enumerate() {
        let version = index as u64 + 2;
        let until = acknowledged.get(index + 1).copied().unwrap_or(u128::MAX);
        let mut effect: HashMap<usize, u128> = HashMap::new();
        for (id, sent) in &all {
            for (server, at) in runs.get(*id).into_iter().flatten() {
                if server.starts_with(service_of(version)) && *at >= *acked && *at < until {
                    let first = effect.entry(sent.daemon).or_insert(*at);
                    *first = (*first).min(*at);
                }
            }
        }
        for (id, sent) in all.iter().filter(|(_, sent)| sent.at >= *acked && sent.at < until) {
            let Some(effect) = effect.get(&sent.daemon) else { continue };
            for (server, at) in runs.get(*id).into_iter().flatten() {
                if !server.starts_with(service_of(version)) && sent.at > effect + SLACK && *at < until {
                    broken.push(format!(
                        "CONFIG id={id} machine {} sent {} ms after a server saw version {version} \
                         through it ({} ms after the acknowledgement), run by {server}, status={}",
                        sent.daemon + 1,
                        sent.at - effect,
                        sent.at - acked,
                        sent.status
                    ));
                }
            }
        }
    }
    broken.iter().for_each(|line| record.note(line.clone()));
    let served = answers.values().filter(|sent| sent.status == 200).count();
    let summary = format!("requests={} served={served} CONFIG={}", answers.len(), broken.len());
    println!("{summary}");
    record.note(summary);
    match (broken.is_empty(), served * 2 > answers.len()) {
        (false, _) => 1,
        (true, true) => 0,
        (true, false) => 2,
    }
}
