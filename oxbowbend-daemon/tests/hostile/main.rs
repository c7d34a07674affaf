//! Clients that do not behave: what they make a process hold stays within the memory and the descriptors of its machine,
//! and ordinary callers are answered.
//!
//! Each test starts a real daemon with the settings of a small machine and sends it a crowd. It checks that the process
//! lives, that memory and descriptors stay within the settings, that an ordinary request is answered while the crowd is
//! still connected and again after it has left, and that what endpoints ran agrees with what the crowd was told. Nothing
//! is checked that depends on the speed of the machine. The tests take turns.

mod crowd;
#[path = "../fleet/mod.rs"]
mod fleet;
mod own;
mod platform;
mod process;
#[path = "../soak/store.rs"]
// The soak uses more of it.
#[allow(dead_code)]
mod store;

use std::sync::{Mutex, PoisonError};

use async_std::task;
use crowd::{Play, ANNOUNCED};
use platform::{Machine, Port, Settings};

/// Bytes of a body that the configuration allows, as on the users' deployments.
pub const MAX_BODY: usize = 4 << 20;
/// Bytes of a head that it allows.
pub const MAX_HEAD: usize = 16 << 10;

/// The users' smallest machine.
const SMALLEST: Settings = Settings { memory_mb: 88, max_fds: 4100 };
/// A machine on which a small crowd shows what a large one does on theirs.
const LOWERED: Settings = Settings { memory_mb: 64, max_fds: 4100 };
/// The same, of a machine with few descriptors.
const FEW_DESCRIPTORS: Settings = Settings { memory_mb: 64, max_fds: 1500 };

/// Clients that send bodies of the greatest legal size.
const BODIES: usize = 24;

/// Held while a crowd plays.
static TURN: Mutex<()> = Mutex::new(());

fn hold(settings: Settings, port: Port, clients: usize, play: Play) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let machine = Machine::start(settings).await;
        machine.bear(port, clients, play).await;
    });
}

/// A legal request of the greatest size took 175 MB when it came in chunks of one byte.
#[test]
fn one_body_in_chunks_of_one_byte_is_served_by_the_smallest_machine() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let machine = Machine::start(SMALLEST).await;
        machine.serves_alone(Play::TinyChunks { bytes: MAX_BODY, is_ended: true }).await;
    });
}

/// What the limits allow is served in calm.
#[test]
fn one_body_and_one_head_of_the_greatest_size_are_served_by_the_smallest_machine() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let machine = Machine::start(SMALLEST).await;
        machine.serves_alone(Play::Whole { bytes: MAX_BODY }).await;
        machine.serves_alone(Play::WholeHead { bytes: MAX_HEAD }).await;
    });
}

/// A client that is still sending, or reads late, lost the answer to a reset.
#[test]
fn a_late_reader_sees_that_its_body_is_too_long() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let machine = Machine::start(SMALLEST).await;
        let play = Play::LateReader { bytes: MAX_BODY + (64 << 10), is_chunked: true };
        machine.refuses(play, 413).await;
    });
}

/// A client that announces such a body and sends it whole before it reads lost the answer too.
#[test]
fn a_late_reader_sees_that_its_announced_body_is_too_long() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let machine = Machine::start(SMALLEST).await;
        let play = Play::LateReader { bytes: MAX_BODY + (64 << 10), is_chunked: false };
        machine.refuses(play, 413).await;
    });
}

/// What is left of a refused body may not be taken for requests.
#[test]
fn requests_inside_of_refused_bodies() {
    let embedded = |bytes| Play::Embedded { announced: ANNOUNCED, bytes };
    hold(LOWERED, Port::Callers, BODIES, embedded(2 * MAX_BODY));
    hold(LOWERED, Port::Unknown, BODIES, embedded(MAX_BODY));
}

/// The same where bodies yield to others for lack of memory.
#[test]
fn requests_inside_of_bodies_that_stop_short_of_their_end() {
    let play = Play::Embedded { announced: MAX_BODY, bytes: MAX_BODY - (64 << 10) };
    hold(LOWERED, Port::Callers, BODIES, play);
}

/// The same where a body takes longer than its request may.
#[test]
fn requests_inside_of_a_body_that_comes_too_slowly() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let machine = Machine::start(SMALLEST).await;
        machine.refuses(Play::SlowEmbedded { announced: MAX_BODY }, 408).await;
    });
}

/// Memory that a crowd had held was not there for the next one.
#[test]
fn a_crowd_that_comes_again_and_again() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let machine = Machine::start(LOWERED).await;
        for _ in 0..4 {
            machine.bear(Port::Callers, BODIES, Play::Chunks { bytes: MAX_BODY }).await;
        }
    });
}

/// A limit on silence alone ends no client that sends a byte now and then.
#[test]
fn bodies_that_always_make_a_little_progress() {
    hold(FEW_DESCRIPTORS, Port::Callers, 600, Play::Trickle { bytes: MAX_BODY });
}

/// The same of bodies that are refused in any case.
#[test]
fn bodies_without_a_route_that_always_make_a_little_progress() {
    hold(FEW_DESCRIPTORS, Port::Unknown, 600, Play::Trickle { bytes: MAX_BODY });
}

/// A process that stops waits for requests, of which these never come.
#[test]
fn a_stop_before_a_crowd_that_stays() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let mut machine = Machine::start(LOWERED).await;
        machine.stops_before(BODIES, Play::Short { bytes: MAX_BODY }).await;
    });
}

/// A process that was suspended found the time of heads over whose rest had come meanwhile.
#[test]
fn a_head_whose_rest_came_while_the_process_was_suspended() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(async {
        let mut machine = Machine::start(SMALLEST).await;
        machine.resumes().await;
    });
}

/// Whole bodies are held while endpoints work on their requests.
#[test]
fn whole_bodies_before_slow_endpoints() {
    hold(LOWERED, Port::Slow, BODIES, Play::Whole { bytes: MAX_BODY });
}

/// Bodies that stop short of their end were held without a bound of bytes or time.
#[test]
fn bodies_that_stop_short_of_their_end() {
    hold(LOWERED, Port::Callers, BODIES, Play::Short { bytes: MAX_BODY });
}

/// In small pieces they took more than they had bytes.
#[test]
fn bodies_in_pieces_that_stop_short_of_their_end() {
    hold(LOWERED, Port::Callers, BODIES, Play::Pieces { bytes: MAX_BODY });
}

/// A body in chunks announces no length.
#[test]
fn bodies_in_large_chunks_that_never_end() {
    hold(LOWERED, Port::Callers, BODIES, Play::Chunks { bytes: MAX_BODY });
}

/// Each chunk was kept with the buffer that it was read into.
#[test]
fn bodies_in_chunks_of_one_byte_that_never_end() {
    let play = Play::TinyChunks { bytes: MAX_BODY / 2, is_ended: false };
    hold(LOWERED, Port::Callers, 4, play);
}

/// Bodies below whatever counts as small are as many as there are connections.
#[test]
fn many_short_bodies_that_stop_short_of_their_end() {
    hold(LOWERED, Port::Callers, 500, Play::Short { bytes: 64 << 10 });
}

/// What comes of a body that is announced too long was kept up to the limit.
#[test]
fn bodies_that_are_announced_too_long() {
    hold(LOWERED, Port::Callers, 2 * BODIES, Play::Announced { bytes: 4 * MAX_BODY });
}

/// A body that turns out too long was kept up to the limit.
#[test]
fn bodies_that_turn_out_too_long() {
    hold(LOWERED, Port::Callers, BODIES, Play::Chunks { bytes: 4 * MAX_BODY });
}

/// The limit on heads and the time for them were not applied.
#[test]
fn heads_that_never_end() {
    hold(LOWERED, Port::Callers, 900, Play::Head { bytes: 15_000 });
}

/// A head beyond the limit was read on.
#[test]
fn heads_beyond_the_limit() {
    hold(LOWERED, Port::Callers, 500, Play::Head { bytes: 60_000 });
}

/// Connections on which nothing is sent kept ordinary callers out for as long as they stayed.
#[test]
fn connections_without_a_request() {
    hold(FEW_DESCRIPTORS, Port::Callers, 600, Play::Nothing);
}

/// Answers that nobody reads were kept as long as their connections stayed.
#[test]
fn answers_that_nobody_reads() {
    hold(LOWERED, Port::Large, 500, Play::Deaf);
}

/// What comes while a request runs is held by the kernel, in a buffer that it enlarges for each long body.
#[test]
fn bytes_that_come_while_requests_run() {
    hold(LOWERED, Port::Slow, 4 * BODIES, Play::Ahead { bytes: 16 * MAX_BODY });
}

/// The listener for other instances read bodies of strangers whole before it rejected them.
#[test]
fn bodies_of_strangers_at_the_listener_for_handovers() {
    hold(LOWERED, Port::Handovers, BODIES, Play::Short { bytes: MAX_BODY });
}

/// The listeners beside that for callers had no limits.
#[test]
fn heads_that_never_end_at_the_listener_for_reports() {
    hold(LOWERED, Port::Reports, 500, Play::Head { bytes: 60_000 });
}

/// The same where the balancer asks whether the instance is ready.
#[test]
fn heads_that_never_end_at_the_listener_for_readiness() {
    hold(LOWERED, Port::Readiness, 500, Play::Head { bytes: 60_000 });
}

/// Bodies of the project's own interface were bounded one by one only.
#[test]
fn own_interface_bodies_that_stop_short_of_their_end() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(own::bear(BODIES, |bytes| Play::Short { bytes }));
}

/// The same in chunks of one byte.
#[test]
fn own_interface_bodies_in_large_chunks_that_never_end() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(own::bear(BODIES, |bytes| Play::Chunks { bytes }));
}

/// What is made of a body takes many times its bytes, of small objects most.
#[test]
fn own_interface_bodies_of_many_small_objects() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    task::block_on(own::bear(2 * BODIES, |_| Play::Objects { bytes: 200_000 }));
}
