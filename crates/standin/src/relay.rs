//! TCP connections that can go silent for good, without a reset, while new ones work.

use anyhow::Result;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

/// Carries connections to a server.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where clients connect.
    pub address: SocketAddr,
    /// Counts the times that all open connections went silent.
    blackhole_count: watch::Sender<u64>,
}

impl Relay {
    /// A relay to a server, on a port of its own.
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

    /// Connections that are open now carry nothing any more.
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
        // Both ends stay open.
        _ = blackhole_count.changed() => std::future::pending().await,
    }
}
