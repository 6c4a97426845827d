//! Serves the metrics of the core, the store client and the logger over HTTP.

use crate::command::{Command, CoreMetrics};
use crate::counted_store::StoreMeter;
use hyper::StatusCode;
use loftdrift_counters::{CounterSet, PublishedSet, counter_set, render};
use loftdrift_http::text_response;
use std::net::SocketAddrV4;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

const METRICS_PATH: &str = "/metrics";

counter_set! {
    /// Counters of the logger.
    pub struct LogCounters {
        /// Lines dropped because standard output was too slow or closed.
        lines_dropped,
        /// Panics of the process. A task that the process cannot go on without ends it.
        panics,
    }
}

/// Serves the metrics page.
pub(crate) struct Metrics {
    /// Role that is part of the name of each of the core's metrics.
    pub(crate) role: &'static str,
    pub(crate) commands: mpsc::Sender<Command>,
    pub(crate) store: StoreMeter,
}

impl Metrics {
    /// Serves the page. If the address is taken, the node logs a warning and runs without metrics.
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
            let is_metrics_path = request.uri().path() == METRICS_PATH;
            async move {
                if !is_metrics_path {
                    return Some(text_response(StatusCode::NOT_FOUND, ""));
                }
                let page = render_page(role, &commands, &store).await?;
                Some(text_response(StatusCode::OK, page))
            }
        })
        .await;
    }
}

async fn render_page(
    role: &'static str,
    commands: &mpsc::Sender<Command>,
    store: &StoreMeter,
) -> Option<String> {
    let (sender, metrics) = oneshot::channel();
    commands.send(Command::GetMetrics(sender)).await.ok()?;
    let CoreMetrics { samples, histograms } = metrics.await.ok()?;
    let log = LogCounters {
        lines_dropped: loftdrift_logging::lines_dropped(),
        panics: loftdrift_logging::panics(),
    };
    let core = PublishedSet { role, samples, histograms };
    let log = PublishedSet { role: "log", samples: log.samples(), histograms: Vec::new() };
    Some(render(&[core, store.publish(), log]))
}
