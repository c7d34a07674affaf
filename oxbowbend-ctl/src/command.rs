//! Commands and flags.

use gumdrop::Options;

/// Flags of `oxbowctl`.
#[derive(Clone, Debug, Default, Options)]
pub struct Flags {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Print the version.
    #[options(help = "print the version", no_short)]
    pub version: bool,
    /// Instances to speak to.
    #[options(
        help = "operator listeners to try in turn; or OXBOWCTL_SERVER [127.0.0.1:8081]",
        meta = "IP:PORT,..."
    )]
    pub server: Option<String>,
    /// File with the operators' key.
    #[options(help = "file with the operators' key; or OXBOWCTL_KEY", meta = "FILE", no_short)]
    pub key_file: Option<String>,
    /// Form of the output.
    #[options(help = "table or json [table]", meta = "FORM")]
    pub output: Option<String>,
    /// What to do.
    #[options(command)]
    pub command: Option<Command>,
}

/// What to do.
#[derive(Clone, Debug, Options)]
pub enum Command {
    /// Show resources.
    #[options(help = "show resources")]
    Get(Get),
    /// Declare the resources of a file.
    #[options(help = "declare the resources of a file, all or none")]
    Apply(Apply),
    /// Look for mistakes in a file.
    #[options(help = "find every mistake in a file; with a server, against what is declared")]
    Check(Check),
    /// Delete a resource.
    #[options(help = "delete a resource")]
    Delete(Delete),
    /// Show changes as they come.
    #[options(help = "show changes as they come")]
    Watch(Watch),
    /// Wait until something is in force everywhere.
    #[options(help = "wait until a resource, or all of them, is in force everywhere")]
    Wait(Wait),
    /// Show instances and pools, or one resource's state.
    #[options(help = "show instances and pools, or where a resource is in force")]
    Status(Status),
    /// Take an endpoint or an instance out of service.
    #[options(help = "take an endpoint, or the instance spoken to, out of service")]
    Drain(Drain),
}

/// Flags of `get`.
#[derive(Clone, Debug, Default, Options)]
pub struct Get {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind, and perhaps a name.
    #[options(free, help = "KIND [NAME]")]
    pub what: Vec<String>,
    /// Only names that begin so.
    #[options(help = "only names that begin so", meta = "TEXT")]
    pub prefix: Option<String>,
    /// Only resources with this field.
    #[options(
        help = "only resources with this field, as place=ankara",
        meta = "FIELD=VALUE",
        no_short
    )]
    pub field: Vec<String>,
}

/// Flags of `apply`.
#[derive(Clone, Debug, Default, Options)]
pub struct Apply {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(help = "file of resources, '-' for standard input", meta = "FILE", required)]
    pub file: String,
    /// Whether to wait until the change is in force everywhere.
    #[options(help = "wait until the change is in force everywhere", no_short)]
    pub wait: bool,
    /// Longest wait.
    #[options(help = "seconds to wait at most [60]", meta = "S", no_short)]
    pub timeout: Option<u64>,
}

/// Flags of `check`.
#[derive(Clone, Debug, Default, Options)]
pub struct Check {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file.
    #[options(help = "file of resources, '-' for standard input", meta = "FILE", required)]
    pub file: String,
    /// Whether to leave the server out of it.
    #[options(help = "do not ask what is declared already", no_short)]
    pub offline: bool,
}

/// Flags of `delete`.
#[derive(Clone, Debug, Default, Options)]
pub struct Delete {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind and name.
    #[options(free, help = "KIND NAME")]
    pub what: Vec<String>,
}

/// Flags of `watch`.
#[derive(Clone, Debug, Default, Options)]
pub struct Watch {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Perhaps a kind.
    #[options(free, help = "[KIND]")]
    pub what: Vec<String>,
    /// Changes to show before ending.
    #[options(help = "end after so many lines; 0 is never [0]", meta = "N", no_short)]
    pub count: usize,
}

/// Flags of `wait`.
#[derive(Clone, Debug, Default, Options)]
pub struct Wait {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Perhaps a kind and a name.
    #[options(free, help = "[KIND NAME]")]
    pub what: Vec<String>,
    /// Longest wait.
    #[options(help = "seconds to wait at most [60]", meta = "S", no_short)]
    pub timeout: Option<u64>,
}

/// Flags of `status`.
#[derive(Clone, Debug, Default, Options)]
pub struct Status {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Perhaps a kind and a name.
    #[options(free, help = "[KIND NAME]")]
    pub what: Vec<String>,
}

/// Flags of `drain`.
#[derive(Clone, Debug, Default, Options)]
pub struct Drain {
    /// Print this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// An endpoint, or the word `instance`.
    #[options(free, help = "endpoint NAME | instance")]
    pub what: Vec<String>,
}
