//! Sockets opened with errors that name both the address and the setting.

use anyhow::{Context, Result};
use std::net::SocketAddrV4;
use tokio::net::{TcpListener, UdpSocket};

/// Asked of the kernel, which may give less; a smaller buffer only drops more under bursts.
const SOCKET_BUFFER_BYTES: usize = 4 * 1024 * 1024;

/// A UDP socket on the address that a setting names.
pub(crate) async fn bind_udp(setting: &str, address: SocketAddrV4) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("setting `{setting}`: cannot listen on UDP {address}"))?;
    let _ = socket2::SockRef::from(&socket).set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket2::SockRef::from(&socket).set_send_buffer_size(SOCKET_BUFFER_BYTES);
    Ok(socket)
}

/// A TCP listener on the address that a setting names.
pub(crate) async fn bind_tcp(setting: &str, address: SocketAddrV4) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("setting `{setting}`: cannot listen on TCP {address}"))
}

/// The IPv4 address that a socket got.
pub(crate) fn local_address(
    address: std::io::Result<std::net::SocketAddr>,
) -> Result<SocketAddrV4> {
    match address? {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(address) => anyhow::bail!("{address} is no IPv4 address"),
    }
}

/// Tells on standard output where a process listens, so that whoever started it with port 0 knows.
pub(crate) fn announce(
    setting: &str,
    address: std::io::Result<std::net::SocketAddr>,
) -> Result<()> {
    println!("listening {setting} {}", address?);
    Ok(())
}
