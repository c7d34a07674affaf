//! What [`client::Client`] gives for answers of every shape, against a raw server.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::StreamExt;
use http_types::Method;
use oxbowbend_http::client::{self, Client, Limits};

const TIME: Duration = Duration::from_millis(500);
const MOST: usize = 1 << 20;

/// How a server ends a connection after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Closed,
    /// Not at all.
    Open,
}

async fn read_head(stream: &mut TcpStream) {
    let (mut got, mut byte) = (Vec::new(), [0]);
    while !got.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.expect("a head");
        got.push(byte[0]);
    }
}

/// Answers the first request of each connection with these pieces.
async fn server(pieces: Vec<Vec<u8>>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(Ok(mut stream)) = incoming.next().await {
            read_head(&mut stream).await;
            for piece in &pieces {
                stream.write_all(piece).await.expect("written");
                // Time for the bytes to be read apart, and before a reset would take them away.
                task::sleep(Duration::from_millis(20)).await;
            }
            match end {
                End::Closed => {}
                End::Open => {
                    task::spawn(async move {
                        task::sleep(TIME * 10).await;
                        drop(stream);
                    });
                }
            }
        }
    });
    address
}

async fn call(method: Method, pieces: &[&str], end: End) -> Result<(u16, String), String> {
    let pieces = pieces.iter().map(|piece| piece.as_bytes().to_vec()).collect();
    let address = server(pieces, end).await;
    let req = client::request(method, address, "/x").expect("a request");
    let got = Client::new().call(address, req, Limits::all(TIME), MOST).await;
    let (status, body) = got.map_err(|e| e.to_string())?;
    Ok((status as u16, String::from_utf8(body).expect("text")))
}

struct Case {
    name: &'static str,
    pieces: &'static [&'static str],
    end: End,
    /// The body, if the answer is whole.
    body: Option<&'static str>,
}

const CASES: [Case; 7] = {
    const fn case(
        name: &'static str,
        pieces: &'static [&'static str],
        end: End,
        body: Option<&'static str>,
    ) -> Case {
        Case { name, pieces, end, body }
    }
    const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    const CHUNKS: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const COMPRESSED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n";
    [
        case("length", &[LENGTH, "whole"], End::Open, Some("whole")),
        case("cut length", &[LENGTH, "wh"], End::Closed, None),
        case("chunks", &[CHUNKS, "5\r\nwhole\r\n0\r\n\r\n"], End::Open, Some("whole")),
        case("no last chunk", &[CHUNKS, "5\r\nwhole\r\n"], End::Closed, None),
        case("encoding that is not known", &[COMPRESSED, "whole"], End::Closed, None),
        case("head cut off", &["HTTP/1.1 200 OK\r\n"], End::Closed, None),
        case("no answer", &[], End::Closed, None),
    ]
};

#[test]
fn answers_of_every_shape() {
    task::block_on(async {
        let mut wrong = Vec::new();
        for case in &CASES {
            let got = call(Method::Get, case.pieces, case.end).await;
            let body = got.as_ref().ok().map(|(_, body)| body.as_str());
            if body != case.body {
                wrong.push(format!("{}: {got:?}", case.name));
            }
        }
        assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    });
}
