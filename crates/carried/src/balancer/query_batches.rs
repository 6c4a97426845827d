//! Batches the queries about flows that are sent to the same agent.

use crate::message::FlowQuery;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Minimum time between two batches, so that queries about many flows share messages.
const BATCH_INTERVAL: Duration = Duration::from_millis(4);

/// Queries that wait for the next batch, by destination agent.
#[derive(Debug, Default)]
pub(super) struct QueryBatches {
    by_agent: BTreeMap<SocketAddrV4, Vec<FlowQuery>>,
    last_send: Option<Duration>,
    next_send: Option<Duration>,
}

impl QueryBatches {
    pub(super) fn add(&mut self, now: Duration, to: SocketAddrV4, query: FlowQuery) {
        let soonest = self.last_send.map_or(now, |last| now.max(last + BATCH_INTERVAL));
        self.next_send.get_or_insert(soonest);
        self.by_agent.entry(to).or_default().push(query);
    }

    pub(super) fn next_send(&self) -> Option<Duration> {
        self.next_send
    }

    pub(super) fn take_due(&mut self, now: Duration) -> BTreeMap<SocketAddrV4, Vec<FlowQuery>> {
        if self.next_send.is_none_or(|next| now < next) {
            return BTreeMap::new();
        }
        self.next_send = None;
        self.last_send = Some(now);
        std::mem::take(&mut self.by_agent)
    }
}
