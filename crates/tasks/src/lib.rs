//! The tasks that a process cannot go on without. If one of them panics, the others would wait for
//! it for good while the process looks alive, so whoever owns the tasks ends the process.

use std::any::Any;
use std::collections::HashMap;
use std::future::Future;
use thiserror::Error;
use tokio::task::{self, JoinSet};

/// A task has panicked.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("task `{task}` panicked: {reason}")]
pub struct TaskPanicked {
    /// Name of the task.
    pub task: &'static str,
    /// The panic's message.
    pub reason: String,
}

/// Running tasks with their names. They are aborted when the set is dropped.
#[derive(Debug, Default)]
pub struct WatchedTasks {
    tasks: JoinSet<()>,
    names: HashMap<task::Id, &'static str>,
}

impl WatchedTasks {
    /// Starts a task.
    pub fn spawn(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let handle = self.tasks.spawn(task);
        self.names.insert(handle.id(), name);
    }

    /// Waits until a task panics. Tasks that end otherwise have done their work. Cancel safe.
    pub async fn wait_for_panic(&mut self) -> TaskPanicked {
        loop {
            match self.tasks.join_next_with_id().await {
                Some(Ok((id, ()))) => drop(self.names.remove(&id)),
                Some(Err(error)) => {
                    let name = self.names.remove(&error.id()).unwrap_or_default();
                    if let Ok(panic) = error.try_into_panic() {
                        return TaskPanicked { task: name, reason: panic_message(&*panic) };
                    }
                }
                // Nothing is left that could panic.
                None => std::future::pending().await,
            }
        }
    }
}

/// The message of a panic.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "no message".to_owned())
}
