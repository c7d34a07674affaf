//! How long a peer may be silent before the system ends a connection to it.
//!
//! On Linux a `TCP_USER_TIMEOUT` decides for keep-alive probes too, whatever their count: from one
//! unanswered probe on, a connection ends at the first check at which nothing has been received for
//! that long. A user timeout only just above `probe_after` thus lets one lost probe end an exchange.

use std::time::Duration;

use async_std::net::TcpStream;

/// Limits on a peer's silence, as socket options. Intervals are whole seconds, the system's smallest
/// unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SilenceLimits {
    /// Time without a segment after which the peer is probed.
    pub probe_after: Duration,
    /// Interval of the probes.
    pub probe_interval: Duration,
    /// Probes that may stay unanswered, where no user timeout decides.
    pub probes: u32,
    /// Time after which unacknowledged data or unanswered probes end the connection
    /// (`TCP_USER_TIMEOUT`).
    pub user_timeout: Duration,
}

impl SilenceLimits {
    /// For exchanges that may not be repeated. Three probes have to fail, so a silence of up to 2 s ends
    /// nothing; a machine that lost power is noticed within 4 s.
    ///
    /// An earlier end gains little there: the request cannot be sent elsewhere, and its deadline holds.
    pub const PATIENT: SilenceLimits = SilenceLimits {
        probe_after: Duration::from_secs(1),
        probe_interval: Duration::from_secs(1),
        probes: 3,
        user_timeout: Duration::from_millis(3500),
    };

    /// For exchanges that the caller repeats at once. A machine that lost power is noticed within 2 s,
    /// and one lost probe may end a connection.
    pub const PROMPT: SilenceLimits = SilenceLimits {
        probe_after: Duration::from_secs(1),
        probe_interval: Duration::from_secs(1),
        probes: 1,
        user_timeout: Duration::from_millis(1500),
    };

    /// Sets the options of a connection.
    pub(super) fn apply(&self, stream: &TcpStream) -> std::io::Result<()> {
        let socket = socket2::SockRef::from(stream);
        socket.set_tcp_user_timeout(Some(self.user_timeout))?;
        let probes = socket2::TcpKeepalive::new()
            .with_time(self.probe_after)
            .with_interval(self.probe_interval)
            .with_retries(self.probes);
        socket.set_tcp_keepalive(&probes)
    }
}
