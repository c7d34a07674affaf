//! The machines are stopped and started in turn, while clients with slow links read long answers.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Net, Record, Site, SIGKILL, SIGTERM};
use crate::http::Conn;
use crate::server::{Runs, Server};
use crate::store::Store;

const DAEMONS: u8 = 6;
const CLIENTS: usize = 15;
/// `roll_term`: one machine at a time.
const GAP: Duration = Duration::from_secs(9);
/// `grace_s`.
const GRACE: Duration = Duration::from_secs(8);
/// Bytes of an answer, and what a client's link carries in 10 ms: 10 Mbit/s.
const SIZE: usize = 3_000_000;
const PIECE: usize = 12_500;
/// Bytes of a client's window.
const WINDOW: i32 = 8_192;

extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, address: *const [u8; 16], len: u32) -> i32;
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"docket-export","host":"desk.example",
"path_prefix":"/export/","kind":"non_idempotent","timeout_ms":10000,"target_latency_ms":300,
"priority":2,"service":"masa-app","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
"services":[{"name":"masa-app","health_path":"/healthz","max_conns":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"t1","api_keys":["key-of-t1"],"priority":1}]}"#;

/// A connection of a caller with a small window, in packets of the usual size.
fn connected(to: SocketAddr) -> Option<TcpStream> {
    let SocketAddr::V4(v4) = to else { return None };
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&2u16.to_ne_bytes());
    address[2..4].copy_from_slice(&v4.port().to_be_bytes());
    address[4..8].copy_from_slice(&v4.ip().octets());
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let (sol_socket, so_rcvbuf) = (1, 8);
        setsockopt(fd, sol_socket, so_rcvbuf, &WINDOW, 4);
        let (tcp, maxseg, size) = (6, 2, 1460);
        setsockopt(fd, tcp, maxseg, &size, 4);
        (connect(fd, &address, 16) == 0).then_some(stream)
    }
}

/// A stop of a machine.
struct Stop {
    daemon: usize,
    stopped_at: Duration,
    ended: Duration,
}

struct Seen {
    daemon: usize,
    sent: Duration,
    ended: Duration,
    bytes: usize,
    result: String,
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
        let sizes = (Duration::from_millis(15), SIZE);
        servers.push(Server::start((&id, "masa-app"), listener, sizes, &runs, &record));
    }
    store.put("op/config", &CONFIG.replace('\n', ""));
    for (server, zone) in servers.iter().zip(["ist-sisli", "ist-kartal", "ist-ikitelli"]) {
        store.put(&format!("servers/{}", server.id), &server.entry(zone));
    }
    let mut fleet = match Fleet::start(net, Site::Small, DAEMONS, |_| store_address) {
        Ok(fleet) => fleet,
        Err(e) => {
            record.note(e);
            record.write(&folder.join("record.txt"));
            return 2;
        }
    };
    thread::sleep(Duration::from_secs(1));
    let (stop, began) = (Arc::new(AtomicBool::new(false)), Instant::now());
    let daemons: Vec<_> =
        fleet.daemons.iter().map(|d| (d.front, d.in_rotation.clone())).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (daemons, stop) = (daemons.clone(), stop.clone());
            let (answers, record) = (answers.clone(), record.clone());
            thread::spawn(move || client(n, &daemons, (began, &stop), &answers, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(3));
    let mut stops = Vec::new();
    for n in 0..fleet.daemons.len() {
        let next = Instant::now() + GAP;
        if has_trouble {
            record.note(format!("SIGTERM to machine {}", n + 1));
            let stopped_at = began.elapsed();
            fleet.daemons[n].signal(SIGTERM);
            while !fleet.daemons[n].has_ended() && began.elapsed() < stopped_at + GRACE {
                thread::sleep(Duration::from_millis(10));
            }
            let ended = began.elapsed();
            record.note(format!("machine {} ended {:.2?} later", n + 1, ended - stopped_at));
            fleet.daemons[n].signal(SIGKILL);
            stops.push(Stop { daemon: n, stopped_at, ended });
            while !fleet.daemons[n].has_ended() {
                thread::sleep(Duration::from_millis(10));
            }
            let folder = fleet.folder.clone();
            if !fleet.daemons[n].start_again(&folder) {
                return 2;
            }
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(fleet);
    let code = judge(&stops, &runs, &answers, &record);
    record.write(&folder.join("record.txt"));
    code
}

fn client(
    n: usize,
    daemons: &[(SocketAddr, Arc<AtomicBool>)],
    (began, stop): (Instant, &AtomicBool),
    answers: &Answers,
    record: &Record,
) {
    let mut conn: Option<(usize, Conn)> = None;
    // Not all at once.
    thread::sleep(Duration::from_millis(130) * n as u32);
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        if conn.is_none() {
            // The balancer: a daemon by the client's hash, or the next one that is in rotation.
            let all = (0..daemons.len()).map(|d| (n + d) % daemons.len());
            let chosen = all.clone().find(|d| daemons[*d].1.load(Ordering::SeqCst)).unwrap_or(0);
            let Some(stream) = connected(daemons[chosen].0) else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            let mut open = Conn::new(stream);
            (open.piece, open.pause) = (PIECE, Duration::from_millis(10));
            conn = Some((chosen, open));
        }
        let Some((daemon, open)) = &mut conn else { continue };
        let daemon = *daemon;
        let _ = open.stream.set_read_timeout(Some(Duration::from_secs(5)));
        let id = format!("c{n:02}-{i:04}");
        let asked = format!(
            "POST /export/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 10000\r\nAuthorization: Bearer key-of-t1\r\nContent-Length: 5\r\n\r\nhello"
        );
        record.note(format!("sent id={id} to daemon {}", daemon + 1));
        let sent = began.elapsed();
        let (mut bytes, mut is_last) = (0, false);
        open.seen = 0;
        let exchanged = open.write(asked.as_bytes()).and_then(|()| {
            let head = open.head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
            is_last = head.text("connection").eq_ignore_ascii_case("close");
            let body = open.body(&head, true)?;
            bytes = body.len();
            Ok(head.status())
        });
        if exchanged.is_err() {
            // With the head, and the sizes of chunks.
            bytes = open.seen;
        }
        let result = match exchanged {
            Ok(status) => status.to_string(),
            Err(e) => format!("cut ({e})"),
        };
        record.note(format!("answered id={id} daemon {} {result} bytes={bytes}", daemon + 1));
        let is_cut = result.starts_with("cut");
        let seen = Seen { daemon, sent, ended: began.elapsed(), bytes, result };
        answers.lock().unwrap().insert(id, seen);
        if is_cut || is_last {
            conn = None;
        }
        thread::sleep(Duration::from_millis(100));
    }
}

/// A request is lost if a stop of its machine went on at some time of it, it was passed on to a server,
/// and its connection ended without the whole answer; not if its deadline was near, or a server was
/// still at work on it in the last sixth of the grace.
fn judge(stops: &[Stop], runs: &Runs, answers: &Answers, record: &Record) -> i32 {
    let (runs, answers) = (runs.lock().unwrap(), answers.lock().unwrap());
    let mut lost = 0;
    let mut all: Vec<_> = answers.iter().collect();
    all.sort_by_key(|(_, seen)| seen.ended);
    for (id, seen) in all.iter().filter(|(id, seen)| seen.result.starts_with("cut") && runs.contains_key(*id)) {
        let is_of = |stop: &&Stop| {
            let last = stop.stopped_at + GRACE + Duration::from_secs(1);
            stop.daemon == seen.daemon && seen.ended > stop.stopped_at && seen.sent < last
        };
        let Some(stop) = stops.iter().find(is_of) else { continue };
        let is_in_time = seen.ended - seen.sent < Duration::from_secs(9);
        let is_early = stop.ended - stop.stopped_at < GRACE.mul_f64(5.0 / 6.0);
        if is_in_time && is_early {
            lost += 1;
            let after = |at: Duration| at.as_secs_f64() - stop.stopped_at.as_secs_f64();
            record.note(format!(
                "LOST id={id} machine {} sent {:.2} s after its SIGTERM, process ended {:.2} s after \
                 it, cut at {} of {SIZE} bytes",
                seen.daemon + 1,
                after(seen.sent),
                after(stop.ended),
                seen.bytes
            ));
        }
    }
    let served = all.iter().filter(|(_, seen)| seen.result == "200" && seen.bytes == SIZE).count();
    let cut = all.iter().filter(|(_, seen)| seen.result.starts_with("cut")).count();
    let summary = format!("requests={} served={served} cut={cut} LOST={lost}", all.len());
    println!("{summary}");
    record.note(summary);
    match (lost > 0, served * 2 > all.len()) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    }
}
