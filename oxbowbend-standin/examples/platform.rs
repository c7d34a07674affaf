//! The platform stand-in as a process.

use std::time::Duration;

use async_std::net::TcpListener;
use gumdrop::Options;
use oxbowbend_standin::platform;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:2379")]
    listen: String,
    #[options(help = "age of the list in milliseconds", meta = "MS", default = "200")]
    list_lag: u64,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let options = platform::Options { list_lag: Duration::from_millis(flags.list_lag) };
    let listener = TcpListener::bind(&flags.listen).await?;
    platform::Platform::new(options).serve(listener).await
}
