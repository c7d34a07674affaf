//! Settings of the daemon: flags, and environment variables for flags not given.
//!
//! Every setting is checked at the start, and all that is wrong is reported at once. Secrets come
//! from the environment or a file and are never shown.

use std::env;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use gumdrop::Options;
use oxbowbend_core::cell::DEFAULT_MAX_CELL_SIZE;
use oxbowbend_gateway::features::{Features, UnknownFeature};
use simplelog::LevelFilter;
use thiserror::Error;

/// Beginning of the names of environment variables.
const PREFIX: &str = "OXBOWD_";
/// Shortest secret that is accepted.
const MIN_SECRET: usize = 16;

/// Flags of `oxbowd`. Each has an environment variable of the same name in capitals, with
/// `OXBOWD_` before it and `_` for `-`.
#[derive(Clone, Debug, Default, Options)]
pub struct Flags {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(help = "print the version", no_short)]
    pub version: bool,
    /// Check the settings and end.
    #[options(help = "check the settings, print all that is wrong, and end", no_short)]
    pub check: bool,
    /// Whose requests are spoken.
    #[options(
        help = "own, or platform: settings, store and requests of the users' platform [own]",
        meta = "WIRE",
        no_short
    )]
    pub wire: Option<String>,
    /// Port of the metrics on the platform.
    #[options(help = "port of the metrics, with --wire platform [9464]", meta = "PORT", no_short)]
    pub metrics_port: Option<String>,
    /// Instances of a cell.
    #[options(
        help = "instances of a cell at most, the same everywhere, with --wire platform [12]",
        meta = "N",
        no_short
    )]
    pub cell_size: Option<String>,
    /// Decisions under overload.
    #[options(
        help = "decisions under overload, the same everywhere, with --wire platform: slot-leases, \
                overflow, rank-floor, expected-wait []",
        meta = "NAME,...",
        no_short
    )]
    pub enable: Option<String>,
    /// Name of the instance.
    #[options(help = "name of this instance (required)", meta = "NAME", no_short)]
    pub instance: Option<String>,
    /// Availability zone.
    #[options(help = "availability zone of this instance (required)", meta = "ZONE", no_short)]
    pub zone: Option<String>,
    /// Listener for callers.
    #[options(help = "where callers connect [127.0.0.1:8080]", meta = "IP:PORT", no_short)]
    pub caller_listen: Option<String>,
    /// Listener for operators.
    #[options(help = "where operators connect [127.0.0.1:8081]", meta = "IP:PORT", no_short)]
    pub operator_listen: Option<String>,
    /// Listener for peers.
    #[options(help = "where other instances connect [127.0.0.1:8082]", meta = "IP:PORT", no_short)]
    pub peer_listen: Option<String>,
    /// Key-value service.
    #[options(
        help = "key-value service, etcd JSON gateways (required)",
        meta = "IP:PORT,...",
        no_short
    )]
    pub kv: Option<String>,
    /// List of instances.
    #[options(help = "list of instances, Consul HTTP API (required)", meta = "IP:PORT", no_short)]
    pub list: Option<String>,
    /// File with the secret shared by all instances.
    #[options(
        help = "file with the secret shared by all instances; or OXBOWD_PEER_SECRET",
        meta = "FILE",
        no_short
    )]
    pub peer_secret_file: Option<String>,
    /// File with the operators' key.
    #[options(
        help = "file with the operators' key; or OXBOWD_OPERATOR_KEY",
        meta = "FILE",
        no_short
    )]
    pub operator_key_file: Option<String>,
    /// Time that the list keeps a silent instance.
    #[options(
        help = "seconds after which the list drops this instance if silent [10]",
        meta = "S",
        no_short
    )]
    pub list_ttl: Option<String>,
    /// Shards of the ledger.
    #[options(help = "shards of the ledger, the same everywhere [16]", meta = "N", no_short)]
    pub ledger_shards: Option<String>,
    /// Window of the ledger.
    #[options(
        help = "seconds for which an idempotency key is remembered [900]",
        meta = "S",
        no_short
    )]
    pub ledger_window: Option<String>,
    /// Largest request body.
    #[options(help = "largest request body in bytes [8388608]", meta = "N", no_short)]
    pub max_body: Option<String>,
    /// Time to send a request body.
    #[options(help = "seconds that a caller may take to send a body [30]", meta = "S", no_short)]
    pub body_time: Option<String>,
    /// Time that a connection may be idle.
    #[options(
        help = "seconds that a connection may be idle or take to send a head [60]",
        meta = "S",
        no_short
    )]
    pub idle_time: Option<String>,
    /// Memory of the process.
    #[options(
        help = "megabytes that the process may use; of what remains beside its own need, half is for callers [512]",
        meta = "N",
        no_short
    )]
    pub memory_mb: Option<String>,
    /// Connections at once.
    #[options(help = "connections at once [4096]", meta = "N", no_short)]
    pub max_connections: Option<String>,
    /// Connections at once from one IP number.
    #[options(help = "connections at once from one IP number [1024]", meta = "N", no_short)]
    pub max_connections_per_caller: Option<String>,
    /// Requests held at once.
    #[options(help = "requests held at once [10000]", meta = "N", no_short)]
    pub max_open: Option<String>,
    /// Time after which draining cuts off what is left.
    #[options(
        help = "seconds after which draining cuts off what is left; 0 is never [0]",
        meta = "S",
        no_short
    )]
    pub drain_limit: Option<String>,
    /// Detail of the log.
    #[options(help = "error, warn, info, debug or trace [info]", meta = "LEVEL", no_short)]
    pub log: Option<String>,
}

/// A secret that is not shown.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret.
    pub fn new(text: &str) -> Secret {
        Secret(text.to_owned())
    }

    /// The secret itself, for those who must use it.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(secret)")
    }
}

/// Port of the metrics if none is named; the field's customary one for exporters.
const METRICS_PORT: u64 = 9464;

/// Whose requests a daemon speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wire {
    /// The product's own interface.
    Own,
    /// The users' platform.
    Platform {
        /// Port of the metrics.
        metrics_port: u16,
        /// Instances of a cell at most.
        cell_size: usize,
        /// Decisions under overload that are enabled.
        features: Features,
        /// Detail of the log.
        log: LevelFilter,
    },
}

impl Wire {
    /// Reads from flags and environment whose requests are spoken.
    ///
    /// # Errors
    ///
    /// Names everything that is wrong.
    pub fn read(flags: &Flags) -> Result<Wire, SettingsError> {
        let mut r = Reader { variable: |name: &str| env::var(name).ok(), wrong: Vec::new() };
        let wire = r.raw("wire", &flags.wire).unwrap_or_else(|| "own".to_owned());
        let port = r.number("metrics-port", &flags.metrics_port, METRICS_PORT, 1);
        let port = u16::try_from(port).unwrap_or_else(|_| {
            r.wrong.push(format!("--metrics-port: {port} is not a port"));
            0
        });
        let cell_size =
            r.number("cell-size", &flags.cell_size, DEFAULT_MAX_CELL_SIZE as u64, 1) as usize;
        let features = r.raw("enable", &flags.enable).unwrap_or_default().parse();
        let features = features.unwrap_or_else(|e: UnknownFeature| {
            r.wrong.push(format!("--enable: {e}"));
            Features::default()
        });
        let log = r.log(&flags.log);
        let wire = match wire.as_str() {
            "own" => Wire::Own,
            "platform" => Wire::Platform { metrics_port: port, cell_size, features, log },
            other => {
                r.wrong.push(format!("--wire: {other:?} is neither own nor platform"));
                Wire::Own
            }
        };
        if r.wrong.is_empty() {
            Ok(wire)
        } else {
            Err(SettingsError(r.wrong))
        }
    }
}

/// Checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub instance: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// Where peers connect.
    pub peer_listen: SocketAddr,
    /// The key-value service.
    pub kv: Vec<SocketAddr>,
    /// The list of instances.
    pub list: SocketAddr,
    /// Secret shared by all instances.
    pub peer_secret: Secret,
    /// Key of the operators.
    pub operator_key: Secret,
    /// Time that the list keeps a silent instance.
    pub list_ttl: Duration,
    /// Shards of the ledger.
    pub ledger_shards: u32,
    /// Time for which an idempotency key is remembered.
    pub ledger_window: Duration,
    /// Largest request body.
    pub max_body: usize,
    /// Time to send a request body.
    pub body_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
    /// Megabytes of memory that the process may use.
    pub memory_mb: usize,
    /// Connections at once.
    pub max_connections: usize,
    /// Connections at once from one IP number.
    pub max_connections_per_caller: usize,
    /// Requests held at once.
    pub max_open: usize,
    /// Time after which draining cuts off what is left; `None` is never.
    pub drain_limit: Option<Duration>,
    /// Detail of the log.
    pub log: LevelFilter,
}

/// Everything that is wrong with the settings.
#[derive(Debug, Error)]
#[error("{}", .0.join("\n"))]
pub struct SettingsError(Vec<String>);

/// Reads settings and gathers what is wrong with them.
struct Reader<F> {
    variable: F,
    wrong: Vec<String>,
}

impl<F: Fn(&str) -> Option<String>> Reader<F> {
    fn raw(&self, name: &str, flag: &Option<String>) -> Option<String> {
        let from_environment = || (self.variable)(&variable_name(name));
        flag.clone().or_else(from_environment).filter(|v| !v.is_empty())
    }

    fn required(&mut self, name: &str, flag: &Option<String>) -> String {
        self.raw(name, flag).unwrap_or_else(|| {
            self.wrong.push(format!("--{name} or {} is required", variable_name(name)));
            String::new()
        })
    }

    fn parse<T>(
        &mut self,
        name: &str,
        text: &str,
        parse: impl Fn(&str) -> Option<T>,
        expected: &str,
    ) -> Option<T> {
        let parsed = parse(text);
        if parsed.is_none() && !text.is_empty() {
            self.wrong.push(format!("--{name}: {text:?} is not {expected}"));
        }
        parsed
    }

    fn address(&mut self, name: &str, flag: &Option<String>, default: &str) -> SocketAddr {
        let text = self.raw(name, flag).unwrap_or_else(|| default.to_owned());
        let parsed = self.parse(name, &text, |t| t.parse().ok(), "an IP number and port");
        parsed.unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    fn number(&mut self, name: &str, flag: &Option<String>, default: u64, least: u64) -> u64 {
        let Some(text) = self.raw(name, flag) else { return default };
        let expected = format!("a whole number of at least {least}");
        let in_range = |t: &str| t.parse().ok().filter(|n| *n >= least);
        self.parse(name, &text, in_range, &expected).unwrap_or(default)
    }

    fn seconds(&mut self, name: &str, flag: &Option<String>, default: u64, least: u64) -> Duration {
        Duration::from_secs(self.number(name, flag, default, least))
    }

    fn log(&mut self, flag: &Option<String>) -> LevelFilter {
        let text = self.raw("log", flag).unwrap_or_else(|| "info".to_owned());
        let level = self.parse("log", &text, |t| t.parse().ok(), "a level of detail");
        level.unwrap_or(LevelFilter::Info)
    }

    fn secret(&mut self, name: &str, file: &Option<String>) -> Secret {
        let file_name = format!("{name}-file");
        let text = match self.raw(&file_name, file) {
            Some(path) => std::fs::read_to_string(Path::new(&path)).unwrap_or_else(|e| {
                self.wrong.push(format!("--{file_name}: cannot read {path:?}: {e}"));
                "x".repeat(MIN_SECRET)
            }),
            None => (self.variable)(&variable_name(name)).unwrap_or_default(),
        };
        let text = text.trim();
        if text.len() < MIN_SECRET {
            let variable = variable_name(name);
            self.wrong.push(format!(
                "--{file_name} or {variable} must hold a secret of at least {MIN_SECRET} characters"
            ));
        }
        Secret::new(text)
    }
}

fn variable_name(name: &str) -> String {
    format!("{PREFIX}{}", name.replace('-', "_").to_ascii_uppercase())
}

impl Settings {
    /// Checks flags, taking what they leave out from the environment.
    ///
    /// # Errors
    ///
    /// Names everything that is missing or wrong.
    pub fn read(flags: &Flags) -> Result<Settings, SettingsError> {
        Settings::read_with(flags, |name| env::var(name).ok())
    }

    /// As [`Settings::read`], with the environment passed in.
    ///
    /// # Errors
    ///
    /// Names everything that is missing or wrong.
    ///
    /// ```
    /// use oxbowbend_daemon::settings::{Flags, Settings};
    /// let error = Settings::read_with(&Flags::default(), |_| None).unwrap_err();
    /// assert_eq!(error.to_string().lines().count(), 6);
    /// ```
    pub fn read_with(
        flags: &Flags,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Settings, SettingsError> {
        let mut r = Reader { variable, wrong: Vec::new() };
        let kv = r.required("kv", &flags.kv);
        let list = r.required("list", &flags.list);
        let addresses = |t: &str| t.split(',').map(|a| a.trim().parse().ok()).collect();
        let drain_limit = r.seconds("drain-limit", &flags.drain_limit, 0, 0);
        let settings = Settings {
            instance: r.required("instance", &flags.instance),
            zone: r.required("zone", &flags.zone),
            caller_listen: r.address("caller-listen", &flags.caller_listen, "127.0.0.1:8080"),
            operator_listen: r.address("operator-listen", &flags.operator_listen, "127.0.0.1:8081"),
            peer_listen: r.address("peer-listen", &flags.peer_listen, "127.0.0.1:8082"),
            kv: r.parse("kv", &kv, addresses, "a list of IP numbers and ports").unwrap_or_default(),
            list: r
                .parse("list", &list, |t| t.parse().ok(), "an IP number and port")
                .unwrap_or_else(|| SocketAddr::from(([0, 0, 0, 0], 0))),
            peer_secret: r.secret("peer-secret", &flags.peer_secret_file),
            operator_key: r.secret("operator-key", &flags.operator_key_file),
            list_ttl: r.seconds("list-ttl", &flags.list_ttl, 10, 4),
            ledger_shards: r.number("ledger-shards", &flags.ledger_shards, 16, 1) as u32,
            ledger_window: r.seconds("ledger-window", &flags.ledger_window, 900, 1),
            max_body: r.number("max-body", &flags.max_body, 8 << 20, 1) as usize,
            body_time: r.seconds("body-time", &flags.body_time, 30, 1),
            idle_time: r.seconds("idle-time", &flags.idle_time, 60, 1),
            memory_mb: r.number("memory-mb", &flags.memory_mb, 512, 32) as usize,
            max_connections: r.number("max-connections", &flags.max_connections, 4096, 1) as usize,
            max_connections_per_caller: r.number(
                "max-connections-per-caller",
                &flags.max_connections_per_caller,
                1024,
                1,
            ) as usize,
            max_open: r.number("max-open", &flags.max_open, 10_000, 1) as usize,
            drain_limit: Some(drain_limit).filter(|d| !d.is_zero()),
            log: r.log(&flags.log),
        };
        if settings.peer_listen.ip().is_unspecified() && r.wrong.is_empty() {
            let wrong = "--peer-listen: name the address at which other instances reach this one";
            r.wrong.push(wrong.to_owned());
        }
        if r.wrong.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsError(r.wrong))
        }
    }
}
