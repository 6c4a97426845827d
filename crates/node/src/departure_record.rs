//! Keeps a record of the back end's acknowledged departures in the shared store.
//!
//! A back end that has said that it leaves serves on for many seconds and says nothing more, so an
//! agent's process that starts meanwhile learns of it from this record alone. The record is written
//! before the acknowledgement is sent, as far as the store answers in time, and removed once
//! another start of the back end takes flows.

use crate::backoff::Backoff;
use crate::command::{Command, NodeStatus};
use crate::shared_store::{SharedStore, StoreFailure};
use loftdrift_carried::Incarnation;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// An agent accepts no flow before it has read the record, so it does not wait longer for a store
/// that is slow: a few times its usual response time.
const READ_TIMEOUT: Duration = Duration::from_millis(400);
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);
/// A departure that could not be recorded is in the store two seconds after it answers again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// How long an acknowledgement waits for the record: a back end takes it for lost after a second.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(300);

/// The task that keeps the record.
#[derive(Debug)]
pub struct DepartureRecord<S> {
    /// The store.
    pub store: S,
    /// Name of the agent, under which the record is kept.
    pub node: String,
    /// The core's status, with the departures that the record should hold.
    pub status: watch::Receiver<NodeStatus>,
    /// Commands to the core.
    pub commands: mpsc::Sender<Command>,
    /// Publishes what the record holds; `None` until that is known. Empty at a first start.
    pub recorded: watch::Sender<Option<Vec<Incarnation>>>,
}

impl<S: SharedStore> DepartureRecord<S> {
    /// Keeps the record until the core's task has ended.
    pub async fn run(mut self) {
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        while !self.commands.is_closed() {
            match self.take_step().await {
                Ok(()) => {
                    backoff.reset();
                    if self.status.changed().await.is_err() {
                        return;
                    }
                }
                Err(failure) => {
                    let failure = failure.to_string();
                    log::warn!(failure = failure.as_str(); "departure_record_failed");
                    backoff.wait().await;
                }
            }
        }
    }

    /// Makes the record hold what it should, and reads it if it is not known.
    async fn take_step(&mut self) -> Result<(), StoreFailure> {
        let (wanted, is_complete) = {
            let status = self.status.borrow_and_update();
            (status.departures.clone(), status.knows_earlier_departures)
        };
        let is_known = is_complete || self.recorded.borrow().is_some();
        if !is_known && wanted.is_empty() {
            return self.read().await;
        }
        let recorded = self.recorded.borrow().clone().unwrap_or_default();
        // A status from before the core has taken what was read shows none of it.
        let is_stale = wanted.is_empty() && !is_complete;
        if wanted == recorded || is_stale {
            return Ok(());
        }
        self.store.write_departures(&self.node, &wanted).await?;
        self.publish(wanted, !is_known).await;
        Ok(())
    }

    /// Reads what earlier processes have recorded.
    async fn read(&self) -> Result<(), StoreFailure> {
        let read = tokio::time::timeout(READ_TIMEOUT, self.store.read_departures(&self.node)).await;
        match read.unwrap_or_else(|_| Err(StoreFailure::NoAnswer("timed out".to_owned()))) {
            Ok(departed) => {
                self.publish(departed, true).await;
                Ok(())
            }
            Err(failure) => {
                // Sending fails only while the process ends.
                let _ = self.commands.send(Command::EarlierDepartures(None)).await;
                Err(failure)
            }
        }
    }

    /// Publishes what the record holds, also to the core if that is `new_to_core`.
    async fn publish(&self, departed: Vec<Incarnation>, new_to_core: bool) {
        self.recorded.send_replace(Some(departed.clone()));
        if new_to_core {
            let _ = self.commands.send(Command::EarlierDepartures(Some(departed))).await;
        }
    }
}

/// Waits until the leaving of a back end is recorded, but not so long that the back end takes the
/// acknowledgement for lost. Without the record it holds for this process only.
pub(crate) async fn wait_until_recorded(
    recorded: &watch::Receiver<Option<Vec<Incarnation>>>,
    backend: &str,
) {
    let mut recorded = recorded.clone();
    let holds = |departed: &Option<Vec<Incarnation>>| {
        departed.iter().flatten().any(|start| start.id == backend)
    };
    let wait = recorded.wait_for(holds);
    if !matches!(tokio::time::timeout(ACKNOWLEDGEMENT_DELAY, wait).await, Ok(Ok(_))) {
        log::warn!(backend; "departure_not_recorded");
    }
}
