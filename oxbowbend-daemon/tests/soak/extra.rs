//! Responses that belong to no request, or to another one, in any order beside true ones, never repeat what may have run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::caller;
use crate::endpoint::Runs;
use crate::fleet::{Fleet, DAEMONS, ENDPOINTS};
use crate::press;

/// Seeds of fleets with one cell, each with its own order of responses.
const SEEDS: [u64; 2] = [311, 313];
/// Endpoints of the fleet that serve on, beside the faulty ones.
const SOUND: usize = 2;
/// Faulty endpoints.
const FAULTY: usize = 2;
/// Rounds of one request to each daemon at once, and the time between two.
const ROUNDS: usize = 150;
const PACE: Duration = Duration::from_millis(15);
/// Time that a request takes at a faulty endpoint, in which an extra response comes first.
const WORK: Duration = Duration::from_millis(20);
const KNOWN_AFTER: Duration = Duration::from_millis(1000);

/// Statuses that say that a request has not run, or that look like it, and one of an answer.
const STATUSES: [(&str, &str); 7] = [
    ("503 Service Unavailable", "not-executed: 1\r\n"),
    ("429 Too Many Requests", "not-executed: 1\r\n"),
    ("400 Bad Request", "not-executed: 1\r\n"),
    ("421 Misdirected Request", "instance-id: other\r\n"),
    ("408 Request Timeout", ""),
    ("503 Service Unavailable", "not-executed: 1\r\nretry-after: 1\r\n"),
    ("200 OK", "server-seal: s\r\n"),
];

/// What an endpoint does with a request that it runs.
#[derive(Clone, Copy, Debug)]
enum Manner {
    Sound,
    /// Its answer follows an interim one.
    Interim,
    /// An extra response comes while it runs.
    ExtraFirst,
    /// The same, after its answer, or only when the next request has come.
    ExtraAfter,
    ExtraLate,
    /// Its answer comes twice.
    Doubled,
    Truncated,
    /// It breaks off without an answer.
    Closed,
}

const MANNERS: [Manner; 8] = [
    Manner::Sound,
    Manner::Interim,
    Manner::ExtraFirst,
    Manner::ExtraAfter,
    Manner::ExtraLate,
    Manner::Doubled,
    Manner::Truncated,
    Manner::Closed,
];

#[derive(Clone)]
struct Faulty {
    runs: Runs,
    rng: Arc<Mutex<Pcg64>>,
    /// Ids of requests that it has rejected, which have not run.
    rejected: Arc<Mutex<Vec<String>>>,
}

impl Faulty {
    async fn listen(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(self.clone().connection(stream));
        }
    }

    async fn connection(self, mut stream: TcpStream) -> Option<()> {
        let mut buf = Vec::new();
        let mut is_extra_due = false;
        loop {
            let (id, account) = request(&mut stream, &mut buf).await?;
            if std::mem::take(&mut is_extra_due) {
                stream.write_all(self.extra().as_bytes()).await.ok()?;
            }
            if self.rng.lock().unwrap().random_bool(0.15) {
                self.rejected.lock().unwrap().push(id.clone());
                let head = format!("request-id: {id}\r\nnot-executed: 1\r\ncontent-length: 0\r\n");
                let rejection = format!("HTTP/1.1 503 Service Unavailable\r\n{head}\r\n");
                stream.write_all(rejection.as_bytes()).await.ok()?;
                continue;
            }
            self.runs.lock().unwrap().runs.entry(id.clone()).or_default().push(account);
            let manner = *MANNERS.choose(&mut *self.rng.lock().unwrap()).unwrap();
            let before = match manner {
                Manner::ExtraFirst => self.extra(),
                Manner::Interim => "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".to_owned(),
                _ => String::new(),
            };
            stream.write_all(before.as_bytes()).await.ok()?;
            task::sleep(WORK).await;
            let body = format!("answer of {id}");
            let head = format!("request-id: {id}\r\nserver-seal: s\r\n");
            let answer =
                format!("HTTP/1.1 200 OK\r\n{head}content-length: {}\r\n\r\n{body}", body.len());
            let answer = match manner {
                Manner::Doubled => format!("{answer}{answer}"),
                Manner::ExtraAfter => format!("{answer}{}", self.extra()),
                Manner::Truncated => answer[..answer.len() - 3].to_owned(),
                Manner::Closed => return None,
                _ => answer,
            };
            stream.write_all(answer.as_bytes()).await.ok()?;
            if matches!(manner, Manner::Truncated) {
                return None;
            }
            is_extra_due = matches!(manner, Manner::ExtraLate);
        }
    }

    /// A response to another request, or to none.
    fn extra(&self) -> String {
        let rng = &mut *self.rng.lock().unwrap();
        let (status, more) = STATUSES.choose(rng).unwrap();
        let rejected = self.rejected.lock().unwrap();
        let other = rejected.choose(rng).map_or("other-1", String::as_str);
        let id = match rng.random_range(0..4) {
            0 => String::new(),
            1 => "request-id: \r\n".to_owned(),
            _ => format!("request-id: {other}\r\n"),
        };
        format!("HTTP/1.1 {status}\r\n{id}{more}content-length: 0\r\n\r\n")
    }
}

/// Reads a request; returns its id and account.
async fn request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, String)> {
    let mut piece = [0; 4096];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let value = |name: &str| {
                let value = head.lines().find_map(|line| line.strip_prefix(name));
                value.unwrap_or_default().trim().to_owned()
            };
            let length = end + 4 + value("content-length:").parse::<usize>().unwrap_or(0);
            if buf.len() >= length {
                buf.drain(..length);
                return Some((value("request-id:"), value("tenant:")));
            }
        }
        match stream.read(&mut piece).await {
            Ok(n) if n > 0 => buf.extend_from_slice(&piece[..n]),
            _ => return None,
        }
    }
}

async fn play(seed: u64) -> Vec<String> {
    let fleet = Fleet::start(seed).await;
    assert!(fleet.ready(Duration::from_secs(10)).await, "the daemons are not ready");
    (SOUND..ENDPOINTS).for_each(|n| fleet.leave(n));
    for n in 0..FAULTY {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address: SocketAddr = listener.local_addr().unwrap();
        let rng = Arc::new(Mutex::new(Pcg64::seed_from_u64(seed * 10 + n as u64)));
        let faulty = Faulty { runs: fleet.runs.clone(), rng, rejected: Arc::default() };
        task::spawn(faulty.listen(listener));
        fleet.enter_other(&format!("faulty-{n}"), address);
    }
    task::sleep(KNOWN_AFTER).await;
    let mut sent = Vec::new();
    for round in 0..ROUNDS {
        for (d, daemon) in fleet.daemons.iter().enumerate() {
            let kind = if (round + d) % 4 == 0 { "again" } else { "once" };
            let id = format!("x-{seed}-{round}-{d}");
            sent.push(task::spawn(caller::send(daemon.callers, kind, id)));
        }
        task::sleep(PACE).await;
    }
    let seen = futures::future::join_all(sent).await;
    let served = seen.iter().filter(|seen| seen.is_served()).count();
    let mut foreign = 0;
    for daemon in &fleet.daemons {
        foreign += daemon.metric("oxbow_foreign_responses_total").await;
    }
    println!("seed {seed}: {served} of {} served, {foreign} foreign responses", ROUNDS * DAEMONS);
    let mut broken: Vec<_> = seen.iter().flat_map(|seen| seen.check(&fleet.runs)).collect();
    if foreign == 0 {
        broken.push("no extra response came in place of an answer".to_owned());
    }
    broken.into_iter().map(|b| format!("seed {seed}: {b}")).collect()
}

/// A late extra rejection of another request was taken for this one's, which was sent to a second endpoint while the first
/// worked on it.
#[test]
fn a_response_to_another_request_does_not_repeat_one_that_may_have_run() {
    let broken = press::play_in_turn(SEEDS.into_iter().map(play));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
