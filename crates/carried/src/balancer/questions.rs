//! Questions about flows, gathered by the agent that they go to.

use crate::message::FlowQuery;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Time between two rounds of questions: those of many flows share their messages.
const ROUND: Duration = Duration::from_millis(4);

/// Questions that wait for the next round, by the agent that they go to.
#[derive(Debug, Default)]
pub(super) struct Questions {
    by_agent: BTreeMap<SocketAddrV4, Vec<FlowQuery>>,
    last_round: Option<Duration>,
    next_round: Option<Duration>,
}

impl Questions {
    pub(super) fn add(&mut self, now: Duration, to: SocketAddrV4, question: FlowQuery) {
        let soonest = self.last_round.map_or(now, |last| now.max(last + ROUND));
        self.next_round.get_or_insert(soonest);
        self.by_agent.entry(to).or_default().push(question);
    }

    pub(super) fn next_round(&self) -> Option<Duration> {
        self.next_round
    }

    pub(super) fn take_due(&mut self, now: Duration) -> BTreeMap<SocketAddrV4, Vec<FlowQuery>> {
        if self.next_round.is_none_or(|next| now < next) {
            return BTreeMap::new();
        }
        self.next_round = None;
        self.last_round = Some(now);
        std::mem::take(&mut self.by_agent)
    }
}
