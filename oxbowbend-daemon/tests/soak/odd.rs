//! Odd entries of other writers among those of the endpoints, and odd datagrams, while callers send.

use std::time::Duration;

use async_std::net::UdpSocket;
use async_std::task;
use rustix::process::Signal;
use serde_json::{json, Value};

use crate::fleet::{Fleet, ENDPOINTS};
use crate::press;

/// Seeds with one cell and with two, of each test.
const USELESS: [u64; 2] = [331, 332];
const DISPLACING: [u64; 2] = [333, 334];
const OTHER_KEYS: [u64; 2] = [335, 336];
const READY: Duration = Duration::from_secs(10);
/// Time after which a change of the store's entries is in force at all instances.
const IN_FORCE: Duration = Duration::from_millis(800);
const LENGTH: Duration = Duration::from_millis(1500);
/// A beginning in milliseconds that no clock shows.
const LATEST: u64 = u64::MAX;
/// Port for reports of other instances, the first of the settings' range.
const REPORTS_PORT: u16 = 27600;
/// Depth at which the reader of JSON gives up, and a multiple of it.
const DEPTHS: [usize; 2] = [120, 100_000];

/// An entry that is sound but for its address, where nobody listens.
fn entry() -> Value {
    json!({
        "service": "s", "address": "127.0.0.1:9", "zone": "z", "slots": 8, "state": "ready",
        "born": 1_700_000_000_000_u64, "version": "v1",
    })
}

/// The same with another value of a field, as text: it need not be one that the reader of JSON takes.
fn with(field: &str, value: &str) -> String {
    let mut entry = entry();
    entry[field] = json!("HERE");
    entry.to_string().replace("\"HERE\"", value)
}

/// The same of an endpoint that drains. One that is used costs attempts since nobody is there, whatever is odd of it.
fn draining_with(field: &str, value: &str) -> String {
    with(field, value).replace("ready", "draining")
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Entries with numbers of slots at addresses of their own: of entries at one address some count for nothing.
fn with_slots() -> Vec<String> {
    let all = ["4294967295", "2147483648", "4294967295", "0"].into_iter().zip(1..);
    all.map(|(slots, port)| with("slots", slots).replace(":9\"", &format!(":{port}\""))).collect()
}

/// Entries of which none is an endpoint that could run a request.
fn useless() -> Vec<String> {
    let mut all = vec!["[".repeat(200_000)];
    for depth in DEPTHS {
        all.extend(["version", "note"].map(|field| draining_with(field, &nested(depth))));
    }
    for number in ["1e999", "18446744073709551616", "1180591620717411303424", "-1"] {
        all.push(with("slots", number));
    }
    all.extend(with_slots());
    all.extend(["1e999", "1180591620717411303424"].map(|born| with("born", born)));
    all.push(with("born", &LATEST.to_string()));
    all.extend(["cold_left_ms", "seq_no"].map(|field| draining_with(field, "1e999")));
    for address in ["127.0.0.1:70000", "127.0.0.1:0", "0.0.0.0:80"] {
        all.push(with("address", &json!(address).to_string()));
    }
    all.push(with("zone", &json!("z".repeat(20_000)).to_string()));
    all
}

/// An entry of another id at the address of a sound endpoint.
fn at_address_of(fleet: &Fleet, n: usize, born: u64) -> Value {
    let mut entry = entry();
    (entry["address"], entry["born"]) = (fleet.address_of(n).to_string().into(), born.into());
    entry
}

struct Play {
    fleet: Fleet,
    seed: u64,
    broken: Vec<String>,
}

impl Play {
    async fn start(seed: u64) -> Play {
        let fleet = Fleet::start(seed).await;
        assert!(fleet.ready(READY).await, "the daemons are not ready");
        Play { fleet, seed, broken: Vec::new() }
    }

    /// Sends for a while; all requests are to be served, and of these endpoints each is to get some.
    async fn expect_served(&mut self, part: &str, endpoints: std::ops::Range<usize>) {
        let arrived =
            |fleet: &Fleet| fleet.endpoints.iter().map(|e| e.arrived()).collect::<Vec<_>>();
        let before = arrived(&self.fleet);
        let name = format!("{}-{part}", self.seed);
        let seen = press::press_fast(&self.fleet, &name, LENGTH).await;
        let unserved = press::unserved(&seen).map(|why| format!("of {}: {why}", seen.len()));
        let idle = endpoints.filter(|n| arrived(&self.fleet)[*n] == before[*n]);
        let idle: Vec<_> = idle.map(|n| format!("e-{n} gets nothing")).collect();
        let is_ready = self.fleet.ready(Duration::from_secs(2)).await;
        let ended = (!is_ready).then(|| "not all daemons are ready".to_owned());
        let all = unserved.into_iter().chain(idle).chain(ended);
        self.broken.extend(all.map(|why| format!("seed {} {part}: {why}", self.seed)));
    }

    /// An endpoint leaves and gets nothing more.
    async fn expect_followed(&mut self) {
        self.fleet.leave(0);
        task::sleep(IN_FORCE).await;
        let before = self.fleet.endpoints[0].arrived();
        self.expect_served("left", 1..ENDPOINTS).await;
        if self.fleet.endpoints[0].arrived() > before {
            self.broken.push(format!("seed {}: the list is not followed any more", self.seed));
        }
        self.fleet.enter(0);
    }

    /// All daemons are killed and start beside the odd entries.
    async fn expect_start_of_all(&mut self) {
        self.fleet.daemons.iter().for_each(|daemon| daemon.signal(Signal::KILL));
        for daemon in &mut self.fleet.daemons {
            daemon.restart().await;
        }
        if !self.fleet.ready(READY).await {
            self.broken.push(format!("seed {}: no start beside odd entries", self.seed));
            return;
        }
        task::sleep(IN_FORCE).await;
        self.expect_served("started", 0..ENDPOINTS).await;
    }
}

/// Odd values at an address where nobody listens.
async fn play_useless(seed: u64) -> Vec<String> {
    let mut play = Play::start(seed).await;
    play.expect_served("before", 0..ENDPOINTS).await;
    for (n, text) in useless().into_iter().enumerate() {
        play.fleet.store.put_text(&format!("servers/odd-{n}"), &text);
    }
    task::sleep(IN_FORCE).await;
    play.expect_served("odd", 0..0).await;
    play.expect_followed().await;
    play.expect_start_of_all().await;
    play.broken
}

/// A slot count that fills the sum of a service's free slots ended all daemons with checked arithmetic.
#[test]
fn odd_entries_of_other_writers_end_no_instance_and_no_service() {
    let broken = press::play_in_turn(USELESS.into_iter().map(play_useless));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Entries with the latest beginning that can be written, at the addresses of one sound endpoint and of all.
async fn play_displaced(seed: u64) -> Vec<String> {
    let mut play = Play::start(seed).await;
    play.expect_served("before", 0..ENDPOINTS).await;
    for (part, count) in [("one", 1), ("all", ENDPOINTS)] {
        for n in 0..count {
            let odd = at_address_of(&play.fleet, n, LATEST);
            play.fleet.store.put(&format!("servers/odd-{n}"), &odd);
        }
        task::sleep(IN_FORCE).await;
        play.expect_served(part, 0..ENDPOINTS).await;
    }
    play.expect_start_of_all().await;
    play.broken
}

/// Of two entries at one address only the one that began later counted, whatever it said: one writer took all endpoints
/// from all callers.
#[test]
fn an_entry_with_a_beginning_that_no_clock_shows_displaces_no_sound_endpoint() {
    let broken = press::play_in_turn(DISPLACING.into_iter().map(play_displaced));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Odd values below the keys of instances, roll-outs and their statuses.
fn other_entries() -> Vec<(String, String)> {
    let (most, huge) = (u64::MAX, "1180591620717411303424");
    let mut all = Vec::new();
    for (n, number) in [most.to_string(), u32::MAX.to_string(), huge.to_owned(), nested(100)]
        .into_iter()
        .enumerate()
    {
        let instance = format!(
            r#"{{"zone":"z","address":"127.0.0.1:9","epoch":{number},"paces":[[1,{number}]],
                "used":[["account-two",[{number},{number}]]],
                "rollouts":[{{"s":"s","d":"v","a":{number},"t":{number},"p":"Retired"}}]}}"#
        );
        all.push((format!("oxbow/instances/odd-{n}"), instance));
        let order =
            format!(r#"{{"service":"other-{n}","destination":{number},"duration_s":{number}}}"#);
        all.push((format!("op/rollout/other-{n}"), order));
        let status = format!(r#"{{"state":"running","destination":{number}}}"#);
        all.push((format!("status/rollout/other-{n}"), status));
    }
    all.push(("oxbow/instances/deep".to_owned(), "[".repeat(200_000)));
    all
}

/// Datagrams that no instance sends: unreadable ones, and a report with the largest numbers.
fn datagrams(sequence: u64) -> Vec<Vec<u8>> {
    let report = format!(
        r#"{{"jsonrpc":"2.0","method":"report","params":{{"i":"odd","z":"z","l":1,"n":{sequence},"r":0,"v":0,"a":null,
            "E":0,"h":{m},"f":true,"e":[[7,{m},{m}],[7,{m},{m}]],"t":[[7,{l},{l},{l},{m}]],
            "u":[["account-two",{l}]],"q":{m},"P":[["s",[[0,{m}],[0,{m}]]]],"J":[[7,{m}]],
            "Q":{{"v":[{{"f":5,"n":{m},"t":{m},"l":{m}}}]}}}}}}"#,
        m = u32::MAX,
        l = u64::MAX
    );
    let deep = format!(r#"{{"jsonrpc":"2.0","method":"report","params":{}}}"#, nested(20_000));
    let huge = report.replace("\"r\":0", "\"r\":1180591620717411303424");
    let all = [report, deep, huge, "[".repeat(50_000), String::new(), "\u{0}".repeat(100)];
    all.map(String::into_bytes).into()
}

async fn play_other_keys(seed: u64) -> Vec<String> {
    let mut play = Play::start(seed).await;
    for (key, text) in other_entries() {
        play.fleet.store.put_text(&key, &text);
    }
    let socket = UdpSocket::bind("0.0.0.0:0").await.unwrap();
    for sequence in 1..5 {
        for datagram in datagrams(sequence) {
            for daemon in &play.fleet.daemons {
                socket.send_to(&datagram, (daemon.callers.ip(), REPORTS_PORT)).await.unwrap();
            }
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    task::sleep(IN_FORCE * 2).await;
    for daemon in &play.fleet.daemons {
        let log = std::fs::read_to_string(&daemon.log).unwrap();
        assert!(log.contains("event=report_unreadable"), "the datagrams do not arrive");
    }
    play.expect_served("other", 0..ENDPOINTS).await;
    play.expect_start_of_all().await;
    play.broken
}

/// Other writers and senders choose numbers in entries of instances and in datagrams too.
#[test]
fn odd_entries_of_instances_and_odd_datagrams_end_no_instance() {
    let broken = press::play_in_turn(OTHER_KEYS.into_iter().map(play_other_keys));
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
