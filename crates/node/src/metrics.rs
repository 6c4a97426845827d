//! The page of metrics: what the core, the store's client and the log have counted.

use crate::command::{Command, Measures};
use crate::counted_store::StoreMeter;
use hyper::StatusCode;
use loftdrift_counters::{CounterSet, PublishedSet, counter_set, render};
use loftdrift_http::text_response;
use std::net::SocketAddrV4;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

const PATH: &str = "/metrics";

counter_set! {
    /// What the log has counted.
    pub struct LogCounters {
        /// Lines dropped because standard output was too slow or closed.
        lines_dropped,
    }
}

/// What a page shows besides the core's own.
pub(crate) struct Metrics {
    /// The core's part of each name.
    pub(crate) role: &'static str,
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) store: StoreMeter,
}

impl Metrics {
    /// Serves the page; a node without one is better than none, so an address that is taken is told.
    pub(crate) async fn serve(self, address: SocketAddrV4) {
        let listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(error) => {
                let error = error.to_string();
                log::warn!(error = error.as_str(), address:%; "metrics_not_served");
                return;
            }
        };
        let Metrics { role, commands, store } = self;
        loftdrift_http::serve(listener, move |request| {
            let (commands, store) = (commands.clone(), store.clone());
            let is_here = request.uri().path() == PATH;
            async move {
                if !is_here {
                    return Some(text_response(StatusCode::NOT_FOUND, ""));
                }
                let page = page(role, &commands, &store).await?;
                Some(text_response(StatusCode::OK, page))
            }
        })
        .await;
    }
}

async fn page(
    role: &'static str,
    commands: &mpsc::Sender<Command>,
    store: &StoreMeter,
) -> Option<String> {
    let (sender, measures) = oneshot::channel();
    commands.send(Command::GiveMeasures(sender)).await.ok()?;
    let Measures { samples, histograms } = measures.await.ok()?;
    let log = LogCounters { lines_dropped: loftdrift_logging::lines_dropped() };
    let core = PublishedSet { role, samples, histograms };
    let log = PublishedSet { role: "log", samples: log.samples(), histograms: Vec::new() };
    Some(render(&[core, store.publish(), log]))
}
