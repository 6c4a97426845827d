//! Opens sockets; errors name the address and the setting it came from.

use anyhow::{Context, Result};
use std::net::SocketAddrV4;
use tokio::net::{TcpListener, UdpSocket};

/// Requested from the kernel, which may grant less. A smaller buffer drops more datagrams during
/// bursts but is otherwise harmless.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// Binds a UDP socket to the address given by a setting.
pub(crate) async fn bind_udp(setting: &str, address: SocketAddrV4) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("setting `{setting}`: cannot listen on UDP {address}"))?;
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket2::SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER_BYTES);
    Ok(socket)
}

/// Binds a TCP listener to the address given by a setting.
pub(crate) async fn bind_tcp(setting: &str, address: SocketAddrV4) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("setting `{setting}`: cannot listen on TCP {address}"))
}

/// The local address of a socket, which must be IPv4.
pub(crate) fn local_address(
    address: std::io::Result<std::net::SocketAddr>,
) -> Result<SocketAddrV4> {
    match address? {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(address) => anyhow::bail!("{address} is not an IPv4 address"),
    }
}

/// Prints the address on which a process listens to standard output. Programs that start it with
/// port 0 read the assigned port from there.
pub(crate) fn announce(
    setting: &str,
    address: std::io::Result<std::net::SocketAddr>,
) -> Result<()> {
    println!("listening {setting} {}", address?);
    Ok(())
}
