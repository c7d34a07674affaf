//! Exhaustive exploration of the ledger: three runs of one keyed request, each crashing, pausing
//! or losing replies at any point, in every order.
//!
//! The bound: three runs, each of which may have one write whose reply is lost and which takes
//! effect at any later time, and any of which may crash once.

use std::collections::{HashSet, VecDeque};

use oxbowbend_core::ledger::{Shard, Step, StepAction, StepResult};

/// Where a run's instance stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum At {
    Start,
    Held,
    Dispatched,
    Sent,
    /// The caller was told that the request did not run.
    ToldNotRun,
    /// The caller was told that its fate is not known, or to look elsewhere.
    ToldUnknown,
    /// The caller got the answer.
    Answered,
    Crashed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    shard: String,
    at: Vec<At>,
    /// Writes on their way whose reply nobody waits for any more: run and step.
    late: Vec<(usize, Action)>,
    /// Requests that reached the endpoint, by run.
    ran: Vec<usize>,
    /// Replies lost so far.
    lost_replies: u8,
    /// Whether a caller was told "not run" when some copy of the request had run already.
    told_after_run: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Action {
    Hold,
    TakeOver,
    Dispatch,
    Release,
}

/// Mechanisms that can be broken on purpose, to show that the exploration would notice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Broken {
    Nothing,
    /// A holder sends without entering the dispatch.
    SendWithoutDispatch,
    /// A write whose reply is lost is taken to have failed.
    LostMeansFailed,
    /// A holder that was taken over may still dispatch.
    NoRunInSteps,
    /// "Not run" is said without releasing the entry.
    NotRunWithoutRelease,
}

const RUNS: usize = 3;
const MAX_LOST: u8 = 2;

fn step(run: usize, action: Action, broken: Broken) -> Step {
    let run_id = if broken == Broken::NoRunInSteps { 0 } else { run };
    let action = match action {
        Action::Hold | Action::TakeOver => StepAction::Hold {
            holder: format!("i{run}").into(),
            body_digest: 1,
            takeover: action == Action::TakeOver,
            retention_s: 1000,
        },
        Action::Dispatch => StepAction::Dispatch { endpoint: "e".into() },
        Action::Release => StepAction::Release,
    };
    Step { key: "k".into(), run: format!("r{run_id}").into(), action }
}

fn apply(state: &mut State, run: usize, action: Action, broken: Broken) -> StepResult {
    let mut shard: Shard = serde_json::from_str(&state.shard).expect("shards are JSON");
    let result = shard.apply(0, &step(run, action, broken));
    state.shard = serde_json::to_string(&shard).expect("shards are JSON");
    result
}

/// Where a run goes on a verdict.
fn after(action: Action, result: &StepResult) -> At {
    match (action, result) {
        (Action::Hold | Action::TakeOver, StepResult::Applied) => At::Held,
        // A holder may be dead: the copy tries to take over.
        (Action::Hold, StepResult::HeldBy { .. }) => At::Start,
        (Action::Dispatch, StepResult::Applied) => At::Dispatched,
        (Action::Release, StepResult::Applied) => At::ToldNotRun,
        _ => At::ToldUnknown,
    }
}

fn successors(state: &State, broken: Broken) -> Vec<State> {
    let mut next = Vec::new();
    for run in 0..RUNS {
        let actions: &[Action] = match state.at[run] {
            At::Start => &[Action::Hold, Action::TakeOver],
            At::Held => &[Action::Dispatch, Action::Release],
            _ => &[],
        };
        for action in actions {
            push_write(state, run, *action, broken, &mut next);
        }
        match state.at[run] {
            At::Dispatched => next.push(send(state, run)),
            At::Held if broken == Broken::SendWithoutDispatch => next.push(send(state, run)),
            At::Held if broken == Broken::NotRunWithoutRelease => {
                let mut told = state.clone();
                told.at[run] = At::ToldNotRun;
                next.push(told);
            }
            At::Sent => {
                let mut answered = state.clone();
                answered.at[run] = At::Answered;
                next.push(answered);
            }
            _ => {}
        }
        if !matches!(state.at[run], At::Crashed | At::ToldNotRun | At::ToldUnknown | At::Answered) {
            let mut crashed = state.clone();
            crashed.at[run] = At::Crashed;
            next.push(crashed);
        }
    }
    for i in 0..state.late.len() {
        let mut arrived = state.clone();
        let (run, action) = arrived.late.remove(i);
        apply(&mut arrived, run, action, broken);
        next.push(arrived);
    }
    next
}

fn push_write(state: &State, run: usize, action: Action, broken: Broken, next: &mut Vec<State>) {
    let mut done = state.clone();
    let result = apply(&mut done, run, action, broken);
    done.at[run] = after(action, &result);
    next.push(done);
    if state.lost_replies >= MAX_LOST {
        return;
    }
    // The reply is lost: the write takes effect now, later, or never. The daemon asks again, or
    // gives up and says "unknown".
    for when in ["now", "later", "never"] {
        let mut lost = state.clone();
        lost.lost_replies += 1;
        match when {
            "now" => {
                apply(&mut lost, run, action, broken);
            }
            "later" => {
                lost.late.push((run, action));
                lost.late.sort();
            }
            _ => {}
        }
        // Asking again means to stay where it is.
        next.push(lost.clone());
        lost.at[run] = match (broken, action) {
            (Broken::LostMeansFailed, Action::Dispatch | Action::Release) => At::ToldNotRun,
            _ => At::ToldUnknown,
        };
        next.push(lost);
    }
}

fn send(state: &State, run: usize) -> State {
    let mut sent = state.clone();
    sent.at[run] = At::Sent;
    sent.ran.push(run);
    sent
}

/// Notes it if a step told a caller "not run" of a request that had run.
fn note_told(before: &State, mut after: State) -> State {
    let told = |s: &State| s.at.iter().filter(|at| **at == At::ToldNotRun).count();
    after.told_after_run |= told(&after) > told(before) && !after.ran.is_empty();
    after
}

fn violation(state: &State) -> Option<String> {
    if state.told_after_run {
        return Some("a caller was told that a request did not run that had run".to_owned());
    }
    if state.ran.len() > 1 {
        return Some(format!("ran {} times", state.ran.len()));
    }
    let told = (0..RUNS).find(|run| state.at[*run] == At::ToldNotRun && state.ran.contains(run));
    told.map(|run| format!("run {run} ran though its caller was told that it did not"))
}

/// Explores breadth first; returns the number of states, or what was found.
fn explore(broken: Broken) -> Result<usize, String> {
    let start = State {
        shard: serde_json::to_string(&Shard::default()).expect("shards are JSON"),
        at: vec![At::Start; RUNS],
        late: Vec::new(),
        ran: Vec::new(),
        lost_replies: 0,
        told_after_run: false,
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        if let Some(found) = violation(&state) {
            return Err(format!("{found} in {state:?}"));
        }
        for next in successors(&state, broken) {
            let next = note_told(&state, next);
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_order_of_events_runs_a_request_twice() {
    let states = explore(Broken::Nothing).expect("nothing is violated");
    // The number is part of the proof: a smaller one would mean that less was explored.
    assert_eq!(states, STATES);
    println!("{states} states");
}

/// States within the bound.
const STATES: usize = 63061;

#[test]
fn the_exploration_catches_broken_mechanisms() {
    for broken in [
        Broken::SendWithoutDispatch,
        Broken::LostMeansFailed,
        Broken::NoRunInSteps,
        Broken::NotRunWithoutRelease,
    ] {
        let found = explore(broken);
        assert!(found.is_err(), "{broken:?} was not noticed");
    }
}
