//! Where events meet the node's decisions, and decisions become deeds.
//!
//! The node is behind one lock. Actions are carried out before the lock is released, so that
//! messages to one instance leave in the order in which they were decided; carrying out means no
//! more than putting something into a queue.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use async_std::channel::{bounded, unbounded, Receiver, Sender};
use oxbowbend_clock as clock;
use oxbowbend_core::ids;
use oxbowbend_core::message;
use oxbowbend_core::node;

/// Decisions that can be pending for one request; each is answered before the next is made.
const MAX_PENDING: usize = 8;

/// A decision on a waiting request.
#[derive(Clone, Debug)]
pub(crate) enum Decision {
    /// Dispatch it as granted, unless too much time has passed since.
    Dispatch {
        /// The grant.
        grant: message::Grant,
        /// When this instance accepted it.
        at: Instant,
    },
    /// Give the caller its final answer.
    Refuse {
        /// Why.
        reason: message::RefusalReason,
        /// When to come back.
        retry_after: std::time::Duration,
    },
}

/// A question to an endpoint.
#[derive(Clone, Debug)]
pub(crate) enum Question {
    /// Whether a run is over.
    Run(oxbowbend_core::ids::EndpointId, message::GrantId),
    /// How many requests it has.
    Load(oxbowbend_core::ids::EndpointId),
}

/// The node with its surroundings.
pub(crate) struct Hub {
    me: ids::InstanceId,
    node: Mutex<node::Node>,
    waiters: Mutex<HashMap<ids::RequestId, Sender<Decision>>>,
    outgoing: Sender<(ids::InstanceId, message::Message)>,
    questions: Sender<Question>,
}

/// Ends of the hub's queues.
pub(crate) struct Queues {
    /// Messages to other instances.
    pub(crate) outgoing: Receiver<(ids::InstanceId, message::Message)>,
    /// Questions to endpoints.
    pub(crate) questions: Receiver<Question>,
}

impl Hub {
    /// Creates the hub of an instance.
    pub(crate) fn new(me: ids::InstanceId, zone: &str) -> (Hub, Queues) {
        let (outgoing, outgoing_rx) = unbounded();
        let (questions, questions_rx) = unbounded();
        let hub = Hub {
            node: Mutex::new(node::Node::new(me.clone(), zone.into(), rand::random())),
            me,
            waiters: Mutex::new(HashMap::new()),
            outgoing,
            questions,
        };
        (hub, Queues { outgoing: outgoing_rx, questions: questions_rx })
    }

    /// This instance.
    pub(crate) fn me(&self) -> &ids::InstanceId {
        &self.me
    }

    /// The node, to look at.
    pub(crate) fn node(&self) -> MutexGuard<'_, node::Node> {
        self.node.lock().expect("no panic under lock")
    }

    /// Feeds an event to the node and carries out what it decides.
    pub(crate) fn feed(&self, event: node::Event) {
        self.feed_all([event]);
    }

    /// Feeds several events, as one batch of messages.
    pub(crate) fn feed_all(&self, events: impl IntoIterator<Item = node::Event>) {
        let mut node = self.node();
        for event in events {
            for action in node.handle(clock::now(), event) {
                self.perform(action);
            }
        }
    }

    fn perform(&self, action: node::Action) {
        match action {
            node::Action::Send { to, message } => {
                self.outgoing.try_send((to, message)).ok();
            }
            node::Action::Dispatch(grant) => {
                let at = clock::now();
                self.tell(&grant.request.clone(), Decision::Dispatch { grant, at });
            }
            node::Action::Refuse { request, reason, retry_after } => {
                self.tell(&request, Decision::Refuse { reason, retry_after });
            }
            node::Action::QueryRun { endpoint, grant } => {
                self.questions.try_send(Question::Run(endpoint, grant)).ok();
            }
            node::Action::QueryLoad(endpoint) => {
                self.questions.try_send(Question::Load(endpoint)).ok();
            }
        }
    }

    fn tell(&self, request: &str, decision: Decision) {
        let waiters = self.waiters.lock().expect("no panic under lock");
        match waiters.get(request) {
            Some(tx) => {
                tx.try_send(decision).ok();
            }
            None => log::warn!("hub: Nobody waits for {request}."),
        }
    }

    /// Brings in a request; decisions on it come through the ticket.
    pub(crate) fn arrive(self: &Arc<Hub>, record: message::RequestInfo) -> Ticket {
        let (tx, rx) = bounded(MAX_PENDING);
        let id = record.id.clone();
        self.waiters.lock().expect("no panic under lock").insert(id.clone(), tx);
        self.feed(node::Event::Arrive(record));
        Ticket { hub: self.clone(), id, decisions: rx }
    }
}

/// A request's place in the hub. Dropping it takes the request out of the queue if it waits; a
/// run must be ended by [`Ticket::finish`], or its permits stay in use.
pub(crate) struct Ticket {
    hub: Arc<Hub>,
    id: ids::RequestId,
    decisions: Receiver<Decision>,
}

impl Ticket {
    /// The next decision on the request.
    pub(crate) async fn decision(&self) -> Decision {
        match self.decisions.recv().await {
            Ok(decision) => decision,
            Err(_) => Decision::Refuse {
                reason: message::RefusalReason::Unavailable,
                retry_after: std::time::Duration::from_secs(1),
            },
        }
    }

    /// Takes the request out of the queue; `false` means that it has been granted meanwhile.
    pub(crate) fn withdraw(&self) -> bool {
        self.hub.feed(node::Event::Withdraw(self.id.clone()));
        self.hub.node().ingress().attempt(&self.id).is_none()
    }

    /// Ends the run.
    pub(crate) fn finish(&self, report: message::RunReport) {
        self.hub.feed(node::Event::Finish { request: self.id.clone(), report });
    }

    /// Puts the request back into the queue, because the run never began. The report tells what
    /// that says of the endpoint.
    pub(crate) fn requeue(&self, report: message::RunReport) {
        self.hub.feed(node::Event::Requeue { request: self.id.clone(), report });
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.hub.feed(node::Event::Withdraw(self.id.clone()));
        self.hub.waiters.lock().expect("no panic under lock").remove(&self.id);
    }
}
