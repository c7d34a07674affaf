//! Which silences of a peer end a connection, by the rules of Linux and the options of a real socket.

use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use oxbowbend_http::h1;

/// A sound endpoint may be silent for a second or so; the rest is a margin.
const TOLERATED: Duration = Duration::from_secs(2);
/// Time within which a machine that lost power must be noticed.
const NOTICED: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(10);
/// Linux's shortest retransmission timeout.
const MIN_RETRANSMISSION: Duration = Duration::from_millis(200);

/// Options of a socket.
#[derive(Clone, Copy, Debug)]
struct Options {
    probe_after: Duration,
    probe_interval: Duration,
    user_timeout: Duration,
}

/// What happens to packets during a silence.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// They are lost in both directions.
    Lost,
    /// They are answered at its end.
    Held,
}

/// A silence: its first and last moment, since the last segment that was received.
#[derive(Clone, Copy, Debug)]
struct Silence {
    from: Duration,
    to: Duration,
    loss: Loss,
}

impl Silence {
    /// When a packet is answered, if ever.
    fn answered_at(&self, sent_at: Duration) -> Option<Duration> {
        if sent_at < self.from || sent_at > self.to {
            return Some(sent_at);
        }
        match self.loss {
            Loss::Lost => None,
            Loss::Held => Some(self.to),
        }
    }
}

fn options() -> Options {
    task::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let cfg = h1::PoolConfig { connect: NOTICED, idle: NOTICED };
        let conn = h1::Pool::new(cfg).connect(address).await.expect("a connection");
        let socket = socket2::SockRef::from(&conn);
        assert!(socket.keepalive().expect("an option"), "no probes");
        Options {
            probe_after: socket.tcp_keepalive_time().expect("an option"),
            probe_interval: socket.tcp_keepalive_interval().expect("an option"),
            user_timeout: socket.tcp_user_timeout().expect("an option").expect("a timeout"),
        }
    })
}

/// When the system ends a connection that only waits, as `tcp_keepalive_timer` does: at a check with a
/// probe out and nothing received for the user timeout, whatever the count of probes.
fn waiting_ends_at(options: Options, silence: Silence) -> Option<Duration> {
    let (mut check, mut probes, mut first_answer) = (options.probe_after, 0, None::<Duration>);
    while check <= silence.to + options.user_timeout + options.probe_after {
        if first_answer.is_some_and(|at| at <= check) {
            return None;
        }
        if probes > 0 && check >= options.user_timeout {
            return Some(check);
        }
        probes += 1;
        let answer = silence.answered_at(check);
        first_answer = first_answer.into_iter().chain(answer).min();
        check += options.probe_interval;
    }
    None
}

/// When the system ends a connection with unacknowledged data, sent as the silence begins: at a
/// retransmission timeout, which is cut to what is left of the user timeout.
fn sending_ends_at(options: Options, silence: Silence) -> Option<Duration> {
    let (mut sent_at, mut pause) = (silence.from, MIN_RETRANSMISSION);
    let ends_at = silence.from + options.user_timeout;
    let mut first_answer = None::<Duration>;
    loop {
        let answer = silence.answered_at(sent_at);
        first_answer = first_answer.into_iter().chain(answer).min();
        if first_answer.is_some_and(|at| at <= (sent_at + pause).min(ends_at)) {
            return None;
        }
        if sent_at + pause >= ends_at {
            return Some(ends_at);
        }
        sent_at += pause;
        pause *= 2;
    }
}

/// The shortest silence that ends a connection, and the connection.
fn shortest(options: Options, loss: Loss) -> (Duration, &'static str) {
    let mut length = Duration::ZERO;
    loop {
        let mut from = Duration::ZERO;
        while from <= options.probe_after + options.probe_interval {
            let silence = Silence { from, to: from + length, loss };
            if waiting_ends_at(options, silence).is_some() {
                return (length, "a connection that waits");
            }
            if sending_ends_at(options, silence).is_some() {
                return (length, "a connection that sends");
            }
            from += STEP;
        }
        length += STEP;
    }
}

#[test]
fn a_silence_of_a_second_or_so_ends_no_connection_to_an_endpoint() {
    let options = options();
    for loss in [Loss::Lost, Loss::Held] {
        let (length, conn) = shortest(options, loss);
        assert!(length >= TOLERATED, "{length:?} ({loss:?}) end {conn}: {options:?}");
    }
}

#[test]
fn a_machine_that_lost_power_is_noticed() {
    let options = options();
    let forever = Silence { from: Duration::ZERO, to: Duration::from_secs(3600), loss: Loss::Lost };
    for ends_at in [waiting_ends_at(options, forever), sending_ends_at(options, forever)] {
        assert!(ends_at.is_some_and(|at| at <= NOTICED), "{ends_at:?}: {options:?}");
    }
}
