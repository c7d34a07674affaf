//! All histories of three instances and an endpoint that names a limit: answers that are lost, late and overtaken, reports that are lost,
//! restarts, limits that fall, rise, end and come back. However they follow each other, the endpoint gets no more than the users allow.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, want, MS};
use oxbowbend_core::cell::{Cell, Outcome, ReportDetail, SignalValue, Signals};
use oxbowbend_core::ids::InstanceId;
use rand::{Rng, SeedableRng};

const INSTANCES: usize = 3;
/// Requests that each instance would like to send in each step.
const WANTED: usize = 3;
const STEP: Duration = Duration::from_millis(500);
/// Steps of a history that are all explored, and calm ones after them.
const EXPLORED: u32 = 4;
const CALM: usize = 14;
const LIMIT: f64 = 1.5;

/// What happens in a step. What strikes an instance strikes the first one: they are all alike.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Calm,
    AnswersLost,
    /// Answers arrive a step later, after newer ones.
    AnswersLate,
    /// Reports to and from it are lost.
    Cut,
    Restart,
    Falls,
    Rises,
    /// The limit ends, or is named again.
    Toggles,
}

const EVENTS: [Event; 8] = [
    Event::Calm,
    Event::AnswersLost,
    Event::AnswersLate,
    Event::Cut,
    Event::Restart,
    Event::Falls,
    Event::Rises,
    Event::Toggles,
];

struct Answer {
    instance: usize,
    sent: Instant,
    limit: Option<f64>,
}

struct World {
    cells: Vec<Cell>,
    lives: u64,
    start: Instant,
    now: Instant,
    limit: Option<f64>,
    /// Each limit with the moment from which it was named.
    limits: Vec<(Instant, Option<f64>)>,
    late: Vec<Answer>,
    /// When each instance passed an answer on that named a limit, since it started.
    told: Vec<Option<Instant>>,
    sent: Vec<(Instant, usize)>,
}

fn instance(n: usize, life: u64) -> Cell {
    let all: Vec<InstanceId> = (0..INSTANCES).map(|i| format!("i{i}").as_str().into()).collect();
    let mut cell = match life {
        0 => cell(&all[n], &[endpoint(0, 1000)]),
        _ => Cell::new(all[n].clone(), "z0".into(), life),
    };
    cell.set_endpoints([endpoint(0, 1000)]);
    cell.set_sharers(all.iter(), all.iter(), Default::default());
    cell
}

impl World {
    fn new() -> World {
        let start = Instant::now() + Duration::from_secs(60);
        World {
            cells: (0..INSTANCES).map(|n| instance(n, 0)).collect(),
            lives: 1,
            start,
            now: start,
            limit: Some(LIMIT),
            limits: vec![(start, Some(LIMIT))],
            late: Vec::new(),
            told: vec![None; INSTANCES],
            sent: Vec::new(),
        }
    }

    fn name(&mut self, limit: Option<f64>) {
        self.limit = limit;
        self.limits.push((self.now, limit));
    }

    fn step(&mut self, event: Event) {
        self.now += STEP;
        match event {
            Event::Falls => self.name(self.limit.map(|_| 0.5)),
            Event::Rises => self.name(self.limit.map(|_| 4.0)),
            Event::Toggles => self.name(if self.limit.is_some() { None } else { Some(LIMIT) }),
            Event::Restart => {
                self.cells[0] = instance(0, self.lives);
                self.lives += 1;
                self.told[0] = None;
            }
            _ => {}
        }
        let mut answers = Vec::new();
        for n in 0..INSTANCES {
            for _ in 0..self.press(n) {
                self.sent.push((self.now, n));
                answers.push(Answer { instance: n, sent: self.now, limit: self.limit });
            }
        }
        if event == Event::AnswersLost {
            answers.retain(|a| a.instance != 0);
        }
        let late = std::mem::take(&mut self.late);
        if event == Event::AnswersLate {
            let (held, arrive) = answers.into_iter().partition(|a| a.instance == 0);
            (self.late, answers) = (held, arrive);
        }
        answers.into_iter().chain(late).for_each(|answer| self.answer(&answer));
        self.report(event);
    }

    fn press(&mut self, n: usize) -> usize {
        let (cell, now) = (&mut self.cells[n], self.now);
        let tickets: Vec<_> =
            (0..WANTED).map(|_| cell.enqueue(want(0, 1, now - 20 * MS))).collect();
        let sent = cell.assign(now).len();
        tickets.into_iter().for_each(|ticket| _ = cell.dequeue(ticket));
        (0..sent).for_each(|_| cell.finish(now, key("e0"), 1, Outcome::Good));
        sent
    }

    fn answer(&mut self, answer: &Answer) {
        let at = self.now + 100 * MS;
        let rate_limit = answer.limit.map_or(SignalValue::Nothing, SignalValue::Value);
        let signals = Signals { rate_limit, ..Signals::default() };
        self.cells[answer.instance].endpoint_said(at, key("e0"), answer.sent, signals);
        if answer.limit.is_some() {
            self.told[answer.instance].get_or_insert(at);
        }
    }

    fn report(&mut self, event: Event) {
        let at = self.now + 200 * MS;
        for from in 0..INSTANCES {
            let report = self.cells[from].report(at, ReportDetail::Full);
            for to in (0..INSTANCES).filter(|to| *to != from) {
                if event != Event::Cut || (from != 0 && to != 0) {
                    self.cells[to].receive_report(at + 5 * MS, report.clone(), true);
                }
            }
        }
    }

    /// The most that may be sent in a window, by the highest limit named in it; none if there was none meanwhile, or it has been
    /// named for less than 3 s.
    fn allowed(&self, from: Instant) -> Option<f64> {
        let to = from + Duration::from_secs(4);
        let mut since = None;
        let mut highest: f64 = 0.0;
        for (i, (at, limit)) in self.limits.iter().enumerate() {
            let ends = self.limits.get(i + 1).map_or(to, |(next, _)| *next);
            let is_within = *at < to && ends > from - Duration::from_secs(1);
            match limit {
                None => since = if *at < to { None } else { since },
                Some(_) if *at >= to => {}
                Some(limit) => {
                    since = since.or(Some(*at));
                    highest = if is_within { highest.max(*limit) } else { highest };
                }
            }
        }
        let is_bound = since.is_some_and(|since: Instant| since + Duration::from_secs(3) <= from);
        is_bound.then_some(1.5 * highest * 4.0 + 5.0)
    }

    fn check(&self, history: &[Event]) {
        let told = |n: usize, at: Instant| self.told[n].is_some_and(|told| told + 500 * MS <= at);
        for (from, _) in &self.sent {
            let Some(allowed) = self.allowed(*from) else { continue };
            let to = *from + Duration::from_secs(4);
            let within = self.sent.iter().filter(|(at, n)| at >= from && *at < to && told(*n, *at));
            let count = within.count();
            let at = from.duration_since(self.start);
            assert!(count as f64 <= allowed, "{history:?}: {count} from {at:?}; allowed {allowed}");
        }
    }
}

fn play(history: &[Event]) {
    let mut world = World::new();
    history.iter().for_each(|event| world.step(*event));
    (0..CALM).for_each(|_| world.step(Event::Calm));
    world.check(history);
    let is_known = |cell: &Cell| cell.limited() == usize::from(world.limit.is_some());
    assert!(world.cells.iter().all(is_known), "{history:?}: not known to all");
}

#[test]
fn no_history_brings_an_endpoint_more_than_is_allowed() {
    let kinds = EVENTS.len();
    for number in 0..kinds.pow(EXPLORED) {
        let event = |step: u32| EVENTS[number / kinds.pow(step) % kinds];
        play(&(0..EXPLORED).map(event).collect::<Vec<_>>());
    }
}

#[test]
fn nor_does_a_long_one() {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(38);
    for _ in 0..1500 {
        let event = |_| EVENTS[rng.random_range(0..EVENTS.len())];
        play(&(0..20).map(event).collect::<Vec<_>>());
    }
}
