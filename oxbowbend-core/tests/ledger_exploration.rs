//! Exhaustive exploration of the ledger: three runs of one keyed request, each crashing, pausing
//! or losing replies at any point, in every order.
//!
//! The bound: three runs, each of which may have one write whose reply is lost and which takes
//! effect at any later time, and any of which may crash once.

use std::collections::{HashSet, VecDeque};

use oxbowbend_core::ledger::{Shard, Step, StepAction, StepResult};

/// Where a run's instance stands.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum RunState {
    Start,
    Held,
    Dispatched,
    Sent,
    /// The caller was told that the request did not run.
    ReportedNotRun,
    /// The caller was told that its fate is not known, or to look elsewhere.
    ReportedUnknown,
    /// The caller got the answer.
    Answered,
    Crashed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    shard: String,
    runs: Vec<RunState>,
    /// Writes on their way whose reply nobody waits for any more: run and step.
    delayed_writes: Vec<(usize, Action)>,
    /// Requests that reached the endpoint, by run.
    executed: Vec<usize>,
    /// Replies lost so far.
    lost_replies: u8,
    /// Whether a caller was told "not run" when some copy of the request had run already.
    reported_after_run: bool,
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
enum Mutation {
    Unmodified,
    /// A holder sends without entering the dispatch.
    SendWithoutDispatch,
    /// A write whose reply is lost is taken to have failed.
    LostReplyMeansFailure,
    /// A holder that was taken over may still dispatch.
    NoRunInStep,
    /// "Not run" is said without releasing the entry.
    NotRunWithoutRelease,
}

const RUNS: usize = 3;
const MAX_LOST_REPLIES: u8 = 2;

fn step(run: usize, action: Action, mutation: Mutation) -> Step {
    let run_id = if mutation == Mutation::NoRunInStep { 0 } else { run };
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

fn apply(state: &mut State, run: usize, action: Action, mutation: Mutation) -> StepResult {
    let mut shard: Shard = serde_json::from_str(&state.shard).expect("shards are JSON");
    let result = shard.apply(0, &step(run, action, mutation));
    state.shard = serde_json::to_string(&shard).expect("shards are JSON");
    result
}

/// Where a run goes on a verdict.
fn state_after(action: Action, result: &StepResult) -> RunState {
    match (action, result) {
        (Action::Hold | Action::TakeOver, StepResult::Applied) => RunState::Held,
        // A holder may be dead: the copy tries to take over.
        (Action::Hold, StepResult::HeldBy { .. }) => RunState::Start,
        (Action::Dispatch, StepResult::Applied) => RunState::Dispatched,
        (Action::Release, StepResult::Applied) => RunState::ReportedNotRun,
        _ => RunState::ReportedUnknown,
    }
}

fn successors(state: &State, mutation: Mutation) -> Vec<State> {
    let mut next = Vec::new();
    for run in 0..RUNS {
        let actions: &[Action] = match state.runs[run] {
            RunState::Start => &[Action::Hold, Action::TakeOver],
            RunState::Held => &[Action::Dispatch, Action::Release],
            _ => &[],
        };
        for action in actions {
            push_write(state, run, *action, mutation, &mut next);
        }
        match state.runs[run] {
            RunState::Dispatched => next.push(send(state, run)),
            RunState::Held if mutation == Mutation::SendWithoutDispatch => {
                next.push(send(state, run))
            }
            RunState::Held if mutation == Mutation::NotRunWithoutRelease => {
                let mut reported = state.clone();
                reported.runs[run] = RunState::ReportedNotRun;
                next.push(reported);
            }
            RunState::Sent => {
                let mut answered = state.clone();
                answered.runs[run] = RunState::Answered;
                next.push(answered);
            }
            _ => {}
        }
        if !matches!(
            state.runs[run],
            RunState::Crashed
                | RunState::ReportedNotRun
                | RunState::ReportedUnknown
                | RunState::Answered
        ) {
            let mut crashed = state.clone();
            crashed.runs[run] = RunState::Crashed;
            next.push(crashed);
        }
    }
    for i in 0..state.delayed_writes.len() {
        let mut arrived = state.clone();
        let (run, action) = arrived.delayed_writes.remove(i);
        apply(&mut arrived, run, action, mutation);
        next.push(arrived);
    }
    next
}

fn push_write(
    state: &State,
    run: usize,
    action: Action,
    mutation: Mutation,
    next: &mut Vec<State>,
) {
    let mut done = state.clone();
    let result = apply(&mut done, run, action, mutation);
    done.runs[run] = state_after(action, &result);
    next.push(done);
    if state.lost_replies >= MAX_LOST_REPLIES {
        return;
    }
    // The reply is lost: the write takes effect now, later, or never. The daemon asks again, or
    // gives up and says "unknown".
    for when in ["now", "later", "never"] {
        let mut lost = state.clone();
        lost.lost_replies += 1;
        match when {
            "now" => {
                apply(&mut lost, run, action, mutation);
            }
            "later" => {
                lost.delayed_writes.push((run, action));
                lost.delayed_writes.sort();
            }
            _ => {}
        }
        // Asking again means to stay where it is.
        next.push(lost.clone());
        lost.runs[run] = match (mutation, action) {
            (Mutation::LostReplyMeansFailure, Action::Dispatch | Action::Release) => {
                RunState::ReportedNotRun
            }
            _ => RunState::ReportedUnknown,
        };
        next.push(lost);
    }
}

fn send(state: &State, run: usize) -> State {
    let mut sent = state.clone();
    sent.runs[run] = RunState::Sent;
    sent.executed.push(run);
    sent
}

/// Notes it if a step told a caller "not run" of a request that had run.
fn check_report(before: &State, mut after: State) -> State {
    let reported =
        |s: &State| s.runs.iter().filter(|run| **run == RunState::ReportedNotRun).count();
    after.reported_after_run |= reported(&after) > reported(before) && !after.executed.is_empty();
    after
}

fn violation(state: &State) -> Option<String> {
    if state.reported_after_run {
        return Some("a caller was told that a request did not run that had run".to_owned());
    }
    if state.executed.len() > 1 {
        return Some(format!("ran {} times", state.executed.len()));
    }
    let reported = (0..RUNS)
        .find(|run| state.runs[*run] == RunState::ReportedNotRun && state.executed.contains(run));
    reported.map(|run| format!("run {run} ran though its caller was told that it did not"))
}

/// Explores breadth first; returns the number of states, or what was found.
fn explore(mutation: Mutation) -> Result<usize, String> {
    let start = State {
        shard: serde_json::to_string(&Shard::default()).expect("shards are JSON"),
        runs: vec![RunState::Start; RUNS],
        delayed_writes: Vec::new(),
        executed: Vec::new(),
        lost_replies: 0,
        reported_after_run: false,
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut queue = VecDeque::from([start]);
    while let Some(state) = queue.pop_front() {
        if let Some(found) = violation(&state) {
            return Err(format!("{found} in {state:?}"));
        }
        for next in successors(&state, mutation) {
            let next = check_report(&state, next);
            if seen.insert(next.clone()) {
                queue.push_back(next);
            }
        }
    }
    Ok(seen.len())
}

#[test]
fn no_order_of_events_runs_a_request_twice() {
    let states = explore(Mutation::Unmodified).expect("nothing is violated");
    // The number is part of the proof: a smaller one would mean that less was explored.
    assert_eq!(states, STATES);
    println!("{states} states");
}

/// States within the bound.
const STATES: usize = 63061;

#[test]
fn exploration_detects_every_mutation() {
    for mutation in [
        Mutation::SendWithoutDispatch,
        Mutation::LostReplyMeansFailure,
        Mutation::NoRunInStep,
        Mutation::NotRunWithoutRelease,
    ] {
        let found = explore(mutation);
        assert!(found.is_err(), "{mutation:?} was not noticed");
    }
}
