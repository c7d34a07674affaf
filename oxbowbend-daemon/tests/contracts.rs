//! What each interface promises, with its fault cases in tables.

mod fleet;

use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use fleet::{all, ask, bounded, engine, eventually, keyed, send, slow_engine, Fleet, LONGEST};
use http_types::{Method, Request};
use oxbowbend_http::client::{self, Client, Limits};
use oxbowbend_standin::load::{self, Ended};
use oxbowbend_standin::local::{declare, operator_call, ACCOUNT, OPERATOR_KEY};
use oxbowbend_standin::switches::Switches;
use serde_json::{json, Value};

const CHAT: &str = "/v1/chat/completions";

/// Calls with a client account's key and returns status, outcome and body.
async fn call(to: std::net::SocketAddr, mut req: Request) -> (u16, String, Vec<u8>) {
    if req.header("Authorization").is_none() {
        req.insert_header("Authorization", format!("Bearer {}", ACCOUNT.1));
    }
    let answer = Client::new().send(to, req, Limits::all(LONGEST)).await;
    let mut answer = answer.expect("there is an answer");
    let body = answer.read_to_end(64 << 20).await.expect("it is whole");
    let outcome = answer.head.header("Oxbow-Outcome").map(|v| v.as_str().to_owned());
    (answer.head.status() as u16, outcome.unwrap_or_default(), body)
}

struct Refused {
    name: &'static str,
    path: &'static str,
    body: &'static str,
    headers: &'static [(&'static str, &'static str)],
    status: u16,
    outcome: &'static str,
}

const GOOD: &str = r#"{"model":"minutes","messages":[],"max_tokens":1}"#;

const REFUSED: [Refused; 19] = {
    const fn case(
        name: &'static str,
        body: &'static str,
        headers: &'static [(&'static str, &'static str)],
        status: u16,
    ) -> Refused {
        Refused { name, path: CHAT, body, headers, status, outcome: "not-run" }
    }
    [
        case("no key", GOOD, &[("Authorization", "Bearer")], 401),
        case("wrong key", GOOD, &[("Authorization", "Bearer nobody")], 401),
        case("not JSON", "{", &[], 400),
        case("not an object", "[]", &[], 400),
        case("no model", "{}", &[], 400),
        case("odd stream", r#"{"model":"minutes","stream":"yes"}"#, &[], 400),
        case("undeclared model", r#"{"model":"other"}"#, &[], 404),
        case("undeclared tier", GOOD, &[("Oxbow-Tier", "urgent")], 403),
        case("undeclared place", GOOD, &[("Oxbow-Place", "izmir")], 403),
        case("deadline of no time", GOOD, &[("Oxbow-Deadline", "0")], 400),
        case("deadline of words", GOOD, &[("Oxbow-Deadline", "soon")], 400),
        case("deadline without end", GOOD, &[("Oxbow-Deadline", "inf")], 400),
        case("deadline that cannot be met", LONG, &[("Oxbow-Deadline", "0.5")], 504),
        case("odd repeatable", GOOD, &[("Oxbow-Repeatable", "perhaps")], 400),
        case("empty idempotency key", GOOD, &[("Idempotency-Key", " ")], 400),
        case("body over the bound", "", &[("X-Large", "9000000")], 413),
        Refused { path: "/v1/other", ..case("unknown path", GOOD, &[], 404) },
        Refused { path: "/services/other/x", ..case("undeclared service", "", &[], 404) },
        Refused { path: "/services/", ..case("nameless service", "", &[], 404) },
    ]
};

const LONG: &str = r#"{"model":"minutes","messages":[],"max_tokens":100000}"#;

#[test]
fn callers_are_refused_with_words_and_outcome() {
    bounded(async {
        let fleet = Fleet::start(&[engine(2)]).await;
        let to = fleet.callers()[0];
        for case in &REFUSED {
            let mut req = client::request(Method::Post, to, case.path).expect("a request");
            let mut body = case.body.to_owned();
            for (name, value) in case.headers {
                match *name {
                    "X-Large" => body = "x".repeat(value.parse().expect("a number")),
                    _ => req.insert_header(*name, *value).map(|_| ()).unwrap_or_default(),
                }
            }
            req.set_body(body);
            let (status, outcome, body) = call(to, req).await;
            assert_eq!((status, outcome.as_str()), (case.status, case.outcome), "{}", case.name);
            let problem: Value = serde_json::from_slice(&body).expect("a problem document");
            assert!(problem["title"].is_string(), "{}", case.name);
            assert!(problem["request_id"].is_string() || case.status == 404, "{}", case.name);
        }
        assert!(fleet.runs().is_empty(), "{:?}", fleet.runs());
    });
}

/// Sends bytes as they are and returns the status line.
async fn raw(to: std::net::SocketAddr, bytes: &[u8], close: bool) -> String {
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    stream.write_all(bytes).await.expect("it reads");
    if close {
        stream.shutdown(std::net::Shutdown::Write).expect("the stream is open");
    }
    let mut answer = vec![0; 4096];
    let read = async_std::future::timeout(LONGEST, stream.read(&mut answer)).await;
    let n = read.expect("it answers in time").unwrap_or(0);
    String::from_utf8_lossy(&answer[..n]).lines().next().unwrap_or_default().to_owned()
}

#[test]
fn broken_requests_are_refused_and_go_nowhere() {
    bounded(async {
        let fleet = Fleet::start(&[engine(2)]).await;
        let to = fleet.callers()[0];
        let head = |length: &str| {
            let key = ACCOUNT.1;
            format!(
                "POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n{length}\r\n"
            )
        };
        let cut = format!("{}{GOOD}", head("Content-Length: 500\r\n"));
        let chunked = format!("{}10\r\n{{\"model\":\"minu", head("Transfer-Encoding: chunked\r\n"));
        let both = head("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n");
        let large = head(&format!("X-Long: {}\r\n", "x".repeat(9000)));
        let cases: [(&str, &str, &str); 5] = [
            ("cut short of its length", &cut, "400"),
            ("cut chunk", &chunked, "400"),
            ("length and encoding", &both, "400"),
            ("head too large", &large, "431"),
            ("no HTTP", "hello\r\n\r\n", "400"),
        ];
        for (name, bytes, status) in cases {
            let line = raw(to, bytes.as_bytes(), true).await;
            assert!(line.contains(status), "{name}: {line}");
        }
        assert!(fleet.runs().is_empty(), "{:?}", fleet.runs());
    });
}

#[test]
fn engines_that_fail_are_told_apart() {
    bounded(async {
        let fleet = Fleet::start(&[engine(4)]).await;
        let to = fleet.callers()[0];
        let outcome_of = |name: &'static str, switches: Switches, stream: bool| {
            fleet.switch(0, switches);
            let asked = ask(name, "live", 20, stream);
            async move { load::send(&Client::new(), to, &asked).await.ended }
        };
        let cut = Switches { cut_after: Some(4), ..Switches::default() };
        assert_eq!(outcome_of("cut", cut, true).await, Ended::Whole);
        let half = Switches { cut_bodies: 1, ..Switches::default() };
        assert_eq!(outcome_of("half", half, false).await, Ended::Whole);
        let stopped = Switches { cut_after: Some(0), ..Switches::default() };
        let broken = outcome_of("stopped", stopped, true).await;
        assert!(matches!(broken, Ended::Broken(_)), "{broken:?}");
        fleet.switch(0, Switches::default());
        let runs = fleet.runs();
        assert!(runs.iter().all(|r| r.starts == 1), "{runs:?}");
        // The slots come back although the last answer was never read.
        let requests = (0..8).map(|n| send(to, ask(&format!("after-{n}"), "live", 5, true)));
        let results = all(requests.collect()).await;
        assert!(results.iter().all(|(_, r)| r.ended == Ended::Whole), "{results:?}");
    });
}

#[test]
fn a_leaving_endpoint_gets_no_new_work() {
    bounded(async {
        let fleet = Fleet::start(&[engine(4), engine(4)]).await;
        let to = fleet.callers();
        // By its own answer: it refuses, which is noted everywhere.
        fleet.switch(0, Switches { leaving: true, ..Switches::default() });
        let requests = (0..30).map(|n| send(to[n % 3], ask(&format!("own-{n}"), "live", 3, false)));
        let results = all(requests.collect()).await;
        assert!(results.iter().all(|(_, r)| r.ended == Ended::Whole), "{results:?}");
        assert!(fleet.around.engines[0].0.runs().is_empty());
        fleet.switch(0, Switches::default());
        // By the platform's list, during an outage of the key-value service.
        fleet.switch_platform(Switches { refuse: true, ..Switches::default() });
        fleet.around.platform.list("endpoint", "engine-1", "127.0.0.1", 1, true);
        task::sleep(Duration::from_secs(2)).await;
        let before = fleet.around.engines[1].0.runs().len();
        let requests = (0..9).map(|n| send(to[n % 3], ask(&format!("list-{n}"), "live", 3, false)));
        let handles: Vec<_> = requests.collect();
        task::sleep(Duration::from_secs(1)).await;
        assert_eq!(fleet.around.engines[1].0.runs().len(), before);
        drop(handles);
    });
}

#[test]
fn a_caller_that_hangs_up_frees_its_slot() {
    bounded(async {
        let fleet = Fleet::start(&[slow_engine(1)]).await;
        let to = fleet.callers()[0];
        let body = json!({
            "model": "minutes", "messages": [], "max_tokens": 900, "stream": true, "user": "gone",
        });
        let body = body.to_string();
        let head = format!(
            "POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
            ACCOUNT.1,
            body.len()
        );
        let mut stream = TcpStream::connect(to).await.expect("it listens");
        stream.write_all(format!("{head}{body}").as_bytes()).await.expect("it reads");
        eventually("it runs", || fleet.runs().len() == 1).await;
        drop(stream);
        eventually("it is cancelled", || fleet.runs()[0].cancelled).await;
        let (asked, result) = send(to, ask("next", "live", 5, false)).await;
        assert_eq!(result.ended, Ended::Whole, "{asked:?}");
        assert_eq!(fleet.around.engines[0].0.peak(), 1);
    });
}

#[test]
fn keyed_requests_are_told_where_they_stand() {
    bounded(async {
        let fleet = Fleet::start(&[slow_engine(2)]).await;
        let to = fleet.callers();
        let first = keyed(ask("keyed", "live", 20, true), "key-1");
        let running = send(to[0], first.clone());
        eventually("it runs", || fleet.runs().len() == 1).await;
        // A copy gets the same answer, from the same run.
        let copy = send(to[1], first.clone()).await;
        assert_eq!(copy.1.ended, Ended::Whole);
        assert_eq!(running.await.1.ended, Ended::Whole);
        // Later, once more.
        assert_eq!(send(to[2], first.clone()).await.1.ended, Ended::Whole);
        // Another body under the same key.
        let other = keyed(ask("another", "live", 20, true), "key-1");
        let (_, refused) = send(to[2], other).await;
        let Ended::Refused { status, outcome, .. } = refused.ended else { panic!("{refused:?}") };
        assert_eq!((status, outcome.as_str()), (422, "not-run"));
        // The same key of another account is another request.
        let mut theirs = keyed(ask("theirs", "live", 2, true), "key-1");
        theirs.key = oxbowbend_standin::local::OTHER_ACCOUNT.1.to_owned();
        assert_eq!(send(to[2], theirs).await.1.ended, Ended::Whole);
        assert_eq!(fleet.runs().len(), 2);
    });
}

/// The ledger's writes take effect and their replies are lost.
#[test]
fn lost_replies_run_nothing_twice() {
    bounded(async {
        let fleet = Fleet::start(&[engine(4)]).await;
        let to = fleet.callers();
        for n in 0..6 {
            fleet.switch_platform(Switches { lose_replies: 1 + n % 3, ..Switches::default() });
            let asked = keyed(ask(&format!("lost-{n}"), "live", 3, false), &format!("key-{n}"));
            let (_, result) = send(to[n as usize % 3], asked).await;
            assert_eq!(result.ended, Ended::Whole, "{n}");
        }
        assert!(fleet.runs().iter().all(|r| r.starts == 1));
        assert_eq!(fleet.runs().len(), 6);
    });
}

#[test]
fn plain_services_are_passed_through() {
    bounded(async {
        let fleet = Fleet::start(&[engine(1)]).await;
        let to = fleet.callers()[0];
        let request = |method, path: &str, marker: &str| {
            let mut req = client::request(method, to, path).expect("a request");
            req.insert_header("X-Marker", marker);
            req.insert_header("Content-Type", "text/x-tally");
            req
        };
        let mut req = request(Method::Post, "/services/intake/tallies?day=1", "whole");
        req.set_body("seven herons");
        req.insert_header("Content-Type", "text/x-tally");
        let (status, outcome, body) = call(to, req).await;
        assert_eq!(
            (status, outcome.as_str(), body.as_slice()),
            (200, "done", &b"seven herons"[..])
        );
        // A long answer is streamed.
        let long = "x".repeat(3 << 20);
        let mut req = request(Method::Post, "/services/intake/long", "long");
        req.set_body(long.clone());
        assert_eq!(call(to, req).await.2.len(), long.len());
        // Cut short: a tally is not sent again, a look-up is.
        let half = Switches { cut_bodies: 1, ..Switches::default() };
        fleet.around.service.panel().set(half.clone());
        let mut req = request(Method::Post, "/services/intake/tallies", "cut");
        req.set_body("nine egrets");
        let (status, outcome, _) = call(to, req).await;
        assert_eq!((status, outcome.as_str()), (502, "unknown"));
        fleet.around.service.panel().set(half);
        let mut req = request(Method::Get, "/services/intake/species", "repeated");
        req.set_body("which");
        let (status, _, body) = call(to, req).await;
        assert_eq!((status, body.as_slice()), (200, &b"which"[..]));
        let calls = fleet.around.service.calls();
        let count = |m: &str| calls.get(m).copied().unwrap_or(0);
        assert_eq!((count("whole"), count("cut"), count("repeated")), (1, 1, 2));
    });
}

#[test]
fn operators_are_not_overwritten_and_see_what_is_in_force() {
    bounded(async {
        let fleet = Fleet::start(&[engine(1)]).await;
        let ops: Vec<_> = fleet.instances.iter().map(|i| i.operators).collect();
        let path = "/v1/resources/Tier/live";
        let (_, tier) = operator_call(ops[0], Method::Get, path, None).await.expect("an answer");
        // Two operators change the same version at once, through two instances.
        let change = |seconds: u32| {
            let mut tier = tier.clone();
            tier["spec"]["deadlineSeconds"] = json!(seconds);
            tier
        };
        let (one, two) = (change(11), change(22));
        let (a, b) = futures::future::join(
            operator_call(ops[0], Method::Put, path, Some(&one)),
            operator_call(ops[1], Method::Put, path, Some(&two)),
        )
        .await;
        let mut statuses = [a.expect("an answer").0, b.expect("an answer").0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409]);
        // In force everywhere, though the platform goes down at once.
        fleet.switch_platform(Switches { refuse: true, ..Switches::default() });
        fleet.until(|s| s.iter().all(|s| s["revision"] == 2)).await;
        let (status, _) = operator_call(ops[2], Method::Put, path, Some(&one)).await.expect("one");
        assert_eq!(status, 503);
        fleet.switch_platform(Switches::default());
        // A change whose reply is lost is accepted once.
        let (_, tier) = operator_call(ops[0], Method::Get, path, None).await.expect("an answer");
        fleet.switch_platform(Switches { lose_replies: 2, ..Switches::default() });
        let (status, answer) =
            operator_call(ops[0], Method::Put, path, Some(&tier)).await.expect("an answer");
        assert!(matches!(status, 200 | 503 | 504), "{status} {answer}");
        fleet.switch_platform(Switches::default());
        let status = format!("{path}/status");
        let (code, _) = operator_call(ops[1], Method::Get, &status, None).await.expect("an answer");
        assert_eq!(code, 200);
    });
}

#[test]
fn mistakes_of_operators_are_named() {
    bounded(async {
        let fleet = Fleet::start(&[engine(1)]).await;
        let ops = fleet.instances[0].operators;
        let put = |path: &'static str, body: Value| async move {
            operator_call(ops, Method::Put, path, Some(&body)).await.expect("an answer")
        };
        let tier = json!({ "kind": "Tier", "name": "x", "spec": { "level": 0 } });
        let (status, answer) = put("/v1/resources/Tier/x", tier.clone()).await;
        assert_eq!(status, 422);
        assert!(answer["errors"]["mistakes"][0]["reason"].is_string(), "{answer}");
        assert_eq!(put("/v1/resources/Tier/y", tier.clone()).await.0, 400);
        assert_eq!(put("/v1/resources/Engine/x", tier).await.0, 404);
        let place = json!({ "kind": "Place", "name": "ankara", "spec": { "zones": ["z"] } });
        assert_eq!(put("/v1/resources/Place/ankara", place).await.0, 409);
        // What others refer to is not deleted.
        let path = "/v1/resources/Place/ankara?version=1";
        let (status, _) = operator_call(ops, Method::Delete, path, None).await.expect("an answer");
        assert_eq!(status, 422);
    });
}

/// An instance that is born while the key-value service is down gets the configuration from the
/// others, and one that was frozen catches up.
#[test]
fn instances_catch_up_with_the_configuration() {
    bounded(async {
        let mut fleet = Fleet::start(&[engine(2)]).await;
        fleet.instances[2].freeze();
        let ops = fleet.instances[0].operators;
        let path = "/v1/resources/Tier/live";
        let (_, mut tier) = operator_call(ops, Method::Get, path, None).await.expect("an answer");
        tier["spec"]["deadlineSeconds"] = json!(33);
        let (status, _) = operator_call(ops, Method::Put, path, Some(&tier)).await.expect("one");
        assert_eq!(status, 200);
        fleet.switch_platform(Switches { refuse: true, ..Switches::default() });
        let born = fleet::Instance::start("zone-b", fleet.around.platform_address).await;
        fleet.instances.push(born);
        fleet.instances[2].wake();
        fleet.until(|s| s.iter().all(|s| s["revision"] == 2)).await;
        let ready =
            oxbowbend_standin::local::wait_ok(fleet.instances[3].callers, "/readyz", LONGEST);
        assert!(ready.await);
    });
}

#[test]
fn peers_without_the_secret_are_turned_away() {
    bounded(async {
        let fleet = Fleet::start(&[engine(1)]).await;
        let peers = fleet.instances[0].peers;
        let upgrade = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
                       Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n";
        for header in ["", "Authorization: Bearer wrong\r\n"] {
            let line = raw(peers, format!("{upgrade}{header}\r\n").as_bytes(), false).await;
            assert!(line.contains("401"), "{line}");
        }
        let key = format!("Bearer {OPERATOR_KEY}");
        assert!(!key.is_empty());
        let undeclared = declare(fleet.instances[0].callers, Vec::new()).await;
        assert!(undeclared.is_err());
    });
}

/// Orders come from one holder at a time, with growing fencing numbers, though the holder is
/// frozen and wakes; the engine that does not check the number gets them apart in time.
#[test]
fn orders_come_from_one_holder_at_a_time() {
    bounded(async {
        let careless = oxbowbend_standin::engine::Options { checks_fencing: false, ..engine(2) };
        let mut fleet = Fleet::start(&[engine(2), careless]).await;
        let ops = fleet.instances[0].operators;
        for n in 0..2 {
            let path = format!("/v1/resources/Endpoint/engine-{n}");
            let (_, mut engine) =
                operator_call(ops, Method::Get, &path, None).await.expect("an answer");
            engine["spec"]["adapters"] = json!([{ "name": "court", "path": "store/court" }]);
            let put = operator_call(ops, Method::Put, &path, Some(&engine)).await;
            assert_eq!(put.expect("an answer").0, 200);
        }
        let orders = |n: usize| {
            let (engine, _, _) = &fleet.around.engines[n];
            engine.orders()
        };
        eventually("both are ordered", || (0..2).all(|n| orders(n).len() == 1)).await;
        let first: Vec<u64> = (0..2).map(|n| orders(n)[0].1).collect();
        for instance in &mut fleet.instances {
            instance.freeze();
            task::sleep(Duration::from_millis(100)).await;
        }
        task::sleep(Duration::from_secs(8)).await;
        for instance in &mut fleet.instances {
            instance.wake();
        }
        let orders = |n: usize| fleet.around.engines[n].0.orders();
        eventually("both are ordered again", || (0..2).all(|n| orders(n).len() >= 2)).await;
        for (n, first) in first.into_iter().enumerate() {
            let numbers: Vec<u64> = orders(n).into_iter().map(|o| o.1).collect();
            assert!(numbers.windows(2).all(|w| w[0] <= w[1]), "{numbers:?}");
            assert!(numbers.last() > Some(&first), "{numbers:?}");
        }
    });
}
