//! Transfers snapshots between nodes over TCP: a node that connects receives one, then the
//! connection is closed.
//!
//! A configuration of many routes is large for a slow link: dozens of nodes that fetch it at once
//! from one balancer would delay callers' packets there for seconds. Each node therefore sends
//! snapshots only within a share of its link and closes further connections at once. A node that
//! received nothing learns of the version from other nodes too, and the first nodes that have it
//! serve it as well.

use crate::command::Command;
use crate::snapshot_budget::SnapshotBudget;
use loftdrift_carried::Snapshot;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// A fetch that takes longer is abandoned.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// A connection whose peer has not read its snapshot in this time is dropped.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest snapshot that is accepted.
const MAX_SNAPSHOT_BYTES: u64 = 4 * 1024 * 1024;
/// Delay between two fetches, so that changes in quick succession are fetched together.
const FETCH_INTERVAL: Duration = Duration::from_millis(60);

/// Serves snapshots until the core's task has ended.
pub(crate) async fn serve(
    listener: TcpListener,
    mut budget: SnapshotBudget,
    commands: mpsc::Sender<Command>,
) {
    let started = Instant::now();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(FETCH_INTERVAL).await;
            continue;
        };
        if !budget.may_send(started.elapsed()) {
            log::debug!("snapshot_refused");
            continue;
        }
        let Some(snapshot) = request_own(&commands).await else { return };
        let bytes = snapshot.encode();
        budget.spend(bytes.len());
        tokio::spawn(async move {
            let _ = tokio::time::timeout(SEND_TIMEOUT, write(stream, bytes)).await;
        });
    }
}

/// Requests this node's snapshot from its core; `None` while the process ends.
pub(crate) async fn request_own(commands: &mpsc::Sender<Command>) -> Option<Snapshot> {
    let (sender, receiver) = oneshot::channel();
    commands.send(Command::GetSnapshot(sender)).await.ok()?;
    receiver.await.ok()
}

async fn write(mut stream: TcpStream, bytes: Vec<u8>) {
    // Errors are ignored: the reader detects a truncated snapshot.
    let _ = stream.write_all(&bytes).await;
    let _ = stream.shutdown().await;
}

/// Fetches snapshots from the nodes that the core requests, one after the other.
pub(crate) async fn fetch_requested(
    mut sources: mpsc::Receiver<SocketAddrV4>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(source) = sources.recv().await {
        fetch_into(source, &commands).await;
        tokio::time::sleep(FETCH_INTERVAL).await;
    }
}

/// Fetches a snapshot from all seeds at the same time. Seeds that are down or no longer
/// exist send none.
pub(crate) async fn fetch_from_seeds(seeds: Vec<SocketAddrV4>, commands: mpsc::Sender<Command>) {
    let fetches = seeds.into_iter().map(|seed| {
        let commands = commands.clone();
        tokio::spawn(async move { fetch_into(seed, &commands).await })
    });
    for fetch in fetches.collect::<Vec<_>>() {
        let _ = fetch.await;
    }
}

async fn fetch_into(source: SocketAddrV4, commands: &mpsc::Sender<Command>) {
    match tokio::time::timeout(FETCH_TIMEOUT, fetch(source)).await {
        Ok(Some(snapshot)) => {
            let _ = commands.send(Command::InstallSnapshot(snapshot)).await;
        }
        Ok(None) | Err(_) => log::debug!(from:% = source; "snapshot_not_fetched"),
    }
}

async fn fetch(source: SocketAddrV4) -> Option<Snapshot> {
    let stream = TcpStream::connect(source).await.ok()?;
    let mut bytes = Vec::new();
    stream.take(MAX_SNAPSHOT_BYTES).read_to_end(&mut bytes).await.ok()?;
    Snapshot::decode(&bytes)
}
