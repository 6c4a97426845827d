//! A TCP relay whose open connections can be made to stop carrying data without being closed, while
//! new connections work.

use anyhow::Result;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// Relays TCP connections to a server.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address to which clients connect.
    pub address: SocketAddr,
    /// Number of calls of [`Relay::blackhole_connections`]. A change affects all connections that
    /// are open at that time.
    blackhole_count: watch::Sender<u64>,
}

impl Relay {
    /// Starts a relay to `server` on a loopback port that the kernel assigns.
    pub async fn start(server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let blackhole_count = watch::channel(0).0;
        let relay = Relay { address, blackhole_count: blackhole_count.clone() };
        tokio::spawn(async move {
            loop {
                let Ok((client, _)) = listener.accept().await else { return };
                tokio::spawn(forward(client, server, blackhole_count.subscribe()));
            }
        });
        Ok(relay)
    }

    /// Makes all open connections stop carrying data, for good. They stay open.
    pub fn blackhole_connections(&self) {
        self.blackhole_count.send_modify(|count| *count += 1);
    }
}

async fn forward(
    mut client: TcpStream,
    server: SocketAddr,
    mut blackhole_count: watch::Receiver<u64>,
) {
    let Ok(mut upstream) = TcpStream::connect(server).await else { return };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut upstream) => {}
        // Neither socket is dropped, so both ends stay open.
        _ = blackhole_count.changed() => std::future::pending().await,
    }
}
