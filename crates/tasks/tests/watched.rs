//! Which end of a task is reported.

use loftdrift_tasks::WatchedTasks;
use std::time::Duration;

#[tokio::test]
async fn a_panic_is_reported_with_its_task_and_its_message() {
    let mut tasks = WatchedTasks::default();
    tasks.spawn("ends", async {});
    tasks.spawn("waits", std::future::pending());
    tasks.spawn("panics", async { panic!("slot {} is gone", 7) });
    let panicked = tasks.wait_for_panic().await;
    assert_eq!(panicked.to_string(), "task `panics` panicked: slot 7 is gone");
}

#[tokio::test]
async fn a_task_that_ends_otherwise_is_not_reported() {
    let mut tasks = WatchedTasks::default();
    tasks.spawn("ends", async {});
    let wait = tokio::time::timeout(Duration::from_millis(50), tasks.wait_for_panic()).await;
    assert!(wait.is_err());
}
