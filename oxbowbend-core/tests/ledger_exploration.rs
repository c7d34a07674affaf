//! Exhaustive exploration of the ledger for three runs with the same key.
//!
//! Each run may crash once. Up to two replies are lost, in which case the write takes effect at
//! once, later or never.

use std::collections::{HashSet, VecDeque};

use oxbowbend_core::ledger::{Shard, Step, StepAction, StepResult};

/// State of one run at its ingress instance.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum RunState {
    Start,
    Held,
    Dispatched,
    Sent,
    /// The caller was told that the request was not run.
    ReportedNotRun,
    /// The caller was told that the outcome is unknown or that another run has the request.
    ReportedUnknown,
    /// The caller received the response.
    Answered,
    Crashed,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    shard: String,
    runs: Vec<RunState>,
    /// Writes that have not arrived yet and whose reply is lost, as run and action.
    delayed_writes: Vec<(usize, Action)>,
    /// Runs that reached the endpoint.
    executed: Vec<usize>,
    /// Replies lost so far.
    lost_replies: u8,
    /// Whether a caller was told that the request was not run after a run had reached the endpoint.
    reported_after_run: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Action {
    Hold,
    TakeOver,
    Dispatch,
    Release,
}

/// Deliberate errors that the exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mutation {
    Unmodified,
    /// A holder sends without a dispatch step.
    SendWithoutDispatch,
    /// A write whose reply is lost is considered failed.
    LostReplyMeansFailure,
    /// A holder may dispatch after a takeover.
    NoRunInStep,
    /// A caller is told that the request was not run while the entry is still held.
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

/// Returns the state of a run after a step.
fn state_after(action: Action, result: &StepResult) -> RunState {
    match (action, result) {
        (Action::Hold | Action::TakeOver, StepResult::Applied) => RunState::Held,
        // The holder may have failed, so the run may take over.
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
    // The reply is lost, and the write takes effect now, later or never. The daemon retries, or
    // reports an unknown outcome.
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
        // A retry starts from the unchanged run state.
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

/// Records whether a step reported a request as not run that had reached the endpoint.
fn check_report(before: &State, mut after: State) -> State {
    let reported =
        |s: &State| s.runs.iter().filter(|run| **run == RunState::ReportedNotRun).count();
    after.reported_after_run |= reported(&after) > reported(before) && !after.executed.is_empty();
    after
}

fn violation(state: &State) -> Option<String> {
    if state.reported_after_run {
        return Some("a request was reported as not run after it had run".to_owned());
    }
    if state.executed.len() > 1 {
        return Some(format!("the request ran {} times", state.executed.len()));
    }
    let reported = (0..RUNS)
        .find(|run| state.runs[*run] == RunState::ReportedNotRun && state.executed.contains(run));
    reported.map(|run| format!("run {run} was reported as not run but did run"))
}

/// Explores breadth-first; returns the number of states, or the first violation.
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
    let states = explore(Mutation::Unmodified).expect("there is no violation");
    // A smaller number means that the exploration was incomplete.
    assert_eq!(states, STATES);
    println!("{states} states");
}

/// Number of reachable states.
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
        assert!(found.is_err(), "{mutation:?} was not detected");
    }
}
