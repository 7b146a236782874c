//! Listening sockets configured for streams of small events.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::SockRef;

/// Creates a nonblocking listener on `address` with `TCP_NODELAY` set.
///
/// Accepted sockets inherit `TCP_NODELAY` from the listener. Without it, Nagle's algorithm delays an event until the
/// previous one is acknowledged, which costs about 40 ms.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
