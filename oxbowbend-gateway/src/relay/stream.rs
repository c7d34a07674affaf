//! The answer of a stream, passed on as it comes and continued elsewhere where that is allowed.

use std::sync::Arc;

use async_std::future;
use bytes::Bytes;
use futures::Stream;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use oxbowbend_core::cell::Outcome;
use oxbowbend_core::ids::EndpointId;
use thiserror::Error;

use super::events::Events;
use super::job::Job;
use super::run::{log_answered, Failure, Run, Sent};
use super::{until, Relay, Tries, MAX_UNRUN};
use crate::seam::Wire;

/// The stream cannot be brought to its end; the caller's connection is broken off, so that it does
/// not look complete.
#[derive(Debug, Error)]
#[error("the stream broke off")]
pub(crate) struct BrokenOff;

/// A stream that has begun at an endpoint.
pub(crate) struct Streaming {
    run: Run,
    first: Option<Frame<Bytes>>,
    body: Incoming,
}

impl Streaming {
    pub(crate) fn new(run: Run, first: Option<Frame<Bytes>>, body: Incoming) -> Streaming {
        Streaming { run, first, body }
    }
}

/// What came next from the endpoint.
enum Next {
    Data(Bytes),
    End,
    Broken(String),
    Timeout,
}

struct State<W> {
    relay: Relay<W>,
    job: Arc<Job>,
    streaming: Option<Box<Streaming>>,
    events: Events,
    avoid: Vec<EndpointId>,
    sends: u32,
    bytes: usize,
}

/// The frames for the caller.
pub(crate) fn frames<W: Wire>(
    relay: Relay<W>,
    job: Arc<Job>,
    streaming: Box<Streaming>,
) -> impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> {
    let state = State {
        relay,
        events: Events::after(job.ask.after),
        job,
        streaming: Some(streaming),
        avoid: Vec::new(),
        sends: 1,
        bytes: 0,
    };
    futures::stream::unfold(state, |mut state| async move {
        let item = state.next().await?;
        if item.is_err() {
            state.streaming = None;
        }
        Some((item.map(Frame::data), state))
    })
}

impl<W: Wire> State<W> {
    async fn next(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        loop {
            let streaming = self.streaming.as_mut()?;
            match receive(streaming, &self.job).await {
                Next::Data(data) => {
                    let data = match self.job.route.resumable {
                        true => self.events.push(&data),
                        false => data,
                    };
                    if data.is_empty() {
                        continue;
                    }
                    self.bytes += data.len();
                    return Some(Ok(data));
                }
                Next::End => return self.end(),
                Next::Broken(why) => match self.go_on(why).await {
                    true => continue,
                    false => return Some(Err(BrokenOff)),
                },
                Next::Timeout => {
                    self.give_up("the request's time is over", Outcome::Neutral);
                    return Some(Err(BrokenOff));
                }
            }
        }
    }

    fn end(&mut self) -> Option<Result<Bytes, BrokenOff>> {
        let streaming = self.streaming.take()?;
        let rest = self.events.finish();
        log_answered(&self.job, &streaming.run, 200, self.bytes);
        self.relay.note_answer(&self.job);
        streaming.run.end_clean(&self.relay.pool, Outcome::Good);
        (!rest.is_empty()).then_some(Ok(rest))
    }

    fn give_up(&mut self, why: &str, outcome: Outcome) {
        let Some(mut streaming) = self.streaming.take() else { return };
        log::warn!(
            "event=stream_broken id={} fingerprint={:016x} endpoint={} last_event={:?} bytes={} blame={outcome:?} \
             why=\"{why}\"",
            self.job.ask.id,
            self.job.fingerprint,
            streaming.run.endpoint.id,
            self.events.last(),
            self.bytes
        );
        self.avoid.push(streaming.run.endpoint.id.clone());
        streaming.run.end(outcome);
    }

    /// Continues a broken stream at another endpoint, if that is allowed.
    async fn go_on(&mut self, why: String) -> bool {
        let endpoint = self.streaming.as_ref().map(|s| s.run.endpoint.clone());
        self.give_up(&why, Outcome::Bad);
        if let Some(endpoint) = endpoint {
            self.relay.check_end(&self.job, &endpoint, false).await;
        }
        self.events.drop_rest();
        let mut unrun = 0;
        while self.job.route.resumable
            && self.sends < self.job.route.max_attempts
            && unrun < MAX_UNRUN
        {
            if !self.relay.may_repeat(&self.job, "stream_broken") {
                return false;
            }
            let tries = Tries { avoid: self.avoid.clone(), ..Tries::default() };
            let Ok(place) = self.relay.place(&self.job, &tries).await else { return false };
            let endpoint = place.endpoint.id.clone();
            match self.relay.send(&self.job, place, self.events.last()).await {
                Ok(Sent::Stream(_, streaming)) => {
                    self.sends += 1;
                    log::info!(
                        "event=stream_resumed id={} endpoint={endpoint} after={:?}",
                        self.job.ask.id,
                        self.events.last()
                    );
                    self.streaming = Some(streaming);
                    return true;
                }
                Ok(Sent::Whole(_)) => self.sends += 1,
                Err(Failure::Quarantined(_)) => return false,
                Err(failure) if failure.is_not_run() => unrun += 1,
                Err(_) => self.sends += 1,
            }
            self.avoid.push(endpoint);
        }
        false
    }
}

async fn receive(streaming: &mut Streaming, job: &Job) -> Next {
    if let Some(frame) = streaming.first.take() {
        return Next::Data(frame.into_data().unwrap_or_default());
    }
    match future::timeout(until(job.limit), streaming.body.frame()).await {
        Err(_) => Next::Timeout,
        Ok(None) => Next::End,
        Ok(Some(Ok(frame))) => {
            streaming.run.note_event();
            Next::Data(frame.into_data().unwrap_or_default())
        }
        Ok(Some(Err(e))) => Next::Broken(e.to_string()),
    }
}
