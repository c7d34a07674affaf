//! Whose a connection is, as the kernel's tables tell.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};

/// A connection: the address of the end that began it, then that of the other one.
pub type Ends = (SocketAddr, SocketAddr);

/// All connections of some processes, each with the place of its process among these.
pub fn connections(pids: &[u32]) -> HashMap<Ends, usize> {
    let sockets = pids.iter().enumerate().flat_map(|(n, pid)| sockets(*pid).map(move |s| (s, n)));
    let sockets: HashMap<u64, usize> = sockets.collect();
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let rows = table.lines().skip(1).filter_map(row);
    rows.filter_map(|(ends, socket)| Some((ends, *sockets.get(&socket)?))).collect()
}

/// The sockets that a process has open; none if it has ended.
fn sockets(pid: u32) -> impl Iterator<Item = u64> {
    let files = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    files.filter_map(|file| {
        let target = std::fs::read_link(file.path()).ok()?;
        target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    })
}

/// A row of the table: its two addresses and the socket.
fn row(line: &str) -> Option<(Ends, u64)> {
    let fields: Vec<_> = line.split_whitespace().collect();
    let ends = (address(fields.get(1)?)?, address(fields.get(2)?)?);
    Some((ends, fields.get(9)?.parse().ok()?))
}

/// An address as the table writes it, with the bytes of the IP address in the machine's order.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = Ipv4Addr::from(u32::from_str_radix(ip, 16).ok()?.to_ne_bytes());
    Some((ip, u16::from_str_radix(port, 16).ok()?).into())
}
