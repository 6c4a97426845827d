//! Compares the shared store's list with who lives, whenever the core asks for it: the balancers that wait
//! at the store do, about once a minute and at its return.

use crate::command::Command;
use crate::shared_store::{Consistency, MemberEntry, SharedStore, StoreFailure};
use loftdrift_carried::{ListedNode, NodeList, NodeRole};
use tokio::sync::{mpsc, oneshot};

/// Audits until nobody asks any more.
pub async fn run(
    store: impl SharedStore,
    mut requests: mpsc::Receiver<Consistency>,
    commands: mpsc::Sender<Command>,
) {
    while let Some(consistency) = requests.recv().await {
        let mut outcome = audit_once(&store, consistency, &commands).await;
        // What was compared, or removed, may have been another history's.
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
    // Nobody listens only while the process ends.
    let _ = commands.send(Command::AuditMembers(list, reply)).await;
    let Ok(dead) = dead.await else { return Ok(()) };
    for entry in entries.iter().filter(|entry| dead.contains(&entry.member.address)) {
        remove(store, entry, era).await?;
    }
    Ok(())
}

/// Removes an entry that was read in an era, unless its node has written it again. A store that has come
/// back since may have given its revision to a later writing of the same key: what was removed then is
/// missed by the audit that follows, and written again by its node.
async fn remove(
    store: &impl SharedStore,
    entry: &MemberEntry,
    era: u64,
) -> Result<(), StoreFailure> {
    let MemberEntry { member, revision } = entry;
    log::info!(name = member.name.as_str(), address:% = member.address; "member_entry_removed");
    match store.remove_member(member, Some(*revision)).await {
        Ok(position) if position.era != era => Err(StoreFailure::Restored),
        // It was written again, or is gone.
        Ok(_) | Err(StoreFailure::Gone) => Ok(()),
        Err(failure) => Err(failure),
    }
}
