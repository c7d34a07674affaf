//! Listeners whose connections hold a bounded amount of what has not been read.
//!
//! The kernel enlarges the receive buffer of a connection from which much is read, and keeps it at that size. Nothing is
//! read while a request runs, so the peer may fill the buffer then, which counts as memory of this process.

use std::io;
use std::net::SocketAddr;

use async_std::net::TcpListener;
use socket2::SockRef;

/// Receive buffer of a connection, in bytes; the kernel doubles it for its own structures. With a round trip of 2 ms one
/// connection carries 250 Mbit/s, more than the links of most instances.
pub const RECEIVE_BUFFER: usize = 64 * 1024;

/// Opens a listener, from which connections inherit a receive buffer of [`RECEIVE_BUFFER`].
///
/// # Errors
///
/// Fails if the address cannot be bound. A system that does not allow the size keeps its own.
///
/// ```
/// # fn main() -> std::io::Result<()> {
/// # async_std::task::block_on(async {
/// use oxbowbend_http::listener;
///
/// let listener = listener::bind("127.0.0.1:0".parse().unwrap()).await?;
/// assert_ne!(listener.local_addr()?.port(), 0);
/// # Ok(())
/// # })
/// # }
/// ```
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    if let Err(e) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER) {
        log::warn!("event=receive_buffer_unset address={address} error=\"{e}\"");
    }
    Ok(listener)
}
