//! Answers of an engine that end with their connection.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::StreamExt;
use oxbowbend_endpoint::events::Api;
use oxbowbend_endpoint::run::{self, Run, Target};
use oxbowbend_http::client::{Client, Limits};
use serde_json::json;

const JSON: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Reads a request, and returns its first line.
async fn read(stream: &mut TcpStream) -> String {
    let (mut got, mut byte) = (Vec::new(), [0]);
    while !got.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.expect("a head");
        got.push(byte[0]);
    }
    let head = String::from_utf8(got).expect("text").to_ascii_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|v| v.split("\r\n").next());
    let length = length.map_or(0, |v| v.parse().expect("a number"));
    stream.read_exact(&mut vec![0; length]).await.expect("a body");
    head.lines().next().expect("a line").to_owned()
}

/// Gives each connection the next answer and closes it; returns the first lines of the requests.
async fn engine(answers: Vec<String>) -> (SocketAddr, task::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let asked = task::spawn(async move {
        let (mut incoming, mut asked) = (listener.incoming(), Vec::new());
        for answer in answers {
            let mut stream = incoming.next().await.expect("one").expect("a connection");
            asked.push(read(&mut stream).await);
            stream.write_all(answer.as_bytes()).await.expect("written");
        }
        asked
    });
    (address, asked)
}

fn target(address: SocketAddr, api: Api) -> Target {
    let limits = Limits::all(Duration::from_secs(2));
    Target { address, run: "r-1".to_owned(), api, limits }
}

#[test]
fn a_plain_answer_that_ends_with_its_connection_is_whole_if_it_can_be_parsed() {
    task::block_on(async {
        let body = r#"{"status":"completed","text":"whole"}"#;
        let cut = &body[..body.len() - 3];
        for (first, asked_for) in [(body, 1), (cut, 2), ("", 2)] {
            let answers = [format!("{JSON}{first}"), format!("{JSON}{body}")];
            let (address, asked) = engine(answers[..asked_for].to_vec()).await;
            let target = target(address, Api::Responses);
            let got = run::run_whole(&Client::new(), &target, json!({})).await;
            assert_eq!(got.expect("an answer").body, body.as_bytes(), "{first:?}");
            assert_eq!(asked.await.len(), asked_for, "{first:?}");
        }
    });
}

#[test]
fn a_stream_that_ends_inside_an_event_is_picked_up_after_the_last_whole_one() {
    task::block_on(async {
        let first = format!("{EVENTS}data: 1\n\ndata: 2\n\ndata: th");
        let rest = format!("{EVENTS}data: three\n\ndata: [DONE]\n\n");
        let (address, asked) = engine(vec![first, rest]).await;
        let run = Run::start(&Client::new(), target(address, Api::Chat), json!({})).await;
        let mut run = run.expect("a run");
        let mut data = Vec::new();
        while let Some(event) = run.next().await.expect("not cut for good") {
            data.push(event.data);
        }
        assert_eq!(data, ["1", "2", "three", "[DONE]"]);
        let asked = asked.await;
        assert!(asked[1].contains("starting_after=1 "), "{asked:?}");
    });
}
