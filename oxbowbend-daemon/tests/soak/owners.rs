//! Whose a connection is, as the kernel's tables tell.

use std::collections::HashMap;
use std::net::SocketAddr;

/// A connection: the address of the end that began it, then that of the other one.
pub type Ends = (SocketAddr, SocketAddr);

/// The kernel's table of connections at a moment, and the sockets of some processes.
pub struct Snapshot {
    table: String,
    /// By socket: the place of its process among these.
    owners: HashMap<u64, usize>,
}

impl Snapshot {
    pub fn take(pids: &[u32]) -> Snapshot {
        let sockets = pids.iter().enumerate();
        let sockets = sockets.flat_map(|(n, pid)| sockets_of(*pid).map(move |socket| (socket, n)));
        let owners = sockets.collect();
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        Snapshot { table, owners }
    }

    /// The place of the process that began a connection. Only its row is parsed: there are thousands
    /// beside other fleets, and all that passes waits meanwhile.
    pub fn owner(&self, (near, far): Ends) -> Option<usize> {
        let ends = format!(" {} {} ", shown(near)?, shown(far)?);
        let (_, rest) = self.table.split_once(&ends)?;
        // The socket is the tenth field of a row, its ends are the second and the third.
        let socket = rest.split_whitespace().nth(6)?.parse().ok()?;
        self.owners.get(&socket).copied()
    }
}

/// The sockets that a process has open; none if it has ended.
pub fn sockets_of(pid: u32) -> impl Iterator<Item = u64> {
    let files = std::fs::read_dir(format!("/proc/{pid}/fd")).into_iter().flatten().flatten();
    files.filter_map(|file| {
        let target = std::fs::read_link(file.path()).ok()?;
        target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    })
}

/// An address as the table writes it, with the bytes of the IP address in the machine's order.
fn shown(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
