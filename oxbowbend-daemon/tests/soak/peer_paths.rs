//! Cuts between daemons, which callers, endpoints and the store do not notice.
//!
//! A proxy stands for each daemon: it has an IP address of its own, and the ports at which daemons talk. The store
//! stand-in and the proxies write its address in place of the daemon's own, so nobody learns the latter.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use async_std::net::{TcpListener, UdpSocket};
use async_std::task;

use crate::fleet::DAEMONS;
use crate::paths::{Cut, Manner, Paths};
use crate::proxy::Proxy;

/// Port at which daemons report and answer questions.
const TALK_PORT: u16 = 27600;
/// Port at which they accept requests of each other.
const HANDOVER_PORT: u16 = 27601;
/// What follows an IP address in the text of a daemon's address.
const PORT_TEXT: &[u8] = b":27600";
const MAX_DATAGRAM: usize = 65_536;

/// Ways between daemons that are cut.
#[derive(Clone, Debug)]
pub struct PeerCut {
    /// How connections are cut; datagrams are lost in any case.
    pub manner: Manner,
    /// Nothing passes from any of these
    pub from: Vec<usize>,
    /// to any other one of these,
    pub to: Vec<usize>,
    /// nor back.
    pub is_both_ways: bool,
}

impl PeerCut {
    /// Cuts daemons off from all others, and from each other.
    pub fn from_all(manner: Manner, daemons: &[usize]) -> PeerCut {
        let (from, to) = (daemons.to_vec(), (0..DAEMONS).collect());
        PeerCut { manner, from, to, is_both_ways: true }
    }

    fn covers(&self, from: usize, to: usize) -> bool {
        let is_cut = |from, to| self.from.contains(&from) && self.to.contains(&to);
        from != to && (is_cut(from, to) || (self.is_both_ways && is_cut(to, from)))
    }

    /// The same for connections to a daemon's proxy.
    fn of_connections(&self, to: usize) -> Vec<Cut> {
        let (there, rest): (Vec<_>, Vec<_>) = (0..DAEMONS).partition(|n| self.covers(*n, to));
        let back = rest.into_iter().filter(|n| self.covers(to, *n)).collect();
        let back_manner = match self.manner {
            Manner::Silent => Manner::OneWay,
            manner => manner,
        };
        vec![
            Cut { manner: self.manner, daemons: there },
            Cut { manner: back_manner, daemons: back },
        ]
    }
}

/// Addresses of a fleet's daemons and of their proxies, which have the same length as text.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// What the IP addresses begin with. The last byte of a daemon's is its number, from 1 on.
    net: String,
}

impl PeerAddresses {
    pub fn new(net: &str) -> PeerAddresses {
        PeerAddresses { net: format!("{net}.") }
    }

    pub fn proxy_ip(&self, daemon: usize) -> IpAddr {
        self.ip(DAEMONS + daemon)
    }

    fn ip(&self, n: usize) -> IpAddr {
        format!("{}{}", self.net, n + 1).parse().unwrap()
    }

    /// Puts proxies' addresses in place of daemons' own.
    pub fn rewrite(&self, text: &mut [u8]) {
        let digit_at = self.net.len();
        for at in 0..text.len().saturating_sub(digit_at + PORT_TEXT.len()) {
            let text = &mut text[at..];
            if text.starts_with(self.net.as_bytes()) && text[digit_at + 1..].starts_with(PORT_TEXT)
            {
                let digit = &mut text[digit_at];
                let first_of_proxies = b'1' + DAEMONS as u8;
                if (b'1'..first_of_proxies).contains(digit) {
                    *digit += DAEMONS as u8;
                }
            }
        }
    }

    /// Whether an address may go on after the end of a text.
    pub fn is_split(&self, text: &[u8]) -> bool {
        let (net, length) = (self.net.as_bytes(), self.net.len() + PORT_TEXT.len());
        let ends = (1..=length.min(text.len())).map(|n| &text[text.len() - n..]);
        ends.into_iter().any(|end| end.starts_with(net) || net.starts_with(end))
    }
}

/// The ways between all daemons.
#[derive(Clone)]
pub struct PeerPaths {
    pub addresses: PeerAddresses,
    /// The ways to each daemon.
    pub paths: [Paths; DAEMONS],
    cut: Arc<Mutex<Option<PeerCut>>>,
}

impl PeerPaths {
    /// Starts the proxies, which stay until the process ends.
    pub async fn start(net: &str) -> PeerPaths {
        let addresses = PeerAddresses::new(net);
        let this = PeerPaths { addresses, paths: Default::default(), cut: Arc::default() };
        for daemon in 0..DAEMONS {
            let (near, far) = (this.addresses.proxy_ip(daemon), this.addresses.ip(daemon));
            for port in [TALK_PORT, HANDOVER_PORT] {
                let listener = TcpListener::bind((near, port)).await.unwrap();
                let (to, paths) = (SocketAddr::new(far, port), this.paths[daemon].clone());
                Proxy::start_between_daemons(listener, to, paths, this.addresses.clone());
            }
            let socket = UdpSocket::bind((near, TALK_PORT)).await.unwrap();
            task::spawn(this.clone().pass_datagrams(socket, daemon));
        }
        this
    }

    /// Cuts ways, or mends all.
    pub fn set_cut(&self, cut: Option<PeerCut>) {
        for (to, paths) in self.paths.iter().enumerate() {
            paths.set_cuts(cut.as_ref().map_or(Vec::new(), |cut| cut.of_connections(to)));
        }
        *self.cut.lock().unwrap() = cut;
    }

    /// Passes datagrams on to a daemon, but for its own.
    async fn pass_datagrams(self, socket: UdpSocket, to: usize) {
        let (mut buf, target) =
            (vec![0; MAX_DATAGRAM], SocketAddr::new(self.addresses.ip(to), TALK_PORT));
        loop {
            let Ok((n, sender)) = socket.recv_from(&mut buf).await else { continue };
            // Daemons send from the address at which they receive.
            let from = (0..DAEMONS).find(|from| self.addresses.ip(*from) == sender.ip());
            let is_cut =
                |from| self.cut.lock().unwrap().as_ref().is_some_and(|cut| cut.covers(from, to));
            if from == Some(to) || from.is_some_and(is_cut) {
                continue;
            }
            self.addresses.rewrite(&mut buf[..n]);
            // A daemon that is down hears nothing.
            let _ = socket.send_to(&buf[..n], target).await;
        }
    }
}
