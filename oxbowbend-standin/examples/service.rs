//! The plain-service stand-in as a process.

use async_std::net::TcpListener;
use gumdrop::Options;
use oxbowbend_standin::service;

#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where to listen", meta = "IP:PORT", default = "127.0.0.1:9100")]
    listen: String,
}

#[async_std::main]
async fn main() -> std::io::Result<()> {
    let flags = Flags::parse_args_default_or_exit();
    let listener = TcpListener::bind(&flags.listen).await?;
    service::Service::new().serve(listener).await
}
