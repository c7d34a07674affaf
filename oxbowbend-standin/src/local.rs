//! A whole deployment of stand-ins inside one process, for demos and measurements.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use http_types::Method;
use oxbowbend_http::client;
use oxbowbend_resource::kinds;
use oxbowbend_resource::manifest;
use oxbowbend_resource::set;
use serde_json::Value;
use socket2::{Domain, Socket, Type};

use crate::engine;
use crate::platform;
use crate::service;

/// Place in which the deployment is.
pub const PLACE: &str = "ankara";
/// Model that the engines serve.
pub const MODEL: &str = "minutes";
/// Plain service.
pub const SERVICE: &str = "intake";
/// Tiers, the highest first.
pub const TIERS: [&str; 3] = ["live", "draft", "batch"];
/// Client account and its key.
pub const ACCOUNT: (&str, &str) = ("court", "court-key-0123456789");
/// Second client account and its key.
pub const OTHER_ACCOUNT: (&str, &str) = ("council", "council-key-0123456789");
/// Key of the operators.
pub const OPERATOR_KEY: &str = "operator-key-0123456789";
/// Secret that the instances share.
pub const PEER_SECRET: &str = "peer-secret-0123456789";

/// The stand-ins of a deployment.
pub struct Surroundings {
    /// The platform.
    pub platform: platform::Platform,
    /// Its address.
    pub platform_address: SocketAddr,
    /// The engines with their addresses.
    pub engines: Vec<(engine::Engine, SocketAddr, engine::Options)>,
    /// The plain service.
    pub service: service::Service,
    /// Its address.
    pub service_address: SocketAddr,
}

/// Finds a free port on loopback and listens there.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn listen() -> std::io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

/// First port for others to listen at; below those that the system gives to outgoing connections.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for others to listen at.
const PORTS: u16 = 20_000;

/// Finds a free port on loopback for somebody else to listen at.
///
/// A port that the system picks may be given to an outgoing connection before the other one
/// listens; these are not, and each is handed out once by a process. The socket that finds it does not
/// listen: a process that another thread starts inherits it for a moment, and one that listened would
/// keep the port for as long.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(97);
    for _ in 0..PORTS {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % u32::from(PORTS);
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset as u16));
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        if socket.bind(&address.into()).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::other("no port is free"))
}

impl Surroundings {
    /// Starts the stand-ins.
    ///
    /// # Errors
    ///
    /// Fails if no port can be had.
    pub async fn start(engines: &[engine::Options]) -> std::io::Result<Surroundings> {
        let platform = platform::Platform::new(platform::Options::default());
        let (listener, platform_address) = listen().await?;
        task::spawn(platform.clone().serve(listener));
        let service = service::Service::new();
        let (listener, service_address) = listen().await?;
        task::spawn(service.clone().serve(listener));
        let mut started = Vec::new();
        for options in engines {
            let engine = engine::Engine::new(options.clone());
            let (listener, address) = listen().await?;
            task::spawn(engine.clone().serve(listener));
            started.push((engine, address, options.clone()));
        }
        let engines = started;
        Ok(Surroundings { platform, platform_address, engines, service, service_address })
    }

    /// Resources that describe the deployment in the given availability zones.
    pub fn resources(&self, zones: &[&str]) -> Vec<kinds::Resource> {
        let zones = zones.iter().map(|z| (*z).to_owned()).collect();
        let mut resources = vec![
            resource(PLACE, kinds::Spec::Place(kinds::Place { zones })),
            resource(MODEL, kinds::Spec::Model(kinds::Model::default())),
            resource(SERVICE, kinds::Spec::Service(service_spec())),
        ];
        for (level, tier) in TIERS.iter().enumerate() {
            let spec = kinds::Tier { level: Some(level as u8), deadline_seconds: Some(60) };
            resources.push(resource(tier, kinds::Spec::Tier(spec)));
        }
        for (name, key) in [ACCOUNT, OTHER_ACCOUNT] {
            resources.push(resource(name, kinds::Spec::ClientAccount(account_spec(key))));
        }
        for (n, (_, address, options)) in self.engines.iter().enumerate() {
            let spec = engine_spec(address, options);
            resources.push(resource(&format!("engine-{n}"), kinds::Spec::Endpoint(spec)));
        }
        let spec = kinds::Endpoint {
            place: PLACE.to_owned(),
            address: self.service_address.to_string(),
            service: Some(SERVICE.to_owned()),
            slots: 16,
            ..kinds::Endpoint::default()
        };
        resources.push(resource("intake-0", kinds::Spec::Endpoint(spec)));
        resources
    }
}

fn resource(name: &str, spec: kinds::Spec) -> kinds::Resource {
    kinds::Resource { name: name.to_owned(), version: 0, spec }
}

fn account_spec(key: &str) -> kinds::ClientAccount {
    kinds::ClientAccount {
        key_hashes: vec![set::hash_key(key)],
        tiers: TIERS.iter().map(|t| (*t).to_owned()).collect(),
        places: vec![PLACE.to_owned()],
        ..kinds::ClientAccount::default()
    }
}

fn service_spec() -> kinds::Service {
    let route = kinds::Route { method: "GET".to_owned(), path_prefix: "/".to_owned() };
    kinds::Service { queue_bound: None, max_run_seconds: Some(1), repeatable: vec![route] }
}

fn engine_spec(address: &SocketAddr, options: &engine::Options) -> kinds::Endpoint {
    kinds::Endpoint {
        place: PLACE.to_owned(),
        address: address.to_string(),
        model: Some(MODEL.to_owned()),
        slots: options.slots as u32,
        prefill_rate: Some(options.prefill_rate),
        decode_rate: Some(options.decode_rate),
        cache_tokens: Some(options.cache_tokens),
        report_lag_seconds: Some(options.report_lag.as_secs_f64().ceil() as u32),
        checks_fencing: options.checks_fencing,
        ..kinds::Endpoint::default()
    }
}

/// Sends a change to the operators' listener of an instance, again until it is accepted.
///
/// # Errors
///
/// Returns the last refusal if the change is not accepted in time.
pub async fn declare(operator: SocketAddr, resources: Vec<kinds::Resource>) -> Result<(), String> {
    let operations = resources.into_iter().map(manifest::Operation::Put).collect();
    let change = manifest::Change { id: format!("c{:016x}", rand::random::<u64>()), operations };
    let body = serde_json::to_value(&change).map_err(|e| e.to_string())?;
    let mut last = String::new();
    for _ in 0..100 {
        match operator_call(operator, Method::Post, "/v1/changes", Some(&body)).await {
            Ok((200, _)) => return Ok(()),
            Ok((status, answer)) if status < 500 => return Err(format!("{status} {answer}")),
            Ok((status, answer)) => last = format!("{status} {answer}"),
            Err(e) => last = e,
        }
        task::sleep(Duration::from_millis(100)).await;
    }
    Err(last)
}

/// Calls the operators' listener of an instance.
///
/// # Errors
///
/// Fails if there is no whole answer.
pub async fn operator_call(
    operator: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<(u16, Value), String> {
    let req = match body {
        Some(body) => client::json_request(method, operator, path, body),
        None => client::request(method, operator, path),
    };
    let mut req = req.map_err(|e| e.to_string())?;
    req.insert_header("Authorization", format!("Bearer {OPERATOR_KEY}"));
    let limits = client::Limits::all(Duration::from_secs(10));
    let answer = client::Client::new().call(operator, req, limits, 64 << 20).await;
    let (status, bytes) = answer.map_err(|e| e.to_string())?;
    Ok((status as u16, serde_json::from_slice(&bytes).unwrap_or(Value::Null)))
}

/// Waits until a path answers 200, for at most `longest`.
pub async fn wait_ok(address: SocketAddr, path: &str, longest: Duration) -> bool {
    let began = std::time::Instant::now();
    while began.elapsed() < longest {
        let answer = operator_call(address, Method::Get, path, None).await;
        if matches!(answer, Ok((200, _))) {
            return true;
        }
        task::sleep(Duration::from_millis(50)).await;
    }
    false
}
