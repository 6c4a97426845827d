//! Exposes a process's counters in the Prometheus text format and as periodic log lines.

use hyper::StatusCode;
use loftdrift_counters::{CounterSet, PublishedSet, format_nonzero, render};
use loftdrift_http::text_response;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// How often a process publishes its counters.
pub const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Creates the channel on which a process publishes its counters.
pub fn channel(role: &'static str) -> (watch::Sender<PublishedSet>, watch::Receiver<PublishedSet>) {
    watch::channel(PublishedSet { role, samples: Vec::new(), histograms: Vec::new() })
}

/// Publishes the current values of a counter set.
pub fn publish(counters: &watch::Sender<PublishedSet>, set: &impl CounterSet) {
    counters.send_modify(|published| published.samples = set.samples());
}

/// The latest published value of a counter, or 0 if it was not published yet.
pub fn value(counters: &watch::Receiver<PublishedSet>, name: &str) -> u64 {
    let published = counters.borrow();
    let sample = published.samples.iter().find(|sample| sample.name == name);
    sample.map_or(0, |sample| sample.value)
}

/// Serves `/metrics` until the task is dropped.
pub async fn serve(listener: TcpListener, counters: watch::Receiver<PublishedSet>) {
    loftdrift_http::serve(listener, move |request| {
        let response = match request.uri().path() {
            "/metrics" => text_response(StatusCode::OK, render(&[counters.borrow().clone()])),
            _ => text_response(StatusCode::NOT_FOUND, "metrics are at /metrics"),
        };
        std::future::ready(Some(response))
    })
    .await;
}

/// Logs the counters every ten seconds until their publisher has ended.
pub async fn log_periodically(mut counters: watch::Receiver<PublishedSet>) {
    while counters.changed().await.is_ok() {
        tokio::time::sleep(LOG_INTERVAL).await;
        let published = counters.borrow_and_update().clone();
        log::info!(role = published.role; "counters {}", format_nonzero(&published.samples));
    }
}
