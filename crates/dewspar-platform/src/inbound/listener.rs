/*!
Listeners whose connections the kernel holds little for.
*/

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::net::{TcpListener, TcpSocket, TcpStream},
};

/// The delay after a connection that couldn't be accepted.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// How many bytes the kernel holds for a connection before they are read, at
/// most: more than a usual request.
const RECEIVE_BUFFER_BYTES: u32 = 32 * 1024;

/// How many connections wait to be accepted at most.
const BACKLOG: u32 = 1_024;

/// What a connection is told for which there is no place; nothing that it sent
/// has been read.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Listens at an address, with a bounded receive buffer for each connection.
///
/// # Errors
///
/// Returns the error of binding the address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // OK to ignore: a kernel that refuses it has bounds of its own.
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Tells a new connection that there is no place for it, if it takes that at
/// once.
pub(super) fn refuse(stream: &TcpStream) {
    // OK to ignore: a client without an answer tries again as well.
    let _ = stream.try_write(REFUSAL);
}
