//! What a balancer does while the shared store refuses it, or leaves its reading unanswered, and nobody else
//! tells it of a confirmation: it asks agents, one at a time, to read the configuration there. The store may
//! refuse some machines while it serves others.

use super::*;

/// A store that is away for less than this needs nobody else's help.
const INITIAL_DELAY: Duration = Duration::from_millis(300);
/// A balancer that has heard of a confirmation within this share of the bound for configurations asks
/// nobody; the rest is for the time between two agents and their answer.
const FRESH_SHARE: f64 = 0.5;
/// Balancers that hear of no confirmation at the same moment do not all ask at the same one.
const MAX_JITTER: Duration = Duration::from_millis(200);
/// Time between two agents that are asked.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// When the next agent is asked; `None` while the store answers this balancer.
#[derive(Debug, Default)]
pub(super) struct DelegatedReads {
    next: Option<Duration>,
}

impl DelegatedReads {
    pub(super) fn next(&self) -> Option<Duration> {
        self.next
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    pub(super) fn note_store_answer(&mut self, now: Duration, answers: bool) {
        if !self.policies.has(Policy::StoreErrands) {
            return;
        }
        self.delegated_reads.next = match (answers, self.delegated_reads.next) {
            (true, _) => None,
            (false, None) => Some(now + INITIAL_DELAY),
            (false, next) => next,
        };
    }

    /// A reading has begun: it may hang.
    pub(super) fn note_read_started(&mut self, now: Duration) {
        if self.policies.has(Policy::StoreErrands) {
            self.delegated_reads.next.get_or_insert(now + INITIAL_DELAY);
        }
    }

    /// Asks an agent when it is time.
    pub(super) fn request_delegated_read(&mut self, now: Duration) {
        if self.delegated_reads.next.is_none_or(|next| now < next) {
            return;
        }
        let fresh = self.store_watch.bound().mul_f64(FRESH_SHARE);
        if self.unconfirmed_for(now) < fresh {
            let spread = MAX_JITTER.mul_f64(self.random.random_range(0.0..1.0));
            self.delegated_reads.next = Some(self.standing.store.confirmed_at() + fresh + spread);
            return;
        }
        let jitter = self.random.random_range(0.75..1.25);
        self.delegated_reads.next = Some(now + REQUEST_INTERVAL.mul_f64(jitter));
        let interval = self.standing.membership.interval();
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
