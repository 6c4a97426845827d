//! Keeps a process's configuration up to date: reads all of it, then watches for changes.
//!
//! A watch without events may mean that nothing has changed or that its connection has failed
//! silently. The head key, which each change writes, is therefore read over another connection.

use crate::client::{StoreClient, StoreError, key_value};
use crate::etcd::{DELETE_EVENT, WatchLine, WatchResponse};
use loftdrift_configuration::{
    Configuration, DocumentError, Documents, HEAD_KEY, KEY_PREFIX, StoreReply, StoreRequest,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::watch;

const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How long a watch may stay without events before the head key is read, give or take a quarter. A
/// third of the time within which a change must be in force everywhere.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(6);

#[derive(Debug, Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Document(#[from] DocumentError),
    #[error("the watch ended")]
    WatchEnded,
    #[error("all receivers of the configuration were dropped")]
    NoSubscribers,
}

/// Publishes each new configuration from the store until all receivers are dropped.
///
/// While the store cannot be reached, the last configuration stays published. Retries use
/// exponential backoff with jitter, so that many processes do not return at the same time.
pub async fn follow_configuration(
    store: StoreClient,
    seed: u64,
    published: watch::Sender<Option<Arc<Configuration>>>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut backoff = INITIAL_BACKOFF;
    let mut is_reachable = true;
    loop {
        let mut has_read = false;
        // Jitter, so that processes that started together do not read the head at the same moment.
        let idle_timeout = WATCH_IDLE_TIMEOUT.mul_f64(rng.random_range(0.75..1.25));
        let error = match read_and_watch(&store, &published, idle_timeout, &mut has_read).await {
            Err(FollowError::NoSubscribers) => return,
            Err(error) => error,
            Ok(()) => FollowError::WatchEnded,
        };
        if has_read {
            backoff = INITIAL_BACKOFF;
            is_reachable = true;
        }
        if is_reachable {
            log::warn!(error:% = error; "configuration store lost, keeping the last configuration");
            is_reachable = false;
        }
        tokio::time::sleep(backoff.mul_f64(rng.random_range(0.5..1.5))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

async fn read_and_watch(
    store: &StoreClient,
    published: &watch::Sender<Option<Arc<Configuration>>>,
    idle_timeout: Duration,
    has_read: &mut bool,
) -> Result<(), FollowError> {
    let request = StoreRequest::ReadPrefix { prefix: KEY_PREFIX.to_owned() };
    let StoreReply::Keys { keys, revision } = store.send(&request).await? else {
        return Ok(());
    };
    let mut documents = Documents::read(&keys)?;
    publish(&documents, published)?;
    *has_read = true;
    let mut lines = store.watch(KEY_PREFIX, revision + 1).await?;
    loop {
        let line = tokio::select! {
            line = lines.next::<WatchLine>() => line.map_err(StoreError::from)?,
            () = published.closed() => return Err(FollowError::NoSubscribers),
            () = tokio::time::sleep(idle_timeout) => {
                if is_newest(store, &documents).await? {
                    continue;
                }
                log::warn!("a watch of the configuration store says nothing of a change");
                return Ok(());
            }
        };
        let Some(line) = line else { return Ok(()) };
        if line.result.canceled || line.result.compact_revision.0 != 0 {
            return Ok(());
        }
        if line.result.events.is_empty() {
            continue;
        }
        apply_events(&mut documents, line.result)?;
        publish(&documents, published)?;
    }
}

/// Whether the store's head key, which each change writes, has the revision that is known.
async fn is_newest(store: &StoreClient, known: &Documents) -> Result<bool, StoreError> {
    let request = StoreRequest::ReadPrefix { prefix: HEAD_KEY.to_owned() };
    let StoreReply::Keys { keys, .. } = store.send(&request).await? else { return Ok(false) };
    let head = keys.iter().find(|key| key.key == HEAD_KEY);
    Ok(head.map_or(0, |head| head.mod_revision) == known.head_mod_revision())
}

fn apply_events(documents: &mut Documents, response: WatchResponse) -> Result<(), DocumentError> {
    for event in response.events {
        if event.kind == DELETE_EVENT {
            documents.delete(&event.kv.key.0);
        } else {
            documents.put(&key_value(event.kv))?;
        }
    }
    Ok(())
}

/// Publishes the configuration only if it is newer than the published one, so that a store restored
/// from an older copy does not roll back the configuration.
fn publish(
    documents: &Documents,
    published: &watch::Sender<Option<Arc<Configuration>>>,
) -> Result<(), FollowError> {
    if published.is_closed() {
        return Err(FollowError::NoSubscribers);
    }
    let configuration = documents.configuration();
    published.send_if_modified(|current| {
        let newer = current.as_ref().is_none_or(|current| configuration.version > current.version);
        if newer {
            *current = Some(Arc::new(configuration));
        }
        newer
    });
    Ok(())
}
