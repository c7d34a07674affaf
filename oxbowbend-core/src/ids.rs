//! Identifiers used across the crate, as type aliases.

use std::sync::Arc;

/// One run of an instance. A restarted instance gets a new id that was never used before.
pub type InstanceId = Arc<str>;
/// A caller's request; also used as the run id at the endpoint.
pub type RequestId = Arc<str>;
/// An endpoint declared in the configuration.
pub type EndpointId = Arc<str>;
/// One run of an endpoint in messages between instances: a hash of its id and start time. The load
/// of endpoints with colliding keys is added up; a collision occurs in about one of 8,000 fleets of
/// 1,000 endpoints.
pub type EndpointKey = u32;
/// A client account declared in the configuration.
pub type AccountId = Arc<str>;
/// A service declared in the configuration.
pub type ServiceId = Arc<str>;
/// The software version of an endpoint.
pub type VersionId = Arc<str>;
/// A stream, named by the client's attempt that began it: a hash of client account and request id.
pub type StreamKey = u64;
/// A pool: the endpoints that serve one model or service at one location.
pub type PoolId = Arc<str>;
/// A location declared in the configuration.
pub type LocationId = Arc<str>;
/// An availability zone.
pub type ZoneId = Arc<str>;
/// Priority of a tier; 0 is the highest.
pub type TierLevel = u8;
/// Number of a request's attempt to obtain a grant. Grants of lower attempts are void.
pub type Attempt = u32;
/// Version of the platform's instance list.
pub type InstanceListVersion = u64;
/// A revision of the configuration.
pub type ConfigRevision = u64;
