//! What is newly known of the store, and its lines in the log.

use oxbowbend_core::ids::{EndpointId, ServiceId, VersionId};
use oxbowbend_core::rollout::{RolloutSpec, Status};
use oxbowbend_core::routes::Endpoint;

use crate::observe;
use crate::seam::{Position, Revision, UnreadableEntry};

/// A change of what is known, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A configuration came in force.
    Config(u64),
    /// An older configuration was not taken.
    OldConfig(u64),
    /// A configuration could not be read.
    BadConfig(String),
    /// An endpoint is new or has changed.
    Endpoint(Endpoint),
    /// An endpoint has started again.
    Restarted(Endpoint),
    /// The entry of an earlier start of an endpoint was not taken.
    EarlierStart(Endpoint),
    /// The entry of an endpoint that began before another one at its address came after that one's, and is held back.
    Late(Endpoint),
    /// An endpoint has gone.
    EndpointGone(EndpointId),
    /// An entry cannot be read.
    Unreadable(UnreadableEntry),
    /// A roll-out is ordered.
    Rollout(RolloutSpec),
    /// The order of a service's roll-out was taken back.
    RolloutCancelled(ServiceId),
    /// What the store says of a roll-out.
    RolloutStatus {
        /// The service.
        service: ServiceId,
        /// The version.
        destination: VersionId,
        /// The status.
        status: Status,
    },
    /// The store has come back from an older copy.
    Restored {
        /// What was known of it before.
        before: Position,
        /// Where it is now.
        now: Position,
    },
    /// What the store said before it came back from an older copy was not taken.
    Outdated(Position),
}

impl News {
    /// Whether another set of endpoints is in force since.
    pub(crate) fn is_of_endpoints(&self) -> bool {
        matches!(
            self,
            News::Endpoint(_) | News::Restarted(_) | News::Late(_) | News::EndpointGone(_)
        )
    }

    /// Writes the line of the log, with the store's revision and from whom it was learned.
    pub(crate) fn log(&self, revision: Revision, source: &str) {
        match self {
            News::Config(version) => {
                log::info!(
                    "event=config_in_force version={version} revision={revision} source={source}"
                );
            }
            News::OldConfig(version) => {
                log::warn!(
                    "event=config_older version={version} revision={revision} source={source}"
                );
            }
            News::BadConfig(e) => {
                log::error!(
                    "event=config_unreadable revision={revision} source={source} error=\"{e}\""
                );
            }
            News::Endpoint(e) => log_endpoint("endpoint", e, revision, source),
            News::Restarted(e) => log_endpoint("endpoint_restarted", e, revision, source),
            News::EarlierStart(e) => {
                observe::entry_doubted("earlier_start");
                log_endpoint("endpoint_earlier_start", e, revision, source);
            }
            News::Late(e) => {
                observe::entry_doubted("late");
                log_endpoint("endpoint_entered_late", e, revision, source);
            }
            News::EndpointGone(id) => {
                log::info!("event=endpoint_gone endpoint={id} revision={revision} source={source}");
            }
            News::Unreadable(UnreadableEntry { names, why }) => {
                observe::entry_doubted("unreadable");
                log::warn!(
                    "event=entry_unreadable revision={revision} source={source} names={names:?} \
                     why=\"{why}\""
                );
            }
            News::Restored { before, now } => {
                log::warn!(
                    "event=store_restored epoch={} revision={} epoch_before={} revision_before={} \
                     source={source}",
                    now.epoch,
                    now.revision,
                    before.epoch,
                    before.revision
                );
            }
            News::Rollout(RolloutSpec { service, destination, duration }) => {
                log::info!(
                    "event=rollout_ordered service={service} destination={destination} \
                     duration_ms={} revision={revision} source={source}",
                    duration.as_millis()
                );
            }
            News::RolloutCancelled(service) => {
                log::info!(
                    "event=rollout_cancelled service={service} revision={revision} source={source}"
                );
            }
            News::RolloutStatus { service, destination, status } => {
                log::info!(
                    "event=rollout_status_read service={service} destination={destination} \
                     status={status:?} revision={revision}"
                );
            }
            News::Outdated(position) => log_outdated(*position, source),
        }
    }
}

/// Writes the line for an answer of an earlier epoch of the store.
pub(crate) fn log_outdated(Position { epoch, revision }: Position, source: &str) {
    log::warn!("event=store_answer_outdated epoch={epoch} revision={revision} source={source}");
}

fn log_endpoint(event: &str, e: &Endpoint, revision: Revision, source: &str) {
    log::info!(
        "event={event} endpoint={} service={} address={} zone={} slots={} leaving={} born={} \
         revision={revision} source={source}",
        e.id,
        e.service,
        e.address,
        e.zone,
        e.slots,
        e.leaving,
        e.started_at_ms
    );
}
