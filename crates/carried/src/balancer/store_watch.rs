//! Who waits at the shared store for a newer configuration.
//!
//! A few balancers of each zone wait there, so that calls to the store grow with zones and changes
//! and not with balancers. The others hear from them: by the version in heartbeats, and by how long
//! ago the store has confirmed it. Nobody is elected: each balancer ranks those of its zone that it
//! hears, itself included, by their links and addresses. Where they disagree for a while, one more or one less
//! waits.
//!
//! Invariants:
//! - A balancer that has heard of no confirmation for a third of
//!   the bound for configurations reads the store itself, when
//!   its turn comes: it relies neither on anybody else to wait
//!   there nor on its own wait, which may hang.
//! - A balancer alone in its zone waits at the store.

use super::*;

/// Balancers of one zone that wait at the store, at least: one that is cut off costs nothing.
const MIN_WATCHERS_PER_ZONE: usize = 2;
/// Balancers that wait in the whole system, at least, where there are so many. With a third of all
/// nodes refused by the store, all of six are with 0.14 %; all of ten in five zones with 0.002 %.
const MIN_WATCHERS: usize = 6;
/// After a start nobody ranks before it has read who there is, and the others had time to say so: a
/// thousand balancers that know nobody would all wait at the store. The first configuration is read
/// meanwhile.
const FIRST_REVIEW_DELAY: Duration = Duration::from_millis(1_000);
/// Time between two looks at who waits: far below the time in which silence is noticed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(500);
/// Without a confirmation for this share of the bound for configurations a balancer reads for itself,
/// if it is the first in turn. Those that wait are answered each 4 to 10 s, six of them about once a
/// second: where the bound is short or they are few a reading now and then is made in vain.
const STALE_SHARE: f64 = 1.0 / 3.0;
/// Balancers read for themselves one after the other. The turns of all take no longer than this share of
/// the bound: the last one's comes at two thirds of it, whatever their number, and a third is left for
/// its word to reach the others.
const TURNS_SHARE: f64 = 1.0 / 3.0;
/// While the store answers nobody, all together read it so often within the bound.
const MAX_FAILED_READS: f64 = 60.0;
/// First rest of a balancer that the store has not answered; it doubles each time ...
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// ... up to so much for each balancer that waits: together they try the store a few times a second,
/// and its return is noticed within a second, ...
const BACKOFF_PER_WATCHER: Duration = Duration::from_millis(400);
/// ... and never longer than this.
const MAX_BACKOFF: Duration = Duration::from_secs(6);

/// This balancer's part in following the store.
#[derive(Debug)]
pub(super) struct StoreWatch {
    /// An accepted configuration is in force everywhere after this time.
    bound: Duration,
    /// It is one of those that wait.
    is_chosen: bool,
    /// Its place among all balancers known.
    rank: usize,
    /// How many balancers wait, as far as is known.
    watchers: usize,
    balancers: usize,
    next_review: Duration,
    last_read: Option<Duration>,
    backoff_until: Duration,
    /// Failures in a row.
    failures: u32,
    /// Returns of the store that were known when it ceased to answer.
    returns_at_loss: Option<u32>,
    /// A line has told that an accepted change may be late here.
    is_logged_late: bool,
}

impl StoreWatch {
    /// A balancer that waits for nothing yet.
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
            returns_at_loss: None,
            is_logged_late: false,
        }
    }

    /// The bound for configurations.
    pub(super) fn bound(&self) -> Duration {
        self.bound
    }

    fn rest(&mut self, now: Duration, jitter: f64) {
        let longest =
            (BACKOFF_PER_WATCHER * self.watchers as u32).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        let rest = (INITIAL_BACKOFF * (1 << self.failures.min(10))).min(longest);
        self.failures += 1;
        self.backoff_until = now + rest.mul_f64(jitter);
    }
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Whether this balancer is to wait at the shared store.
    pub fn watches_store(&self, now: Duration) -> bool {
        let watch = &self.store_watch;
        let is_chosen = watch.is_chosen || !self.policies.has(Policy::FewWatchers);
        is_chosen && now >= watch.backoff_until
    }

    /// How often the shared store has come back after an absence, as far as is known.
    pub fn store_returns(&self) -> u32 {
        self.standing.store.returns()
    }

    /// Learns whether the shared store answers this balancer: all that it had is known by now.
    pub fn note_store(&mut self, now: Duration, answers: bool) {
        self.note_store_answer(now, answers);
        if !answers {
            let jitter = self.random.random_range(0.75..1.25);
            self.store_watch.rest(now, jitter);
            let returns = self.standing.store.returns();
            self.store_watch.returns_at_loss.get_or_insert(returns);
            return;
        }
        self.standing.store.confirm(now);
        self.store_watch.failures = 0;
        self.store_watch.backoff_until = Duration::ZERO;
        let returns_at_loss = self.store_watch.returns_at_loss.take();
        if returns_at_loss.is_some_and(|known| self.standing.store.note_return(known)) {
            self.standing.membership.hurry(now);
        }
    }

    /// Time since every accepted configuration was known here.
    pub(super) fn unconfirmed_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.standing.store.confirmed_at())
    }

    /// When [`CarriedBalancer::follow_store`] has something to do next.
    pub(super) fn next_store_action(&self) -> Duration {
        let review = self.next_review();
        self.next_read().map_or(review, |reading| reading.min(review))
    }

    fn next_review(&self) -> Duration {
        let first = self.absence_evidence.members_known_at().max(FIRST_REVIEW_DELAY);
        self.store_watch.next_review.max(first)
    }

    /// When this balancer reads the store for itself, unless it hears of a confirmation before.
    fn next_read(&self) -> Option<Duration> {
        let watch = &self.store_watch;
        let balancers = watch.balancers;
        // Before the first review it has no place among the others.
        if balancers == 0 {
            return None;
        }
        // In this time the word of the one before comes with its heartbeat.
        let word_takes = self.standing.membership.interval();
        let turn = watch.bound.mul_f64(TURNS_SHARE / balancers as f64).min(word_takes);
        let stale_after = watch.bound.mul_f64(STALE_SHARE) + turn * watch.rank as u32;
        let confirmed_at = self.standing.store.confirmed_at();
        let pause = watch.bound.mul_f64((balancers as f64 / MAX_FAILED_READS).max(1.0));
        let unanswered = watch.last_read.filter(|last| *last > confirmed_at);
        Some(unanswered.map_or(confirmed_at + stale_after, |last| last + pause))
    }

    /// Looks who waits at the store, and reads it where nobody seems to.
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

    /// A line when nobody has confirmed for the whole bound, and one when somebody has again.
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

    fn review_watchers(&mut self, now: Duration) {
        let places = self.standing.membership.places(now);
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
