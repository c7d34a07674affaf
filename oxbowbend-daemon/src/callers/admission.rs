//! Who sends a request, and what it may ask for.

use std::time::{Duration, Instant};

use http_types::{Request, StatusCode};
use oxbowbend_clock as clock;
use oxbowbend_http::problem;
use oxbowbend_resource::kinds;

use crate::config;

/// Header with the tier asked for.
const TIER: &str = "Oxbow-Tier";
/// Header with the place asked for.
const PLACE: &str = "Oxbow-Place";
/// Header with the seconds in which the answer is of use.
const DEADLINE: &str = "Oxbow-Deadline";
/// Header that marks a request as one that may run more than once.
const REPEATABLE: &str = "Oxbow-Repeatable";
/// Header that names a request across retries.
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
/// Deadline where neither the request nor its tier states one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(600);
/// Longest deadline that may be asked for.
const MAX_DEADLINE: Duration = Duration::from_secs(86_400);
/// Longest idempotency key.
const MAX_KEY: usize = 255;

/// What a request may do.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    /// The client account's name.
    pub(crate) account: String,
    /// Its weight within a tier.
    pub(crate) weight: u32,
    /// Requests that it may have open at this instance.
    pub(crate) max_open: Option<u32>,
    /// The tier's name.
    pub(crate) tier: String,
    /// The tier's rank.
    pub(crate) level: u8,
    /// The place in which the request is to be handled.
    pub(crate) place: String,
    /// When the answer is of no more use.
    pub(crate) due: Instant,
    /// When the request was admitted.
    pub(crate) arrived: Instant,
    /// Whether it may run more than once.
    pub(crate) repeatable: bool,
    /// Its name across retries.
    pub(crate) key: Option<String>,
}

impl Admitted {
    /// Time left until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.due.saturating_duration_since(clock::now())
    }
}

/// Finds the client account whose key the request bears.
pub(crate) fn authenticate<'a>(
    current: &'a config::Current,
    req: &Request,
) -> Result<(&'a str, &'a kinds::ClientAccount), problem::Problem> {
    let header = req.header("Authorization").map(|v| v.as_str());
    let key = header.and_then(|v| v.strip_prefix("Bearer "));
    let account = key.and_then(|key| current.keys.find(key.trim()));
    account.ok_or_else(|| {
        let problem = problem::Problem::new(StatusCode::Unauthorized, "no known key");
        problem.detail("send the key of a client account as a bearer token")
    })
}

/// Decides what a request may do, by its headers and the client account.
pub(crate) fn admit(
    current: &config::Current,
    zone: &str,
    req: &Request,
) -> Result<Admitted, problem::Problem> {
    let (name, account) = authenticate(current, req)?;
    let tier = choose(req, TIER, &account.tiers, "tier")?;
    let (level, tier_deadline) = tier_of(current, &tier)?;
    let place = choose(req, PLACE, &account.places, "place")?;
    check_place(current, &place, zone)?;
    let arrived = clock::now();
    let deadline = deadline(req)?.or(tier_deadline).unwrap_or(DEFAULT_DEADLINE);
    Ok(Admitted {
        account: name.to_owned(),
        weight: account.weight.unwrap_or(1),
        max_open: account.max_open,
        tier,
        level,
        place,
        due: arrived + deadline,
        arrived,
        repeatable: repeatable(req)?,
        key: idempotency_key(req)?,
    })
}

fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.header(name).map(|v| v.as_str().trim())
}

fn choose(
    req: &Request,
    name: &str,
    allowed: &[String],
    what: &str,
) -> Result<String, problem::Problem> {
    let Some(asked) = header(req, name) else {
        let none = || problem::Problem::new(StatusCode::Forbidden, "nothing allowed");
        return allowed.first().cloned().ok_or_else(none);
    };
    if allowed.iter().any(|a| a == asked) {
        return Ok(asked.to_owned());
    }
    let problem = problem::Problem::new(StatusCode::Forbidden, "not allowed to the client account");
    Err(problem.detail(format!("{what} {asked:?} is not one of the client account's")))
}

fn tier_of(
    current: &config::Current,
    name: &str,
) -> Result<(u8, Option<Duration>), problem::Problem> {
    match current.manifest.set().get(kinds::Kind::Tier, name).map(|r| &r.spec) {
        Some(kinds::Spec::Tier(tier)) => {
            let deadline = tier.deadline_seconds.map(|s| Duration::from_secs(s.into()));
            Ok((tier.level.unwrap_or(u8::MAX), deadline))
        }
        _ => Err(problem::Problem::new(StatusCode::Forbidden, "the tier is not declared")),
    }
}

/// A request is handled in its place or nowhere, and this instance is a part of handling it.
fn check_place(current: &config::Current, name: &str, zone: &str) -> Result<(), problem::Problem> {
    match current.manifest.set().get(kinds::Kind::Place, name).map(|r| &r.spec) {
        Some(kinds::Spec::Place(place)) if place.zones.iter().any(|z| z == zone) => Ok(()),
        Some(_) => {
            let problem =
                problem::Problem::new(StatusCode::MisdirectedRequest, "outside the place");
            let detail = format!("zone {zone:?}, where this instance is, is not in place {name:?}");
            Err(problem.detail(detail))
        }
        None => Err(problem::Problem::new(StatusCode::Forbidden, "the place is not declared")),
    }
}

fn deadline(req: &Request) -> Result<Option<Duration>, problem::Problem> {
    let Some(text) = header(req, DEADLINE) else { return Ok(None) };
    let seconds: Option<f64> = text.parse().ok();
    match seconds.and_then(|s| Duration::try_from_secs_f64(s).ok()) {
        Some(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(Some(deadline)),
        _ => Err(bad_header(DEADLINE, "a number of seconds above 0 and up to 86400")),
    }
}

fn repeatable(req: &Request) -> Result<bool, problem::Problem> {
    match header(req, REPEATABLE) {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(bad_header(REPEATABLE, "true or false")),
    }
}

fn idempotency_key(req: &Request) -> Result<Option<String>, problem::Problem> {
    match header(req, IDEMPOTENCY_KEY) {
        None => Ok(None),
        Some(key) if !key.is_empty() && key.len() <= MAX_KEY => Ok(Some(key.to_owned())),
        Some(_) => Err(bad_header(IDEMPOTENCY_KEY, "1 to 255 characters")),
    }
}

fn bad_header(name: &str, expected: &str) -> problem::Problem {
    let problem = problem::Problem::new(StatusCode::BadRequest, "a header cannot be used");
    problem.detail(format!("{name} must be {expected}"))
}
