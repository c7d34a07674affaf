//! What can go wrong, and the exit code that tells it.

use oxbowbend_http::client;
use oxbowbend_http::problem;
use oxbowbend_resource::check;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Failure {
    /// The command line cannot be used. Exit code 2.
    #[error("{0}")]
    Usage(String),
    /// A file holds mistakes. Exit code 2.
    #[error("{} mistakes:{}", .0.len(), .0.iter().map(|m| format!("\n  {m}")).collect::<String>())]
    Mistakes(Vec<check::Mistake>),
    /// Somebody else changed a resource meanwhile. Exit code 3.
    #[error("{0}; read it again and decide anew")]
    Conflict(String),
    /// It is not known whether a change was accepted. Exit code 4.
    #[error("change {change} may or may not have been accepted: {reason}")]
    Unknown {
        /// Id under which it may be sent again.
        change: String,
        /// What happened.
        reason: String,
    },
    /// The wait ended first. Exit code 5.
    #[error("not in force everywhere in time; missing: {0}")]
    NotInForce(String),
    /// No instance could be reached. Exit code 6.
    #[error("no instance answers: {0}")]
    Unreachable(String),
    /// The instance refused. Exit code 1.
    #[error("{} {}: {}{}", .0.status, .0.title, .0.detail, mistakes(.0))]
    Refused(Box<problem::Problem>),
    /// Something else. Exit code 1.
    #[error("{0}")]
    Other(String),
}

fn mistakes(problem: &problem::Problem) -> String {
    let listed = problem.errors["mistakes"].clone();
    let listed: Vec<check::Mistake> = serde_json::from_value(listed).unwrap_or_default();
    listed.iter().map(|m| format!("\n  {m}")).collect()
}

impl Failure {
    /// The exit code.
    ///
    /// ```
    /// use oxbowbend_ctl::failure::Failure;
    /// assert_eq!(Failure::Usage("".into()).exit_code(), 2);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Failure::Refused(_) | Failure::Other(_) => 1,
            Failure::Usage(_) | Failure::Mistakes(_) => 2,
            Failure::Conflict(_) => 3,
            Failure::Unknown { .. } => 4,
            Failure::NotInForce(_) => 5,
            Failure::Unreachable(_) => 6,
        }
    }
}

impl From<client::CallError> for Failure {
    fn from(e: client::CallError) -> Failure {
        Failure::Unreachable(e.to_string())
    }
}
