//! Questions and orders to an engine besides its answers.

use std::net::SocketAddr;

use http_types::{Method, StatusCode};
use oxbowbend_http::client;
use prometheus_parse::{Scrape, Value as Sample};
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

/// Longest answer that is read.
const MAX_ANSWER: usize = 4 << 20;
/// Header with the fencing number of an order.
pub const FENCING: &str = "Oxbow-Fencing-Number";

/// Why a question or order failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The engine was not reached or gave no whole answer.
    #[error(transparent)]
    Call(#[from] client::CallError),
    /// The engine answered with an error.
    #[error("the engine answered {status}: {text}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Its words.
        text: String,
    },
    /// The engine's answer cannot be understood.
    #[error("the engine's answer cannot be understood: {0}")]
    Answer(String),
}

/// What an engine knows of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStatus {
    /// Nothing: it never came, or is forgotten.
    Unknown,
    /// It goes on.
    Running,
    /// It is over.
    Over,
}

/// An engine's report of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Order {
    /// Load an adapter.
    Load {
        /// Name to serve it under.
        lora_name: String,
        /// Where it lies in the weight store.
        lora_path: String,
    },
    /// Unload an adapter.
    Unload {
        /// Its name.
        lora_name: String,
    },
}

/// Asks what an engine knows of a run.
///
/// # Errors
///
/// Fails if the engine is not reached or its answer makes no sense.
pub async fn run_status(
    client: &client::Client,
    address: SocketAddr,
    run: &str,
    limits: client::Limits,
) -> Result<RunStatus, ControlError> {
    let req = client::request(Method::Get, address, &format!("/v1/responses/{run}"));
    let (status, body) = client.call(address, req.map_err(unusable)?, limits, MAX_ANSWER).await?;
    if status == StatusCode::NotFound {
        return Ok(RunStatus::Unknown);
    }
    let body: Value = serde_json::from_slice(&accept(status, body)?).map_err(unusable)?;
    match body["status"].as_str() {
        Some("queued" | "in_progress") => Ok(RunStatus::Running),
        Some(_) => Ok(RunStatus::Over),
        None => Err(unusable("no status")),
    }
}

/// Cancels a run; one that is over or unknown is no error.
///
/// # Errors
///
/// Fails if the engine is not reached or refuses.
pub async fn cancel(
    client: &client::Client,
    address: SocketAddr,
    run: &str,
    limits: client::Limits,
) -> Result<(), ControlError> {
    let req = client::request(Method::Post, address, &format!("/v1/responses/{run}/cancel"));
    let (status, body) = client.call(address, req.map_err(unusable)?, limits, MAX_ANSWER).await?;
    if status == StatusCode::NotFound {
        return Ok(());
    }
    accept(status, body).map(|_| ())
}

/// Reads an engine's load from its Prometheus metrics.
///
/// # Errors
///
/// Fails if the engine is not reached or its metrics lack the counts.
pub async fn load(
    client: &client::Client,
    address: SocketAddr,
    limits: client::Limits,
) -> Result<Load, ControlError> {
    let req = client::request(Method::Get, address, "/metrics").map_err(unusable)?;
    let (status, body) = client.call(address, req, limits, MAX_ANSWER).await?;
    let text = String::from_utf8(accept(status, body)?).map_err(unusable)?;
    let scrape = Scrape::parse(text.lines().map(|l| Ok(without_colon(l)))).map_err(unusable)?;
    let sum = |name: &str| {
        let samples = scrape.samples.iter().filter(|s| s.metric.ends_with(name));
        let values = samples.filter_map(|s| match s.value {
            Sample::Gauge(v) | Sample::Untyped(v) | Sample::Counter(v) => Some(v),
            _ => None,
        });
        values.fold(None, |sum: Option<f64>, v| Some(sum.unwrap_or(0.0) + v))
    };
    let running = sum("num_requests_running").ok_or_else(|| unusable("no running requests"))?;
    let waiting = sum("num_requests_waiting").unwrap_or(0.0);
    Ok(Load { running: running as u32, waiting: waiting as u32 })
}

/// Gives an engine an order with a fencing number.
///
/// # Errors
///
/// Fails if the engine is not reached, or refuses, as one that checks does on an old number.
pub async fn order(
    client: &client::Client,
    address: SocketAddr,
    order: &Order,
    fencing: u64,
    limits: client::Limits,
) -> Result<(), ControlError> {
    let path = match order {
        Order::Load { .. } => "/v1/load_lora_adapter",
        Order::Unload { .. } => "/v1/unload_lora_adapter",
    };
    let mut req = client::json_request(Method::Post, address, path, order).map_err(unusable)?;
    req.insert_header(FENCING, fencing.to_string());
    let (status, body) = client.call(address, req, limits, MAX_ANSWER).await?;
    accept(status, body).map(|_| ())
}

/// Engines put a colon into the names of their metrics, which the library does not read.
fn without_colon(line: &str) -> String {
    let name_ends = line.find('{').unwrap_or(line.len());
    let colon = line.find(':').filter(|at| *at < name_ends);
    if colon.is_some() {
        line.replacen(':', "_", 1)
    } else {
        line.to_owned()
    }
}

fn accept(status: StatusCode, body: Vec<u8>) -> Result<Vec<u8>, ControlError> {
    if status.is_success() {
        return Ok(body);
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    Err(ControlError::Refused { status: status as u16, text })
}

fn unusable(e: impl std::fmt::Display) -> ControlError {
    ControlError::Answer(e.to_string())
}
