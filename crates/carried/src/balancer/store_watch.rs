//! Selects the balancers that watch the shared store for a newer configuration.
//!
//! A few balancers of each zone watch the store, so that the number of calls grows with zones and
//! changes and not with balancers. The other balancers learn from heartbeats, which carry the
//! configuration's version and the age of the store's last confirmation that it is the newest.
//! There is no election: each balancer ranks the balancers of its zone whose heartbeats it
//! receives, and itself, by link speed and address. While their views differ, one balancer more or
//! less watches.
//!
//! Invariants:
//! - A balancer that has received no confirmation for a third of the configuration bound reads the
//!   store itself when its turn comes: it relies neither on other balancers' watches nor on its
//!   own, which may hang.
//! - A balancer that is alone in its zone watches the store.

use super::*;

/// Minimum number of watching balancers in a zone, so that losing one to a network partition does
/// no harm.
const MIN_WATCHERS_PER_ZONE: usize = 2;
/// Minimum number of watching balancers in the whole system, if it has that many. If the store
/// refuses a third of all nodes, it refuses all of six with a probability of 0.14 %, and all of ten
/// (two in each of five zones) with 0.002 %.
const MIN_WATCHERS: usize = 6;
/// Minimum time from the process's start to the first ranking. Before it has read the list of nodes
/// and received their heartbeats, each of a thousand balancers would rank itself first and watch
/// the store. The first configuration is read meanwhile.
const FIRST_REVIEW_DELAY: Duration = Duration::from_millis(1_000);
/// Time between two rankings: much shorter than the time after which a silent node is noticed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Share of the configuration bound without a confirmation after which the first balancer in turn
/// reads the store itself. Each watch is answered every 4 to 10 s, six of them about once a second
/// in all, so with a short bound or few watchers an occasional read is redundant.
const STALE_SHARE: f64 = 1.0 / 3.0;
/// Share of the configuration bound over which the balancers' turns to read are spread. Whatever
/// their number, the last turn comes at two thirds of the bound, and a third is left for its result
/// to reach the others.
const TURNS_SHARE: f64 = 1.0 / 3.0;
/// Maximum number of reads by all balancers together within the configuration bound while the store
/// answers none of them.
const MAX_FAILED_READS: f64 = 60.0;
/// First backoff after an unanswered call to the store. It doubles with each failure, up to
/// [`BACKOFF_PER_WATCHER`] times the number of watchers, but no longer than [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff for each watching balancer: together they call the store a few times a second,
/// so that its return is noticed within a second.
const BACKOFF_PER_WATCHER: Duration = Duration::from_millis(400);
/// Longest backoff, whatever the number of watchers.
const MAX_BACKOFF: Duration = Duration::from_secs(6);

/// This balancer's role in watching the store.
#[derive(Debug)]
pub(super) struct StoreWatch {
    /// Configuration bound: maximum time from the acceptance of a configuration until it is in
    /// force on every node.
    bound: Duration,
    /// Whether this balancer is one of those that watch the store.
    is_chosen: bool,
    /// Its rank among all known balancers.
    rank: usize,
    /// Estimated number of balancers that watch the store.
    watchers: usize,
    /// Number of known balancers; 0 before the first review.
    balancers: usize,
    next_review: Duration,
    last_read: Option<Duration>,
    backoff_until: Duration,
    /// Consecutive failed calls.
    failures: u32,
    /// Number of recoveries of the store known when it stopped answering this balancer.
    recoveries_at_loss: Option<u32>,
    /// Whether it was logged that accepted changes may arrive here late.
    is_logged_late: bool,
}

impl StoreWatch {
    /// Creates the state of a balancer that does not watch the store yet.
    pub(super) fn new(bound: Duration) -> Self {
        StoreWatch {
            bound,
            is_chosen: false,
            rank: 0,
            watchers: 0,
            balancers: 0,
            next_review: Duration::ZERO,
            last_read: None,
            backoff_until: Duration::ZERO,
            failures: 0,
            recoveries_at_loss: None,
            is_logged_late: false,
        }
    }

    /// The configuration bound.
    pub(super) fn bound(&self) -> Duration {
        self.bound
    }

    fn back_off(&mut self, now: Duration, jitter: f64) {
        let max_backoff =
            (BACKOFF_PER_WATCHER * self.watchers as u32).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        let backoff = (INITIAL_BACKOFF * (1 << self.failures.min(10))).min(max_backoff);
        self.failures += 1;
        self.backoff_until = now + backoff.mul_f64(jitter);
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Whether this balancer should watch the shared store now.
    pub fn watches_store(&self, now: Duration) -> bool {
        let watch = &self.store_watch;
        let is_chosen = watch.is_chosen || !self.policies.is_enabled(Policy::FewWatchers);
        is_chosen && now >= watch.backoff_until
    }

    /// How often the shared store has recovered from an outage, as far as is known.
    pub fn store_recoveries(&self) -> u32 {
        self.cluster.store.recoveries()
    }

    /// Records whether the shared store has answered this balancer. If it has, this balancer knows
    /// everything that the store held at that time.
    pub fn note_store(&mut self, now: Duration, answers: bool) {
        self.note_store_answer(now, answers);
        if !answers {
            let jitter = self.random.random_range(0.75..1.25);
            self.store_watch.back_off(now, jitter);
            let recoveries = self.cluster.store.recoveries();
            self.store_watch.recoveries_at_loss.get_or_insert(recoveries);
            return;
        }
        self.cluster.store.note_confirmed(now);
        self.store_watch.failures = 0;
        self.store_watch.backoff_until = Duration::ZERO;
        let recoveries_at_loss = self.store_watch.recoveries_at_loss.take();
        if recoveries_at_loss.is_some_and(|known| self.cluster.store.note_recovery(known)) {
            self.cluster.membership.spread_news(now);
        }
    }

    /// Time since this balancer last knew every accepted configuration.
    pub(super) fn unconfirmed_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.cluster.store.confirmed_at())
    }

    /// When [`CarriedBalancer::follow_store`] must be called next.
    pub(super) fn next_store_action(&self) -> Duration {
        let review = self.next_review();
        self.next_read().map_or(review, |read| read.min(review))
    }

    fn next_review(&self) -> Duration {
        let first = self.discovery.list_known_at().max(FIRST_REVIEW_DELAY);
        self.store_watch.next_review.max(first)
    }

    /// When this balancer reads the store itself, unless it receives a confirmation before.
    fn next_read(&self) -> Option<Duration> {
        let watch = &self.store_watch;
        let balancers = watch.balancers;
        // Before the first review this balancer has no rank.
        if balancers == 0 {
            return None;
        }
        // Within a heartbeat interval the result of the previous balancer's read arrives here.
        let heartbeat_interval = self.cluster.membership.interval();
        let turn = watch.bound.mul_f64(TURNS_SHARE / balancers as f64).min(heartbeat_interval);
        let stale_after = watch.bound.mul_f64(STALE_SHARE) + turn * watch.rank as u32;
        let confirmed_at = self.cluster.store.confirmed_at();
        let pause = watch.bound.mul_f64((balancers as f64 / MAX_FAILED_READS).max(1.0));
        let unanswered = watch.last_read.filter(|last| *last > confirmed_at);
        Some(unanswered.map_or(confirmed_at + stale_after, |last| last + pause))
    }

    /// Updates which balancers watch the store, runs the audits, and reads the store if
    /// confirmations are missing.
    pub(super) fn follow_store(&mut self, now: Duration) {
        if now >= self.next_review() {
            self.review_watchers(now);
        }
        self.audit_when_due(now, self.store_watch.is_chosen);
        self.log_staleness(now);
        if self.next_read().is_some_and(|due| due <= now) {
            self.store_watch.last_read = Some(now);
            self.note_read_started(now);
            self.counters.store_readings += 1;
            let unconfirmed_ms = self.unconfirmed_for(now).as_millis() as u64;
            log::info!(unconfirmed_ms; "store_read_for_itself");
            self.outputs.push_back(Output::ReadStore);
        }
    }

    /// Logs when no confirmation has arrived for the whole bound, and when one arrives again.
    fn log_staleness(&mut self, now: Duration) {
        let unconfirmed_for = self.unconfirmed_for(now);
        let is_late = unconfirmed_for > self.store_watch.bound;
        if is_late == std::mem::replace(&mut self.store_watch.is_logged_late, is_late) {
            return;
        }
        let StoreWatch { is_chosen, balancers, failures, .. } = self.store_watch;
        let unconfirmed_ms = unconfirmed_for.as_millis() as u64;
        match is_late {
            true => log::warn!(unconfirmed_ms, is_chosen, balancers, failures; "store_unconfirmed"),
            false => log::info!(unconfirmed_ms; "store_confirmed"),
        }
    }

    /// Ranks the known balancers and decides whether this one watches the store.
    fn review_watchers(&mut self, now: Duration) {
        let places = self.cluster.membership.balancer_ranks(now);
        let zones = (places.balancers / places.in_zone.max(1)).max(1);
        let in_zone = MIN_WATCHERS_PER_ZONE.max(MIN_WATCHERS.div_ceil(zones));
        let is_chosen = places.rank_in_zone < in_zone;
        let watch = &mut self.store_watch;
        if is_chosen != watch.is_chosen {
            log::info!(rank = places.rank_in_zone, in_zone = places.in_zone, is_chosen; "store_watch");
        }
        watch.is_chosen = is_chosen;
        watch.rank = places.rank;
        watch.balancers = places.balancers;
        watch.watchers = (in_zone.min(places.in_zone) * zones).max(1);
        watch.next_review = now + REVIEW_INTERVAL;
    }
}
