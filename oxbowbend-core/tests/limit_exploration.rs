//! Explores histories of three instances and an endpoint with a rate limit: lost and reordered
//! responses, lost reports, restarts, and limits that change, end and return. No history may exceed
//! the bound.

mod cells;

use std::time::{Duration, Instant};

use cells::{cell, endpoint, key, want, MS};
use oxbowbend_core::cell::{Cell, Outcome, ReportDetail, SignalValue, Signals};
use oxbowbend_core::ids::InstanceId;
use rand::{Rng, SeedableRng};

const INSTANCES: usize = 3;
/// Requests that each instance tries to send in each step.
const REQUESTS_PER_STEP: usize = 3;
const STEP: Duration = Duration::from_millis(500);
/// Steps that are explored exhaustively, and quiet ones after them.
const EXPLORED_STEPS: u32 = 4;
const QUIET_STEPS: usize = 14;
const LIMIT: f64 = 1.5;

/// What happens in a step. Instances are interchangeable, so faults affect the first one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    Quiet,
    ResponsesLost,
    /// Responses arrive a step later, after newer ones.
    ResponsesDelayed,
    /// Reports to and from the first instance are lost.
    Partition,
    Restart,
    LimitLowered,
    LimitRaised,
    /// The limit ends or returns.
    LimitToggled,
}

const EVENTS: [Event; 8] = [
    Event::Quiet,
    Event::ResponsesLost,
    Event::ResponsesDelayed,
    Event::Partition,
    Event::Restart,
    Event::LimitLowered,
    Event::LimitRaised,
    Event::LimitToggled,
];

struct Response {
    instance: usize,
    sent: Instant,
    limit: Option<f64>,
}

struct Simulation {
    cells: Vec<Cell>,
    next_life: u64,
    start: Instant,
    now: Instant,
    limit: Option<f64>,
    /// Each limit with the time from which it applied.
    limits: Vec<(Instant, Option<f64>)>,
    delayed: Vec<Response>,
    /// When each instance first received a limit since its last start.
    signalled_at: Vec<Option<Instant>>,
    sent: Vec<(Instant, usize)>,
}

fn instance(n: usize, life: u64) -> Cell {
    let all: Vec<InstanceId> = (0..INSTANCES).map(|i| format!("i{i}").as_str().into()).collect();
    let mut cell = match life {
        0 => cell(&all[n], &[endpoint(0, 1000)]),
        _ => Cell::new(all[n].clone(), "z0".into(), life),
    };
    cell.set_endpoints([endpoint(0, 1000)]);
    cell.set_sharing_instances(all.iter(), all.iter(), Default::default());
    cell
}

impl Simulation {
    fn new() -> Simulation {
        let start = Instant::now() + Duration::from_secs(60);
        Simulation {
            cells: (0..INSTANCES).map(|n| instance(n, 0)).collect(),
            next_life: 1,
            start,
            now: start,
            limit: Some(LIMIT),
            limits: vec![(start, Some(LIMIT))],
            delayed: Vec::new(),
            signalled_at: vec![None; INSTANCES],
            sent: Vec::new(),
        }
    }

    fn set_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
        self.limits.push((self.now, limit));
    }

    fn step(&mut self, event: Event) {
        self.now += STEP;
        match event {
            Event::LimitLowered => self.set_limit(self.limit.map(|_| 0.5)),
            Event::LimitRaised => self.set_limit(self.limit.map(|_| 4.0)),
            Event::LimitToggled => {
                self.set_limit(if self.limit.is_some() { None } else { Some(LIMIT) })
            }
            Event::Restart => {
                self.cells[0] = instance(0, self.next_life);
                self.next_life += 1;
                self.signalled_at[0] = None;
            }
            _ => {}
        }
        let mut responses = Vec::new();
        for n in 0..INSTANCES {
            for _ in 0..self.send_all(n) {
                self.sent.push((self.now, n));
                responses.push(Response { instance: n, sent: self.now, limit: self.limit });
            }
        }
        if event == Event::ResponsesLost {
            responses.retain(|response| response.instance != 0);
        }
        let delayed = std::mem::take(&mut self.delayed);
        if event == Event::ResponsesDelayed {
            let (later, on_time) =
                responses.into_iter().partition(|response| response.instance == 0);
            (self.delayed, responses) = (later, on_time);
        }
        responses.into_iter().chain(delayed).for_each(|response| self.deliver(&response));
        self.report(event);
    }

    fn send_all(&mut self, n: usize) -> usize {
        let (cell, now) = (&mut self.cells[n], self.now);
        let tickets: Vec<_> =
            (0..REQUESTS_PER_STEP).map(|_| cell.enqueue(want(0, 1, now - 20 * MS))).collect();
        let sent = cell.assign(now).len();
        tickets.into_iter().for_each(|ticket| _ = cell.dequeue(ticket));
        (0..sent).for_each(|_| cell.finish(now, key("e0"), 1, Outcome::Good));
        sent
    }

    fn deliver(&mut self, response: &Response) {
        let at = self.now + 100 * MS;
        let rate_limit = response.limit.map_or(SignalValue::Nothing, SignalValue::Value);
        let signals = Signals { rate_limit, ..Signals::default() };
        self.cells[response.instance].apply_signals(at, key("e0"), response.sent, signals);
        if response.limit.is_some() {
            self.signalled_at[response.instance].get_or_insert(at);
        }
    }

    fn report(&mut self, event: Event) {
        let at = self.now + 200 * MS;
        for from in 0..INSTANCES {
            let report = self.cells[from].report(at, ReportDetail::Full);
            for to in (0..INSTANCES).filter(|to| *to != from) {
                if event != Event::Partition || (from != 0 && to != 0) {
                    self.cells[to].receive_report(at + 5 * MS, report.clone(), true);
                }
            }
        }
    }

    /// Returns the maximum number of requests in the window from `from`, by the highest limit that
    /// applied; `None` if there was no limit at some time in the window, or it had applied for less
    /// than 3 s before.
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
        let knows_limit = |n: usize, at: Instant| {
            self.signalled_at[n].is_some_and(|since| since + 500 * MS <= at)
        };
        for (from, _) in &self.sent {
            let Some(allowed) = self.allowed(*from) else { continue };
            let to = *from + Duration::from_secs(4);
            let within =
                self.sent.iter().filter(|(at, n)| at >= from && *at < to && knows_limit(*n, *at));
            let count = within.count();
            let at = from.duration_since(self.start);
            assert!(count as f64 <= allowed, "{history:?}: {count} from {at:?}; allowed {allowed}");
        }
    }
}

fn run_history(history: &[Event]) {
    let mut simulation = Simulation::new();
    history.iter().for_each(|event| simulation.step(*event));
    (0..QUIET_STEPS).for_each(|_| simulation.step(Event::Quiet));
    simulation.check(history);
    let is_known = |cell: &Cell| cell.limited_count() == usize::from(simulation.limit.is_some());
    assert!(simulation.cells.iter().all(is_known), "{history:?}: instances disagree on the limit");
}

#[test]
fn limit_holds_in_every_short_history() {
    let event_count = EVENTS.len();
    for index in 0..event_count.pow(EXPLORED_STEPS) {
        let event = |step: u32| EVENTS[index / event_count.pow(step) % event_count];
        run_history(&(0..EXPLORED_STEPS).map(event).collect::<Vec<_>>());
    }
}

#[test]
fn limit_holds_in_random_long_histories() {
    let mut rng = rand_pcg::Pcg64::seed_from_u64(38);
    for _ in 0..1500 {
        let event = |_| EVENTS[rng.random_range(0..EVENTS.len())];
        run_history(&(0..20).map(event).collect::<Vec<_>>());
    }
}
