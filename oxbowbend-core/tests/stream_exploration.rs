//! Random plays of streams that are taken up at instances that are killed, cut off from each other and told late or
//! never: none goes on at another version than the one that began it, and where nothing is lost all go on.

use std::time::{Duration, Instant};

use oxbowbend_core::ids::StreamKey;
use oxbowbend_core::streams::{
    resolve, LocalKnowledge, PeerAnswer, ReportedStream, StreamGroup, StreamOrigin, StreamRegistry,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const PLAYS: u64 = 400;
const STEPS: usize = 300;
const INSTANCES: usize = 5;
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const RETENTION: Duration = Duration::from_secs(30);
const STEP: Duration = Duration::from_millis(20);

/// A report on its way.
struct Sent {
    to: usize,
    groups: Vec<StreamGroup>,
}

struct Play {
    rng: Pcg64,
    now: Instant,
    instances: Vec<StreamRegistry>,
    /// Whether an instance hears another one.
    is_cut: [bool; INSTANCES],
    sent: Vec<Sent>,
    streams: Vec<(StreamKey, &'static str)>,
    loses: bool,
    taken_up: usize,
    refused: usize,
}

impl Play {
    fn new(seed: u64, loses: bool) -> Play {
        Play {
            rng: Pcg64::seed_from_u64(seed),
            now: Instant::now(),
            instances: (0..INSTANCES).map(|_| StreamRegistry::default()).collect(),
            is_cut: [false; INSTANCES],
            sent: Vec::new(),
            streams: Vec::new(),
            loses,
            taken_up: 0,
            refused: 0,
        }
    }

    fn any(&mut self) -> usize {
        self.rng.random_range(0..INSTANCES)
    }

    fn begin(&mut self) {
        let (at, key) = (self.any(), self.streams.len() as StreamKey);
        let version = VERSIONS[self.rng.random_range(0..VERSIONS.len())];
        self.run(at, key, version);
        self.streams.push((key, version));
        self.report(at, false);
    }

    fn run(&mut self, at: usize, key: StreamKey, version: &str) {
        let origin = StreamOrigin { service: "s".into(), version: version.into() };
        let stream = ReportedStream { key, account: 0 };
        self.instances[at].record_began(self.now, stream, &origin, RETENTION);
    }

    fn report(&mut self, at: usize, is_heartbeat: bool) {
        let groups = self.instances[at].to_report(self.now, is_heartbeat, |_| true);
        for to in (0..INSTANCES).filter(|to| *to != at) {
            let is_lost =
                self.is_cut[at] || self.is_cut[to] || self.loses && self.rng.random_bool(0.3);
            if !is_lost {
                self.sent.push(Sent { to, groups: groups.clone() });
            }
        }
        if !self.loses {
            self.deliver_all();
        }
    }

    /// One of those on their way arrives, whichever it is.
    fn deliver(&mut self) {
        if !self.sent.is_empty() {
            let n = self.rng.random_range(0..self.sent.len());
            let Sent { to, groups } = self.sent.swap_remove(n);
            self.instances[to].receive(self.now, &groups, RETENTION);
        }
    }

    fn deliver_all(&mut self) {
        while !self.sent.is_empty() {
            self.deliver();
        }
    }

    fn kill(&mut self) {
        let at = self.any();
        self.instances[at] = StreamRegistry::default();
        self.sent.retain(|sent| sent.to != at);
    }

    fn take_up(&mut self) {
        if self.streams.is_empty() {
            return;
        }
        let at = self.any();
        let (key, version) = self.streams[self.rng.random_range(0..self.streams.len())];
        let known = LocalKnowledge {
            targets: vec!["s".into()],
            record: self.instances[at].lookup(self.now, key),
            ..LocalKnowledge::default()
        };
        let asked = (0..INSTANCES).filter(|n| *n != at && !self.is_cut[*n] && !self.is_cut[at]);
        let answer = |n: usize| PeerAnswer {
            record: self.instances[n].lookup(self.now, key),
            ..PeerAnswer::default()
        };
        let answers: Vec<_> = asked.map(answer).collect();
        match resolve(self.now, &known, &answers) {
            Ok(binding) => {
                assert_eq!(&*binding.origin.version, version, "stream {key} at instance {at}");
                self.run(at, key, version);
                self.taken_up += 1;
                self.report(at, false);
            }
            Err(_) => self.refused += 1,
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        match self.rng.random_range(0..100) {
            0..25 => self.begin(),
            25..45 => self.take_up(),
            45..70 => {
                let at = self.any();
                self.report(at, true);
            }
            70..95 => self.deliver(),
            95..97 if self.loses => self.kill(),
            97..100 if self.loses => {
                let at = self.any();
                self.is_cut[at] = !self.is_cut[at];
            }
            _ => {}
        }
    }
}

#[test]
fn no_stream_goes_on_at_another_version_whatever_is_lost() {
    let (mut taken_up, mut refused) = (0, 0);
    for seed in 0..PLAYS {
        let mut play = Play::new(seed, true);
        (0..STEPS).for_each(|_| play.step());
        (taken_up, refused) = (taken_up + play.taken_up, refused + play.refused);
    }
    println!("{taken_up} went on, {refused} were refused");
    assert!(taken_up > 0);
}

#[test]
fn all_streams_go_on_where_nothing_is_lost() {
    for seed in 0..PLAYS {
        let mut play = Play::new(seed, false);
        (0..STEPS).for_each(|_| play.step());
        assert_eq!(play.refused, 0, "seed {seed}");
    }
}
