//! Snapshots between nodes: whoever connects is given one and the connection ends.
//!
//! A configuration of many routes is large beside a slow link: dozens of nodes that fetch it at once from
//! one balancer would hold up callers' packets there for seconds. Each node therefore gives snapshots
//! within a share of its link, and ends other connections at once; whoever got nothing hears of
//! the version from others as well, and the first that have it give it on.

use crate::command::Command;
use crate::snapshot_budget::SnapshotBudget;
use loftdrift_carried::Snapshot;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// A node that has not given its snapshot in this time is not waited for.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);
/// A node that has not taken its snapshot in this time is left.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest snapshot that is read, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 4 * 1024 * 1024;
/// Time between two fetches, so that changes in quick succession are taken together.
const FETCH_INTERVAL: Duration = Duration::from_millis(60);

/// Gives snapshots until nobody listens.
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

/// The core's snapshot; `None` while the process ends.
pub(crate) async fn request_own(commands: &mpsc::Sender<Command>) -> Option<Snapshot> {
    let (sender, receiver) = oneshot::channel();
    commands.send(Command::GetSnapshot(sender)).await.ok()?;
    receiver.await.ok()
}

async fn write(mut stream: TcpStream, bytes: Vec<u8>) {
    // The reader notices a snapshot that was cut off.
    let _ = stream.write_all(&bytes).await;
    let _ = stream.shutdown().await;
}

/// Fetches snapshots from nodes that are named, one after the other.
pub(crate) async fn fetch_requested(
    mut sources: mpsc::Receiver<SocketAddrV4>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(source) = sources.recv().await {
        fetch_into(source, &commands).await;
        tokio::time::sleep(FETCH_INTERVAL).await;
    }
}

/// Fetches a snapshot from each seed at once; those that are down or stale give none.
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
