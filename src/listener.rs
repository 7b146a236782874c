//! Listening sockets with the options that streams of small events need.

use std::io;
use std::net::{SocketAddr, TcpListener};

use socket2::SockRef;

/// Binds `address` for use with a runtime; accepted connections send each event at once.
///
/// Accepted sockets inherit the option from the listener. Without it, an event waits for the acknowledgement of the one
/// before, which costs some 40 ms.
///
/// # Errors
///
/// Fails where the operating system refuses the address.
pub fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    SockRef::from(&listener).set_tcp_nodelay(true)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
