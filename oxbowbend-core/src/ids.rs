//! Identifiers used across the crate, as type aliases.

use std::sync::Arc;

/// One incarnation of an instance. A restarted instance gets a new one, never an old one again.
pub type InstanceId = Arc<str>;
/// One caller's request; it doubles as the run id at the endpoint.
pub type RequestId = Arc<str>;
/// A declared endpoint.
pub type EndpointId = Arc<str>;
/// One start of an endpoint, as instances name it to each other: a hash of its id and of when it began. Two of
/// a thousand endpoints share one in 8,000 fleets, and then count as one for their load.
pub type EndpointKey = u32;
/// A declared client account.
pub type AccountId = Arc<str>;
/// A declared service.
pub type ServiceId = Arc<str>;
/// Version of an endpoint's software.
pub type VersionId = Arc<str>;
/// A pool: the endpoints that serve one model or service inside one place.
pub type PoolId = Arc<str>;
/// A declared place.
pub type LocationId = Arc<str>;
/// An availability zone.
pub type ZoneId = Arc<str>;
/// Rank of a tier; 0 is the highest.
pub type TierLevel = u8;
/// Number of a request's attempt to be granted. A higher one voids every earlier grant.
pub type Attempt = u32;
/// Version of the platform's instance list.
pub type InstanceListVersion = u64;
/// Revision of the configuration.
pub type ConfigRevision = u64;
