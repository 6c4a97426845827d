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
    silences: watch::Sender<u64>,
}

impl Relay {
    /// A relay to a server, on a port of its own.
    pub async fn start(server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let silences = watch::channel(0).0;
        let relay = Relay { address, silences: silences.clone() };
        tokio::spawn(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else { return };
                tokio::spawn(carry(near, server, silences.subscribe()));
            }
        });
        Ok(relay)
    }

    /// Connections that are open now carry nothing any more.
    pub fn blackhole_connections(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

async fn carry(mut near: TcpStream, server: SocketAddr, mut silences: watch::Receiver<u64>) {
    let Ok(mut far) = TcpStream::connect(server).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        // Both ends stay open.
        _ = silences.changed() => std::future::pending().await,
    }
}
