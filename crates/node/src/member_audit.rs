//! Compares the shared store's list with who lives, whenever the core asks for it: the balancers that wait
//! at the store do, about once a minute and at its return.

use crate::command::Command;
use crate::shared_store::{Currency, MemberEntry, SharedStore, StoreFailure};
use loftdrift_carried::{ListedNode, NodeRole};
use tokio::sync::{mpsc, oneshot};

/// Audits until nobody asks any more.
pub(crate) async fn audit(
    store: impl SharedStore,
    mut asked: mpsc::Receiver<Currency>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(currency) = asked.recv().await {
        if let Err(failure) = audit_once(&store, currency, &commands).await {
            let failure = failure.to_string();
            log::warn!(failure = failure.as_str(); "members_not_audited");
        }
    }
}

async fn audit_once(
    store: &impl SharedStore,
    currency: Currency,
    commands: &mpsc::Sender<Command>,
) -> Result<(), StoreFailure> {
    let mut entries = store.read_members(NodeRole::Balancer, currency).await?.entries;
    entries.extend(store.read_members(NodeRole::Agent, currency).await?.entries);
    let listed = entries
        .iter()
        .map(|entry| ListedNode { address: entry.member.address, role: entry.member.role });
    let (answer, dead) = oneshot::channel();
    // Nobody listens only while the process ends.
    let _ = commands.send(Command::Audit(listed.collect(), answer)).await;
    let Ok(dead) = dead.await else { return Ok(()) };
    for entry in entries.iter().filter(|entry| dead.contains(&entry.member.address)) {
        remove(store, entry).await?;
    }
    Ok(())
}

/// Removes an entry, unless its node has written it again.
async fn remove(store: &impl SharedStore, entry: &MemberEntry) -> Result<(), StoreFailure> {
    let MemberEntry { member, revision } = entry;
    log::info!(name = member.name.as_str(), address:% = member.address; "member_entry_removed");
    store.remove_member(member, Some(*revision)).await
}
