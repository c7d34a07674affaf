//! A late extra response of a server, which belongs to another request and says that that one was
//! not run, comes in place of the next answer.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Net, Record, Site};
use crate::http::Conn;
use crate::server::{other_caller, Faults, Runs, Server};
use crate::store::Store;

const DAEMONS: u8 = 6;
const CLIENTS: usize = 12;
/// Time between two requests of a client: 150 requests a second in all.
const PAUSE: Duration = Duration::from_millis(80);
const CALM: Duration = Duration::from_secs(3);
/// `garble`: so long, and one in so many answers of one of three servers.
const TROUBLE: Duration = Duration::from_secs(5);
const EVERY: usize = 50;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"docket-lookup","host":"desk.example",
"path_prefix":"/docket/","kind":"non_idempotent","timeout_ms":1000,"target_latency_ms":100,
"priority":2,"service":"masa-app","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"masa-app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-of-t1"],"priority":1}]}"#;

#[derive(Clone)]
struct Seen {
    status: u16,
    is_own: bool,
}

type Answers = Arc<Mutex<HashMap<String, Seen>>>;

pub fn run(has_trouble: bool, folder: &Path) -> i32 {
    let (record, runs, answers) = (Record::new(), Runs::default(), Answers::default());
    let Some(net) = Net::find() else { return 2 };
    let bind = |n: u8, port: u16| TcpListener::bind((net.ip(n), port));
    let Ok(listener) = bind(200, 8225) else { return 2 };
    let (store, store_address) = Store::start(listener);
    let mut servers = Vec::new();
    for n in 0..3u8 {
        let Ok(listener) = bind(100 + n, 8080) else { return 2 };
        let id = format!("i-7f3a91c{n}");
        let names = (id.as_str(), "masa-app");
        let sizes = (Duration::from_millis(15), 800);
        servers.push(Server::start(names, listener, sizes, &runs, &record));
    }
    store.put("op/config", &CONFIG.replace('\n', ""));
    for (server, zone) in servers.iter().zip(["ist-sisli", "ist-kartal", "ist-ikitelli"]) {
        store.put(&format!("servers/{}", server.id), &server.entry(zone));
    }
    let fleet = match Fleet::start(net, Site::Small, DAEMONS, |_| store_address) {
        Ok(fleet) => fleet,
        Err(e) => {
            record.note(e);
            record.write(&folder.join("record.txt"));
            return 2;
        }
    };
    other_caller(&servers[0], Duration::from_millis(200));
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let address = fleet.daemons[n % fleet.daemons.len()].front;
            let (stop, answers, record) = (stop.clone(), answers.clone(), record.clone());
            thread::spawn(move || client(n, address, &stop, &answers, &record))
        })
        .collect();
    thread::sleep(CALM);
    if has_trouble {
        record.note(format!("trouble begins at server={}", servers[0].id));
        servers[0].set_faults(Faults { extra_every: Some(EVERY) });
    }
    thread::sleep(TROUBLE);
    servers[0].set_faults(Faults::default());
    record.note("trouble is over".to_owned());
    thread::sleep(CALM);
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    // What is refused may not run later either.
    thread::sleep(Duration::from_secs(1));
    drop(fleet);
    let code = judge(&runs, &answers, &record);
    record.write(&folder.join("record.txt"));
    code
}

fn client(n: usize, address: SocketAddr, stop: &AtomicBool, answers: &Answers, record: &Record) {
    let mut conn: Option<Conn> = None;
    let mut next = Instant::now();
    for i in 0.. {
        next += PAUSE;
        thread::sleep(next.saturating_duration_since(Instant::now()));
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{n:02}-{i:04}");
        let asked = format!(
            "POST /docket/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 1000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 5\r\n\r\nhello"
        );
        if conn.is_none() {
            conn = TcpStream::connect(address).ok().map(Conn::new);
        }
        let Some(open) = &mut conn else { continue };
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(3)));
        record.note(format!("sent id={id} to={address}"));
        let exchanged = open.write(asked.as_bytes()).and_then(|()| {
            let head = open.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            let body = open.body(&head, true)?;
            Ok((head, body))
        });
        let Ok((head, body)) = exchanged else {
            record.note(format!("answered id={id} status=none"));
            conn = None;
            continue;
        };
        let is_own = String::from_utf8_lossy(&body).contains(&id);
        let seen = Seen { status: head.status(), is_own };
        record.note(format!("answered id={id} status={}", seen.status));
        answers.lock().unwrap().insert(id, seen);
        if head.text("connection").eq_ignore_ascii_case("close") {
            conn = None;
        }
    }
}

fn judge(runs: &Runs, answers: &Answers, record: &Record) -> i32 {
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let mut ids: Vec<_> = runs.iter().filter(|(id, _)| id.starts_with('c')).collect();
    ids.sort();
    let (mut twice, mut refused, mut mixed) = (0, 0, 0);
    for (id, of) in ids {
        let status = answers.get(id).map_or(0, |seen| seen.status);
        if of.len() > 1 {
            twice += 1;
            record.note(format!("TWICE id={id} runs={of:?} status={status}"));
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            refused += 1;
            record.note(format!("REFUSED id={id} runs={of:?} status={status}"));
        }
        if status == 200 && !answers[id].is_own {
            mixed += 1;
            record.note(format!("MIXED id={id}"));
        }
    }
    let served = answers.values().filter(|seen| seen.status == 200).count();
    let summary = format!(
        "requests={} served={served} TWICE={twice} REFUSED={refused} MIXED={mixed}",
        answers.len()
    );
    println!("{summary}");
    record.note(summary);
    match (served * 2 > answers.len(), twice + refused + mixed > 0) {
        (_, true) => 1,
        (true, false) => 0,
        (false, false) => 2,
    }
}
