//! A client: one request on a connection of its own.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

/// What came back.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A whole answer, with its status and its body.
    Whole(u16, String),
    /// One that broke off, with what came of it.
    Cut(u16, String),
    /// No answer: the connection ended, or the time was over.
    None(String),
}

/// Sends a request and reads its answer within a time.
pub fn ask(address: SocketAddr, request: &[u8], time: Duration) -> Answer {
    let (mut status, mut body) = (0, Vec::new());
    let mut exchange = || -> io::Result<()> {
        let mut conn = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        conn.set_nodelay(true)?;
        conn.set_read_timeout(Some(time))?;
        conn.write_all(request)?;
        let mut reader = BufReader::new(conn);
        let head = http::read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        status = head.status();
        if head.get("transfer-encoding").is_some() {
            while let Some(piece) = http::read_chunk(&mut reader)? {
                body.extend(piece);
            }
        } else {
            body = http::read_body(&mut reader, &head)?;
        }
        Ok(())
    };
    let result = exchange();
    let text = String::from_utf8_lossy(&body).into_owned();
    match result {
        Ok(()) => Answer::Whole(status, text),
        Err(_) if status > 0 => Answer::Cut(status, text),
        Err(e) => Answer::None(e.to_string()),
    }
}
