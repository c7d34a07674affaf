//! Requests to peers for what they know of the store, and the answers to theirs. Whom to ask is decided by
//! [`oxbowbend_core::snapshot_requests`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{HeaderValue, HOST};
use http::{Method, Request, Response};
use hyper::body::Incoming;
use oxbowbend_clock as clock;
use oxbowbend_core::cell::Report;
use oxbowbend_core::ids::InstanceId;
use oxbowbend_core::snapshot_requests::Scope;
use oxbowbend_http::h1;
use thiserror::Error;

use crate::knowledge::{Answer, Knowledge, Known, Question, METHOD_NOT_FOUND, SNAPSHOT};
use crate::peers::Peers;
use crate::seam::Wire;
use crate::streams::{StreamQuestion, STREAM};
use crate::world;

/// Time limit of a request. One that copies may need another source soon.
const LISTS_TIMEOUT: Duration = Duration::from_millis(500);
/// The same where the answer may bring a configuration, of up to half a megabyte.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Bytes of a question.
const MAX_QUESTION: usize = 64 * 1024;

/// Why a peer did not tell what it knows.
#[derive(Debug, Error)]
enum SnapshotError {
    #[error("{0}")]
    Call(#[from] h1::CallError),
    #[error("cannot read or write it: {0}")]
    Json(#[from] serde_json::Error),
}

impl<W: Wire> Peers<W> {
    /// Chooses a peer that knows more than this instance, of what may be requested now.
    pub(crate) fn choose_peer(&self, now: Instant) -> Option<(InstanceId, SocketAddr)> {
        let state = self.shared.lock();
        let requests = self.requests.lock().expect("no panic under lock");
        let may_request_document = requests.may_request_document(now);
        let is_ahead = |r: &&Report| {
            let has_document = may_request_document && state.has_newer_config(r);
            r.address.is_some() && (has_document || state.has_newer_lists(r))
        };
        let near: Vec<_> = state.cell.live_reports(now).filter(is_ahead).collect();
        let far: Vec<_> = state.cell.remote_reports(now).filter(is_ahead).collect();
        let (near_names, far_names) =
            (near.iter().map(|r| &r.instance), far.iter().map(|r| &r.instance));
        let peer = requests.choose(now, near_names, far_names, &mut rand::rng())?;
        let address = near.iter().chain(&far).find(|r| r.instance == *peer)?.address?;
        Some((peer.clone(), address))
    }

    /// Asks a peer for what it knows, and takes that in.
    pub(crate) async fn request_snapshot(
        self: Arc<Peers<W>>,
        peer: InstanceId,
        address: SocketAddr,
    ) {
        let started_at = clock::now();
        let (known, scope) = self.known(started_at, &peer);
        let (id, limit) = {
            let mut requests = self.requests.lock().expect("no panic under lock");
            let limit = match scope {
                Scope::Document => DOCUMENT_TIMEOUT,
                Scope::Lists => LISTS_TIMEOUT,
            };
            (requests.start(started_at, &peer, scope), limit)
        };
        let knowledge = self.question(address, known, limit).await;
        let now = clock::now();
        let mut requests = self.requests.lock().expect("no panic under lock");
        requests.finish(now, id, knowledge.is_ok());
        drop(requests);
        let took_ms = now.saturating_duration_since(started_at).as_millis();
        match knowledge {
            Ok(knowledge) => {
                // While the store is away, lists are asked for several times a second.
                let level = match scope {
                    Scope::Document => log::Level::Info,
                    Scope::Lists => log::Level::Debug,
                };
                log::log!(
                    level,
                    "event=snapshot_answered peer={peer} scope={scope:?} version={} \
                     document_bytes={} took_ms={took_ms}",
                    knowledge.version,
                    knowledge.document.len()
                );
                self.take_in(&peer, knowledge);
            }
            Err(e) => {
                self.shared.lock().sources.failed(now, &peer);
                log::warn!(
                    "event=snapshot_failed peer={peer} scope={scope:?} took_ms={took_ms} error=\"{e}\""
                );
            }
        }
    }

    async fn question(
        &self,
        address: SocketAddr,
        known: Known,
        limit: Duration,
    ) -> Result<Knowledge, SnapshotError> {
        let (jsonrpc, method) = ("2.0".to_owned(), SNAPSHOT.to_owned());
        let question = Question { jsonrpc, id: 1, method, params: serde_json::to_value(known)? };
        let mut req = Request::new(Bytes::from(serde_json::to_vec(&question)?));
        *req.method_mut() = Method::POST;
        let host =
            HeaderValue::try_from(address.to_string()).expect("an address is a header value");
        req.headers_mut().insert(HOST, host);
        let answer = self.pool.call(address, req, limit).await?;
        let answer: Answer<Knowledge> = serde_json::from_slice(answer.body())?;
        Ok(answer.result)
    }

    fn take_in(&self, instance: &InstanceId, knowledge: Knowledge) {
        let now = clock::now();
        let read = |document: &[u8]| self.wire.table(document).map_err(|e| e.0);
        let teller = match knowledge.has_store {
            true => world::Teller::Follower,
            false => world::Teller::Other,
        };
        let is_same_list = knowledge.endpoints.is_none();
        let said = knowledge.said.clone();
        let snapshot = knowledge.into_snapshot();
        let news = {
            let mut state = self.shared.lock();
            state.cell.merge_endpoint_signals(now, &said, true);
            state.log_said();
            match state.sources.is(instance) {
                _ if is_same_list => state.world.confirm(now, snapshot, read),
                true => {
                    state.sources.copied();
                    state.world.copy(now, snapshot, read)
                }
                false => state.world.learn(now, snapshot, teller, read),
            }
        };
        self.shared.apply(now, &news, "peer");
    }

    /// What need not be told by that instance, and what it is asked for.
    fn known(&self, now: Instant, instance: &InstanceId) -> (Known, Scope) {
        let state = self.shared.lock();
        let version = state.world.table().map_or(0, |t| t.version());
        let theirs = state.cell.live_reports(now).find(|r| r.instance == *instance);
        let is_same = theirs.is_some_and(|r| r.instances_digest == Some(state.roster()));
        let is_old = theirs.is_none_or(|r| r.config_version > version);
        let digest = state.world.is_loaded().then(|| state.world.digest());
        let instances = state.world.is_loaded() && is_same;
        let requests = self.requests.lock().expect("no panic under lock");
        if is_old && requests.may_request_document(now) {
            return (Known { version, digest, instances }, Scope::Document);
        }
        (Known { version: u64::MAX, digest, instances }, Scope::Lists)
    }

    /// Answers another instance's question.
    pub(crate) async fn answer(self: Arc<Peers<W>>, req: Request<Incoming>) -> Response<h1::Whole> {
        let question = match h1::collect(&mut req.into_body(), MAX_QUESTION).await {
            Ok(h1::Collected::Whole(body)) => serde_json::from_slice::<Question>(&body),
            Ok(h1::Collected::Beginning(_)) => {
                log::warn!("event=question_too_large limit={MAX_QUESTION}");
                return Response::new(h1::Whole::default());
            }
            Err(e) => {
                log::debug!("event=question_cut error=\"{e}\"");
                return Response::new(h1::Whole::default());
            }
        };
        let body = match question {
            Ok(question) if question.method == SNAPSHOT => self.answer_snapshot(question),
            Ok(question) if question.method == STREAM => self.answer_stream(question).await,
            _ => None,
        };
        Response::new(h1::Whole::from(body.unwrap_or_else(|| METHOD_NOT_FOUND.to_vec())))
    }

    fn answer_snapshot(&self, question: Question) -> Option<Vec<u8>> {
        let known: Known = serde_json::from_value(question.params).ok()?;
        let result = Knowledge::of(&self.shared, &self.name, self.address);
        let digest = self.shared.lock().world.digest();
        let result = result.without(known, digest, &self.link);
        let id = question.id;
        serde_json::to_vec(&Answer { jsonrpc: "2.0".to_owned(), id, result }).ok()
    }

    async fn answer_stream(&self, question: Question) -> Option<Vec<u8>> {
        let id = question.id;
        let question: StreamQuestion = serde_json::from_value(question.params).ok()?;
        let result = self.shared.answer_for_stream(&question).await;
        serde_json::to_vec(&Answer { jsonrpc: "2.0".to_owned(), id, result }).ok()
    }
}
