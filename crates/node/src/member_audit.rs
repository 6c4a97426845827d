//! Compares the shared store's member list with the nodes that are alive, whenever the core
//! requests it. The balancers that watch the store do so about once a minute and when the store
//! answers again after an outage.

use crate::command::Command;
use crate::shared_store::{Consistency, MemberEntry, SharedStore, StoreFailure};
use loftdrift_carried::{ListedNode, NodeList, NodeRole};
use tokio::sync::{mpsc, oneshot};

/// Runs the requested audits until the request channel is closed.
pub async fn run(
    store: impl SharedStore,
    mut requests: mpsc::Receiver<Consistency>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(consistency) = requests.recv().await {
        let mut outcome = audit_once(&store, consistency, &commands).await;
        // The compared list, or a removal's condition, may belong to another era of the store.
        if outcome == Err(StoreFailure::Restored) {
            outcome = audit_once(&store, Consistency::Latest, &commands).await;
        }
        if let Err(failure) = outcome {
            let failure = failure.to_string();
            log::warn!(failure = failure.as_str(); "members_not_audited");
        }
    }
}

async fn audit_once(
    store: &impl SharedStore,
    consistency: Consistency,
    commands: &mpsc::Sender<Command>,
) -> Result<(), StoreFailure> {
    let balancers = store.read_members(NodeRole::Balancer, consistency).await?;
    let agents = store.read_members(NodeRole::Agent, consistency).await?;
    let era = balancers.position.era;
    if agents.position.era != era {
        return Err(StoreFailure::Restored);
    }
    let mut entries = balancers.entries;
    entries.extend(agents.entries);
    let listed = entries
        .iter()
        .map(|entry| ListedNode { address: entry.member.address, role: entry.member.role });
    let list = NodeList { nodes: listed.collect(), is_newest: consistency == Consistency::Latest };
    let (reply, dead) = oneshot::channel();
    // Sending fails only while the process ends.
    let _ = commands.send(Command::AuditMembers(list, reply)).await;
    let Ok(dead) = dead.await else { return Ok(()) };
    for entry in entries.iter().filter(|entry| dead.contains(&entry.member.address)) {
        remove(store, entry, era).await?;
    }
    Ok(())
}

/// Removes an entry that was read in `era`, unless its node has written it again since.
///
/// A store that was restored in between may have reused the entry's revision for a later write of
/// the same key. An entry removed by that mistake is found missing by the following audit, and its
/// node writes it again.
async fn remove(
    store: &impl SharedStore,
    entry: &MemberEntry,
    era: u64,
) -> Result<(), StoreFailure> {
    let MemberEntry { member, revision } = entry;
    log::info!(name = member.name.as_str(), address:% = member.address; "member_entry_removed");
    match store.remove_member(member, *revision).await {
        Ok(position) if position.era != era => Err(StoreFailure::Restored),
        // `Gone`: the entry was written again, or no longer exists.
        Ok(_) | Err(StoreFailure::Gone) => Ok(()),
        Err(failure) => Err(failure),
    }
}
