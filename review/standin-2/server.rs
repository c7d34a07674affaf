//! A server of the platform: it runs what it is sent, and entries itself as ready.

use std::collections::HashMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::Record;
use crate::http::{self, Head};
use crate::store::Store;

/// How one answer goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Fate {
    /// As it should.
    Whole,
    /// The request is run, and the connection is reset in place of the answer.
    Lost,
    /// The stream breaks off after so many events.
    Cut(u64),
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub tenant: String,
    pub tokens: u64,
    pub ms: u128,
}

/// What all servers have run, by the id of the request.
#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<HashMap<String, Vec<Run>>>>);

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub slots: usize,
    pub running: Arc<AtomicUsize>,
    pub runs: Runs,
    pub record: Record,
    /// Events of a stream unless the path ends with another number, and the time before each of them.
    pub events: u64,
    pub pause: Duration,
    pub fate: Arc<dyn Fn(&Head) -> Fate + Send + Sync>,
}

impl Server {
    pub fn start(&self) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let server = self.clone();
        thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || drop(server.serve(conn)));
            }
        });
        Ok(())
    }

    /// Enters itself in the store.
    pub fn enter(&self, store: &Store, service: &str, zone: &str) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"ready\",\"cold_left_ms\":0,\"seq_no\":0}}",
            self.address, self.slots
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(&self, conn: TcpStream) -> io::Result<()> {
        conn.set_nodelay(true)?;
        let (mut writer, mut reader) = (conn.try_clone()?, BufReader::new(conn));
        while let Some(head) = http::read_head(&mut reader)? {
            http::read_body(&mut reader, &head)?;
            if !self.answer(&mut writer, &head)? {
                reset(&writer);
                return Ok(());
            }
        }
        Ok(())
    }

    /// Returns whether the connection goes on.
    fn answer(&self, conn: &mut TcpStream, head: &Head) -> io::Result<bool> {
        let Some(id) = head.get("request-id") else {
            let instance = format!("Instance-Id: {}\r\n", self.id);
            http::answer(conn, "200 OK", &instance, b"")?;
            return Ok(true);
        };
        let echo = format!("Request-Id: {id}\r\n");
        if head.get("expect-instance").is_some_and(|meant| meant != self.id) {
            http::answer(
                conn,
                "421 Misdirected Request",
                &format!("{echo}Not-Executed: 1\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= 2 * self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            http::answer(
                conn,
                "503 Service Unavailable",
                &format!("{echo}Not-Executed: 1\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        let result = self.run(conn, head, id, &echo);
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn run(&self, conn: &mut TcpStream, head: &Head, id: &str, echo: &str) -> io::Result<bool> {
        let tokens = head
            .get("token-count")
            .unwrap_or("0")
            .split(',')
            .map(|n| n.trim().parse().unwrap_or(0));
        let run = Run {
            server: self.id.clone(),
            tenant: head.get("tenant").unwrap_or("").to_owned(),
            tokens: tokens.sum::<u64>(),
            ms: self.record.ms(),
        };
        let fate = (self.fate)(head);
        self.record.note(&format!("run {id} at {} tokens={} answer={fate:?}", self.id, run.tokens));
        self.runs.0.lock().unwrap().entry(id.to_owned()).or_default().push(run);
        let sealed = format!("{echo}Server-Seal: {}.{id}\r\n", self.id);
        if fate == Fate::Lost {
            thread::sleep(self.pause);
            return Ok(false);
        }
        if self.events == 0 {
            thread::sleep(self.pause);
            http::answer(conn, "200 OK", &sealed, b"done\n")?;
            return Ok(true);
        }
        let first = head.get("last-event-id").and_then(|v| v.parse::<u64>().ok()).unwrap_or(0) + 1;
        let last =
            head.word(1).rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(self.events);
        for n in first..=last {
            thread::sleep(self.pause);
            if n == first {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{sealed}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                io::Write::write_all(conn, head.as_bytes())?;
            }
            if fate == Fate::Cut(n) {
                return Ok(false);
            }
            http::chunk(conn, format!("id: {n}\ndata: piece {n}\n\n").as_bytes())?;
        }
        http::chunk(conn, b"")?;
        Ok(true)
    }
}

/// Closes a connection without its end: with a reset, by data that nobody reads.
fn reset(conn: &TcpStream) {
    let _ = conn.shutdown(std::net::Shutdown::Both);
}

/// A number below `n`, from the id of a request: the same in every run with these ids.
pub fn draw(text: &str, salt: u64, n: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    (hash ^ hash >> 33) % n
}
