//! Stand-in for a plain service: it echoes what it is sent and counts each call.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::TcpListener;
use futures::io::Cursor;
use http_types::{Body, Request, Response, StatusCode};
use oxbowbend_http::body;
use oxbowbend_http::problem;
use oxbowbend_http::server::{self, Handler};

use crate::switches;

/// Longest request that is read.
const MAX_REQUEST: usize = 16 << 20;

/// A plain service; clones share it.
#[derive(Clone, Default)]
pub struct Service {
    panel: switches::Panel,
    calls: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Service {
    /// Creates the service.
    pub fn new() -> Service {
        Service::default()
    }

    /// Its switches.
    pub fn panel(&self) -> &switches::Panel {
        &self.panel
    }

    /// Calls by the value of their `X-Marker` header.
    pub fn calls(&self) -> BTreeMap<String, u32> {
        self.calls.lock().expect("no panic under lock").clone()
    }

    /// Serves until the listener fails.
    pub async fn serve(self, listener: TcpListener) -> std::io::Result<()> {
        let options = server::Options { idle: Duration::from_secs(600), ..Default::default() };
        server::serve(listener, self, options, Arc::new(server::Gate::default())).await
    }
}

impl Handler for Service {
    async fn handle(&self, mut req: Request, _: server::Caller) -> Response {
        match req.url().path() {
            switches::PATH => return self.panel.serve(&mut req).await,
            "/standin/calls" => return problem::json(StatusCode::Ok, &self.calls()),
            _ => {}
        }
        let bytes = match body::read_request(&mut req, MAX_REQUEST, Duration::from_secs(10)).await {
            Ok(bytes) => bytes,
            Err(e) => return e.to_problem().into_response(),
        };
        if self.panel.get().refuse {
            return problem::Problem::new(StatusCode::ServiceUnavailable, "refused")
                .into_response();
        }
        let marker = req.header("X-Marker").map(|v| v.as_str().to_owned()).unwrap_or_default();
        *self.calls.lock().expect("no panic under lock").entry(marker).or_default() += 1;
        self.panel.hold_back().await;
        let mut res = Response::new(StatusCode::Ok);
        res.insert_header("X-Method", req.method().as_ref());
        res.insert_header("X-Path", req.url().path());
        if self.panel.use_up(|s| &mut s.cut_bodies) {
            let half = bytes[..bytes.len() / 2].to_vec();
            res.set_body(Body::from_reader(Cursor::new(half), Some(bytes.len())));
            res.insert_header("Connection", "close");
        } else {
            res.set_body(bytes);
        }
        res
    }
}
