//! Reading and writing of HTTP/1.1 heads and bodies, no more than the cases need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A head: its first line, and its headers with names in lowercase.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// The part of the first line at that place.
    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; none if the connection has ended before it.
pub fn read_head(conn: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if conn.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut head = Head { line: line.trim_end().to_owned(), headers: Vec::new() };
    loop {
        let mut line = String::new();
        if conn.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// One piece of a body in chunks; none at its end.
pub fn read_chunk(conn: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if conn.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim_end().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size];
    conn.read_exact(&mut bytes)?;
    let mut end = String::new();
    if conn.read_line(&mut end)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok((size > 0).then_some(bytes))
}

/// Reads a body that has a length or comes in chunks.
pub fn read_body(conn: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        while let Some(piece) = read_chunk(conn)? {
            body.extend(piece);
        }
    } else if let Some(length) = head.get("content-length").and_then(|v| v.parse().ok()) {
        body.resize(length, 0);
        conn.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Writes a whole answer.
pub fn answer(conn: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    conn.write_all(&bytes)
}

/// Writes one piece of an answer in chunks; an empty one ends it.
pub fn chunk(conn: &mut TcpStream, piece: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
    bytes.extend_from_slice(piece);
    bytes.extend_from_slice(b"\r\n");
    conn.write_all(&bytes)
}
