//! Delegated store reads.
//!
//! While the shared store refuses a balancer or does not answer its reads, and no peer reports a
//! confirmation, the balancer asks agents, one at a time, to read the configuration from the store.
//! The store may refuse some machines while it serves others.

use super::*;

/// Time without an answer from the store before the first agent is asked; shorter outages need no
/// delegated read.
const INITIAL_DELAY: Duration = Duration::from_millis(300);
/// Share of the configuration bound for which a confirmation counts as fresh and no agent is asked.
/// The rest of the bound is left for the interval between two requests and for the answer.
const FRESH_SHARE: f64 = 0.5;
/// Maximum random delay, so that balancers whose confirmations go stale at the same moment do not
/// all ask at once.
const MAX_JITTER: Duration = Duration::from_millis(200);
/// Mean time between requests to two agents.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Schedule of the delegated reads.
#[derive(Debug, Default)]
pub(super) struct DelegatedReads {
    /// When the next agent is asked; `None` while the store answers this balancer.
    next: Option<Duration>,
}

impl DelegatedReads {
    pub(super) fn next(&self) -> Option<Duration> {
        self.next
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Updates the schedule with whether the store has answered this balancer.
    pub(super) fn note_store_answer(&mut self, now: Duration, answers: bool) {
        if !self.policies.is_enabled(Policy::DelegatedStoreReads) {
            return;
        }
        self.delegated_reads.next = match (answers, self.delegated_reads.next) {
            (true, _) => None,
            (false, None) => Some(now + INITIAL_DELAY),
            (false, next) => next,
        };
    }

    /// Schedules a delegated read in case this balancer's own read, which starts now, hangs.
    pub(super) fn note_read_started(&mut self, now: Duration) {
        if self.policies.is_enabled(Policy::DelegatedStoreReads) {
            self.delegated_reads.next.get_or_insert(now + INITIAL_DELAY);
        }
    }

    /// Asks a random live agent to read the store, if a request is due.
    pub(super) fn request_delegated_read(&mut self, now: Duration) {
        if self.delegated_reads.next.is_none_or(|next| now < next) {
            return;
        }
        let fresh = self.store_watch.bound().mul_f64(FRESH_SHARE);
        if self.unconfirmed_for(now) < fresh {
            let spread = MAX_JITTER.mul_f64(self.random.random_range(0.0..1.0));
            self.delegated_reads.next = Some(self.cluster.store.confirmed_at() + fresh + spread);
            return;
        }
        let jitter = self.random.random_range(0.75..1.25);
        self.delegated_reads.next = Some(now + REQUEST_INTERVAL.mul_f64(jitter));
        let interval = self.cluster.membership.interval();
        let alive = self.pool.iter().filter(|(_, view)| !view.is_suspect(now, interval));
        let agents: Vec<SocketAddrV4> = alive.map(|(agent, _)| *agent).collect();
        if agents.is_empty() {
            return;
        }
        let to = agents[self.random.random_range(0..agents.len())];
        self.counters.store_errands += 1;
        self.outputs.push_back(Output::ToPeer { to, message: Message::ReadStore });
    }
}
