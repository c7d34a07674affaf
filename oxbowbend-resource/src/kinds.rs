//! The kinds of resources that operators declare.
//!
//! Every field of a specification has a default when it is read, so that one pass of
//! [`crate::check`] can name all that is missing instead of the first.

use serde::{Deserialize, Serialize};

/// The kind of a resource.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Kind {
    /// Who may send requests, and how many.
    ClientAccount,
    /// How urgent requests are.
    Tier,
    /// Where requests may be handled.
    Place,
    /// What runs requests.
    Endpoint,
    /// A model that endpoints serve.
    Model,
    /// A plain service that endpoints serve.
    Service,
}

impl Kind {
    /// All kinds, in the order in which they are listed.
    pub const ALL: [Kind; 6] =
        [Kind::ClientAccount, Kind::Tier, Kind::Place, Kind::Endpoint, Kind::Model, Kind::Service];

    /// The kind's name as it stands in files and paths.
    pub fn name(self) -> &'static str {
        match self {
            Kind::ClientAccount => "ClientAccount",
            Kind::Tier => "Tier",
            Kind::Place => "Place",
            Kind::Endpoint => "Endpoint",
            Kind::Model => "Model",
            Kind::Service => "Service",
        }
    }

    /// Finds a kind by its name, whatever the case, or by its plural.
    ///
    /// ```
    /// use oxbowbend_resource::kinds::Kind;
    /// assert_eq!(Kind::find("endpoints"), Some(Kind::Endpoint));
    /// assert_eq!(Kind::find("clientaccount"), Some(Kind::ClientAccount));
    /// assert_eq!(Kind::find("node"), None);
    /// ```
    pub fn find(name: &str) -> Option<Kind> {
        let name = name.to_ascii_lowercase();
        let singular = name.strip_suffix('s').unwrap_or(&name);
        Kind::ALL.into_iter().find(|k| k.name().to_ascii_lowercase() == singular)
    }
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.name())
    }
}

/// Specification of a client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct ClientAccount {
    /// SHA-256 of each bearer key, in hexadecimal. The keys themselves are never stored.
    pub key_hashes: Vec<String>,
    /// Tiers that its requests may ask for; the first is the default.
    pub tiers: Vec<String>,
    /// Places in which its requests may be handled; the first is the default.
    pub places: Vec<String>,
    /// Share of the work of a tier, relative to other accounts.
    pub weight: Option<u32>,
    /// Requests that may run at once, in all pools together.
    pub max_running: Option<u32>,
    /// Requests that may be in one entry instance at once, waiting or running.
    pub max_open: Option<u32>,
}

/// Specification of a tier.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Tier {
    /// Rank; 0 is the highest.
    pub level: Option<u8>,
    /// Deadline of a request that names none.
    pub deadline_seconds: Option<u32>,
}

/// Specification of a place.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Place {
    /// Availability zones that belong to it.
    pub zones: Vec<String>,
}

/// Specification of an endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Endpoint {
    /// Place in which it stands.
    pub place: String,
    /// Address, `ip:port`.
    pub address: String,
    /// Model that it serves; either this or `service`.
    pub model: Option<String>,
    /// Plain service that it serves; either this or `model`.
    pub service: Option<String>,
    /// Requests that it may run at once.
    pub slots: u32,
    /// Hardware generation.
    pub generation: Option<String>,
    /// Prompt tokens per second, as a first estimate.
    pub prefill_rate: Option<f64>,
    /// Output tokens per second and request, as a first estimate.
    pub decode_rate: Option<f64>,
    /// Prompt tokens that its prefix cache holds.
    pub cache_tokens: Option<u64>,
    /// How old its report of its load may be.
    pub report_lag_seconds: Option<u32>,
    /// Whether it is leaving and receives no new work.
    pub leaving: bool,
    /// Whether it refuses orders that carry an old fencing number.
    pub checks_fencing: bool,
    /// Adapters that it is to have loaded.
    pub adapters: Vec<Adapter>,
}

/// An adapter of a model.
#[derive(Clone, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Adapter {
    /// Name under which it is served.
    pub name: String,
    /// Where it lies in the weight store.
    pub path: String,
}

/// Specification of a model.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Model {
    /// Waiting requests of one pool above which it sheds.
    pub queue_bound: Option<u32>,
    /// Output tokens expected of a request that states no limit.
    pub output_tokens: Option<u32>,
    /// How much more a second of prefill counts than a second of decoding when an endpoint is
    /// chosen; 0 for no more.
    pub prefill_bias: Option<f64>,
    /// Longest time that a request may run.
    pub max_run_seconds: Option<u32>,
}

/// Specification of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Service {
    /// Waiting requests of one pool above which it sheds.
    pub queue_bound: Option<u32>,
    /// Longest time that a call may run.
    pub max_run_seconds: Option<u32>,
    /// Calls that may be repeated; all others run at most once.
    pub repeatable: Vec<Route>,
}

/// Calls of a plain service.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields, default)]
pub struct Route {
    /// HTTP method.
    pub method: String,
    /// Beginning of the path below `/services/{name}`.
    pub path_prefix: String,
}

/// A specification of any kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "kind", content = "spec")]
pub enum Spec {
    /// A client account.
    ClientAccount(ClientAccount),
    /// A tier.
    Tier(Tier),
    /// A place.
    Place(Place),
    /// An endpoint.
    Endpoint(Endpoint),
    /// A model.
    Model(Model),
    /// A plain service.
    Service(Service),
}

impl Spec {
    /// The kind that is specified.
    pub fn kind(&self) -> Kind {
        match self {
            Spec::ClientAccount(_) => Kind::ClientAccount,
            Spec::Tier(_) => Kind::Tier,
            Spec::Place(_) => Kind::Place,
            Spec::Endpoint(_) => Kind::Endpoint,
            Spec::Model(_) => Kind::Model,
            Spec::Service(_) => Kind::Service,
        }
    }
}

/// A declared resource.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Resource {
    /// Name, unique within the kind.
    pub name: String,
    /// Revision of the configuration that last changed it; 0 for one not yet accepted.
    #[serde(default)]
    pub version: u64,
    /// What is declared.
    #[serde(flatten)]
    pub spec: Spec,
}

impl Resource {
    /// Kind and name.
    pub fn id(&self) -> ResourceId {
        ResourceId { kind: self.spec.kind(), name: self.name.clone() }
    }
}

/// Kind and name of a resource.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ResourceId {
    /// The kind.
    pub kind: Kind,
    /// The name.
    pub name: String,
}

impl std::fmt::Display for ResourceId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
