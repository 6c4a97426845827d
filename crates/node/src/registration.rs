//! Keeps the node's entry in the shared store's list, and learns the others' from it.
//!
//! The entry is written before the list is read, so that of two nodes which start together at least
//! one learns of the other, and tells it.

use crate::command::Command;
use crate::pace::Pace;
use crate::shared_store::{Lease, Member, SharedStore, StoreFailure};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long the entry outlives its node. Long: it is only read by nodes that start, which find out
/// for themselves who answers.
const LEASE_LASTS: Duration = Duration::from_secs(180);
/// Renewals in the time that a lease lasts.
const RENEWALS: u32 = 3;
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A node that leaves for good waits so long for the store to take its entry away.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// Keeps the entry until nobody listens, and publishes the lease that it stands under.
pub(crate) async fn keep(
    store: impl SharedStore,
    member: Member,
    commands: mpsc::Sender<Command>,
    held: watch::Sender<Option<Lease>>,
) {
    let mut pace = Pace::new(FIRST_PAUSE, LONGEST_PAUSE);
    while !commands.is_closed() {
        match enter(&store, &member, &commands).await {
            Ok(lease) => {
                held.send_replace(Some(lease));
                pace.reset();
                renew(&store, lease, &mut pace).await;
            }
            Err(failure) => {
                let failure = failure.to_string();
                log::debug!(failure = failure.as_str(); "registration_failed");
            }
        }
        pace.pause().await;
    }
}

/// Takes the entry of a node away that leaves for good: whoever starts later need not wait for it.
pub(crate) async fn leave(store: impl SharedStore, lease: Option<Lease>) {
    if let Some(lease) = lease {
        // Left to the lease's end where the store does not answer.
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, store.end_lease(lease)).await;
    }
}

async fn enter(
    store: &impl SharedStore,
    member: &Member,
    commands: &mpsc::Sender<Command>,
) -> Result<Lease, StoreFailure> {
    // The list first where the entry cannot be written: nodes that start need it most.
    let entered = write_entry(store, member).await;
    let members = store.read_members().await?;
    let members = members.into_iter().map(|member| (member.address, member.role)).collect();
    let _ = commands.send(Command::Learn(members)).await;
    entered
}

async fn write_entry(store: &impl SharedStore, member: &Member) -> Result<Lease, StoreFailure> {
    let lease = store.take_lease(LEASE_LASTS).await?;
    store.write_member(member, lease).await?;
    Ok(lease)
}

/// Renews a lease until it is over.
async fn renew(store: &impl SharedStore, lease: Lease, pace: &mut Pace) {
    loop {
        tokio::time::sleep(lease.lasts / RENEWALS).await;
        loop {
            match store.renew_lease(lease).await {
                Ok(()) => break,
                Err(StoreFailure::Gone) => return,
                Err(_) => pace.pause().await,
            }
        }
        pace.reset();
    }
}
