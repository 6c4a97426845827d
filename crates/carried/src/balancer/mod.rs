//! The balancer's core: a state machine without I/O that assigns callers' flows to agents and
//! forwards callers' packets to them.
//!
//! Invariants:
//! - The caller of a new flow is reset only when no back end has begun to serve the flow: every
//!   agent that was offered it has declined, or has not answered for longer than the caller would
//!   need to send its next packet if the flow had been opened.
//! - A packet of an open flow is forwarded only to the agent that owns the flow, or on trial to
//!   agents that may have lost their record of it; it is never sent to an agent chosen by hash or
//!   load.
//! - A configuration with a lower version never replaces one with a higher version.

mod admission_pause;
mod audit;
mod cluster_state;
mod delegated_reads;
mod discovery;
mod established;
mod flow_absence;
mod lookup_limiter;
mod lookup_order;
mod lookups;
mod pending_flows;
mod refusals;
mod scheduling_delay;
mod store_watch;
mod trials;
mod unrouted;

use self::admission_pause::AdmissionPause;
use self::audit::Audit;
pub use self::audit::{ListedNode, NodeList};
use self::delegated_reads::DelegatedReads;
use self::discovery::Discovery;
use self::flow_absence::AbsenceEvidence;
use self::lookup_limiter::LookupLimiter;
use self::refusals::Refusal;
use self::scheduling_delay::SchedulingDelay;
use self::store_watch::StoreWatch;
use self::unrouted::UnroutedFlows;
use crate::batches::{Batches, SharedTrial};
use crate::cluster_state::{Adoption, ClusterState};
use crate::configuration::{CarriedConfiguration, RoutingTable};
use crate::counters::CarriedBalancerCounters;
use crate::flow_cache::FlowCache;
use crate::flow_table::FlowTable;
use crate::latency::BalancerLatency;
use crate::lookup::Lookup;
use crate::membership::{Membership, Node, Peer};
use crate::message::{
    Admission, DeclineReason, FlowQuery, Heartbeat, LoadReport, Message, NodeRole, Snapshot,
};
use crate::output::Output;
use crate::pending_flow::{Offer, OfferAnswer, PendingFlow, PendingFlows};
use crate::plain_format::PlainFormat;
use crate::policy::{Policies, Policy};
use crate::pool::Pool;
use crate::rank::Ranking;
use crate::segment::{Segment, SegmentFormat, flow_name};
use crate::version::Version;
use crate::view::{AgentView, Distance, Location};
use loftdrift_counters::Histogram;
use loftdrift_wire::FlowKey;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

/// Time after which an unanswered offer is also made to the next agent.
const OFFER_TIMEOUT: Duration = Duration::from_millis(30);
/// Time between two attempts to find an agent for a pending flow while none is available.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of agents that are asked for a free slot for one flow.
const MAX_FREE_SLOT_OFFERS: usize = 6;
/// Maximum number of agents that are asked for a place in their back end's queue for one flow.
const MAX_QUEUE_OFFERS: usize = 4;
/// Additional time in which the agent's message that a flow has left its wait queue without a slot
/// arrives here.
const WAIT_QUEUE_REPLY_MARGIN: Duration = Duration::from_millis(40);
/// Share of the latency target for which a flow is retried while no agent can be offered it.
const RETRY_SHARE: f64 = 0.2;
/// Share of the latency target within which an agent may still queue a request. The rest is left
/// for the network and for requests that take longer than the mean.
const QUEUE_SHARE: f64 = 0.5;
/// Latency target of routes that set no `latency_target_ms`.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_millis(500);
/// Idle time after which a flow is forgotten, until a configuration sets it.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Settings of a balancer for carried flows.
#[derive(Clone, Debug)]
pub struct CarriedBalancerSettings {
    /// The balancer itself.
    pub node: Node,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum time from the acceptance of a configuration until it is in force on every node.
    pub configuration_bound: Duration,
    /// Which mechanisms are enabled.
    pub policies: Policies,
}

/// The state of one balancer.
pub struct CarriedBalancer<F = PlainFormat> {
    format: F,
    cluster: ClusterState,
    routes: RoutingTable,
    pool: Pool,
    policies: Policies,
    flows: FlowCache,
    pending_flows: PendingFlows,
    /// New flows that arrived before any configuration was known.
    unrouted: UnroutedFlows,
    lookups: FlowTable<Lookup>,
    query_batches: Batches<FlowQuery>,
    trial_batches: Batches<SharedTrial>,
    lookup_limiter: LookupLimiter,
    absence_evidence: AbsenceEvidence,
    discovery: Discovery,
    delegated_reads: DelegatedReads,
    audit: Audit,
    admission_pause: AdmissionPause,
    scheduling_delay: SchedulingDelay,
    /// Longest time that the callers' packets handled now may have waited in a socket buffer.
    input_age: Duration,
    store_watch: StoreWatch,
    random: ChaCha8Rng,
    draining: bool,
    outputs: VecDeque<Output>,
    counters: CarriedBalancerCounters,
    latency: BalancerLatency,
}

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Creates a balancer that knows nothing but its settings.
    pub fn new(settings: CarriedBalancerSettings, format: F) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        CarriedBalancer {
            format,
            lookup_limiter: LookupLimiter::new(settings.policies.is_enabled(Policy::LookupLimiter)),
            cluster: ClusterState::new(settings.node),
            routes: RoutingTable::default(),
            pool: Pool::new(settings.policies),
            policies: settings.policies,
            flows: FlowCache::default(),
            unrouted: UnroutedFlows::default(),
            pending_flows: PendingFlows::new(random.random()),
            lookups: FlowTable::new(random.random()),
            query_batches: Batches::default(),
            trial_batches: Batches::default(),
            absence_evidence: AbsenceEvidence::default(),
            discovery: Discovery::default(),
            delegated_reads: DelegatedReads::default(),
            audit: Audit::default(),
            admission_pause: AdmissionPause::default(),
            scheduling_delay: SchedulingDelay::default(),
            input_age: Duration::ZERO,
            store_watch: StoreWatch::new(settings.configuration_bound),
            random,
            draining: false,
            outputs: VecDeque::new(),
            counters: CarriedBalancerCounters::default(),
            latency: BalancerLatency::default(),
        }
    }

    /// Takes the next action that the driver of this core has to carry out.
    pub fn take_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The known nodes.
    pub fn membership(&self) -> &Membership {
        &self.cluster.membership
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> Version {
        self.cluster.configuration.version
    }

    /// Whether callers' packets should be routed to this balancer.
    pub fn is_ready(&self, now: Duration) -> bool {
        let interval = self.cluster.membership.interval();
        !self.draining && !self.routes.is_empty() && self.pool.any_accepting(now, interval)
    }

    /// Makes the balancer report that it is not ready; packets that still arrive are forwarded.
    pub fn start_draining(&mut self) {
        self.draining = true;
        log::info!(flows = self.flows.len(); "draining");
    }

    fn idle_timeout(&self) -> Duration {
        self.cluster.idle_timeout(DEFAULT_IDLE_TIMEOUT)
    }

    /// Sets how long the callers' datagrams that are handled next may have waited in a socket
    /// buffer, as estimated by the reader of the socket.
    pub fn note_input_age(&mut self, age: Duration) {
        self.input_age = age;
    }

    /// Handles a datagram from a caller.
    pub fn handle_caller(&mut self, now: Duration, datagram: &[u8]) {
        self.counters.packets_received += 1;
        match self.format.parse(datagram) {
            Err(_) => self.counters.packets_malformed += 1,
            Ok(segment) if segment.is_syn() => self.handle_syn(now, &segment, datagram),
            Ok(segment) => self.handle_established(now, &segment, datagram),
        }
    }

    /// Handles a datagram from another node.
    pub fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        match Message::decode(datagram) {
            Some(Message::Placed { number, report }) => {
                self.handle_placed(now, from, number, report)
            }
            Some(Message::Declined { number, reason, report }) => {
                self.handle_declined(now, from, number, reason, report);
            }
            Some(Message::Queued { number, report }) => {
                self.handle_queued(now, from, number, report);
            }
            Some(Message::LookupReply { uptime_ms, answers }) => {
                let uptime = Duration::from_millis(u64::from(uptime_ms));
                self.handle_lookup_reply(now, from, uptime, &answers);
            }
            Some(Message::Ended { flow }) => self.handle_ended(now, from, flow.into()),
            Some(Message::NotOwned { datagram }) => self.handle_not_owned(now, from, &datagram),
            Some(Message::NotListed) => self.outputs.push_back(Output::WriteEntry),
            Some(Message::Heartbeat(heartbeat)) => self.handle_heartbeat(now, from, heartbeat),
            _ => self.counters.messages_malformed += 1,
        }
    }

    fn handle_heartbeat(&mut self, now: Duration, from: SocketAddrV4, heartbeat: Heartbeat) {
        let (is_new, fetch) = self.cluster.on_heartbeat(now, from, &heartbeat);
        self.discover_from(now, from, heartbeat.role, fetch.is_some());
        self.outputs.extend(fetch);
        self.notify_if_removed(from);
        self.note_peer_version(now, heartbeat.configuration);
        let interval = self.cluster.membership.interval();
        if let Some(view) = self.pool.view(&from).filter(|view| view.is_suspect(now, interval)) {
            log::info!(agent:% = from, away_ms = view.age(now).as_millis() as u64; "agent_back");
        }
        if let Some(report) = heartbeat.report {
            self.pool.take_report(now, from, report);
            let distance = self.distance(&heartbeat.zone, &heartbeat.region);
            let Heartbeat { zone, region, .. } = heartbeat;
            self.pool.set_location(&from, Location { distance, zone, region });
        }
        if is_new {
            self.send_heartbeat(now, from, false);
        }
    }

    fn distance(&self, zone: &str, region: &str) -> Distance {
        let me = self.cluster.membership.me();
        match (zone == me.zone, region == me.region) {
            (true, _) => Distance::SameZone,
            (false, true) => Distance::OtherZone,
            (false, false) => Distance::OtherRegion,
        }
    }

    fn send_heartbeat(&mut self, now: Duration, to: SocketAddrV4, wants_reply: bool) {
        self.outputs.push_back(self.cluster.heartbeat(now, to, wants_reply, None));
    }

    /// When [`CarriedBalancer::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<Duration> {
        let due = [
            self.pending_flows.next_wake_up(),
            self.lookups.next_wake_up(),
            self.query_batches.next_send(),
            self.trial_batches.next_send(),
            self.lookup_limiter.next_start(),
            self.unrouted.next_due(),
            self.cluster.membership.next_due(),
            self.delegated_reads.next(),
            self.audit.next(),
            self.cluster.next_retention_end(),
            Some(self.next_store_action()),
        ];
        due.into_iter().flatten().min()
    }

    /// Runs all timers that are due at `now`. The driver must first pass on the peers' datagrams
    /// that have already arrived: an answer that still waits in a socket is not missing.
    pub fn handle_timeout(&mut self, now: Duration) {
        self.note_scheduling_delay(now);
        while let Some(number) = self.pending_flows.pop_due(now) {
            self.wake_pending(now, number);
        }
        while let Some(number) = self.lookups.pop_due(now) {
            self.wake_lookup(now, number);
        }
        if self.cluster.expire_evacuations(now) {
            self.pool.evacuate(&self.cluster.evacuated());
        }
        self.start_unrouted(now);
        self.start_lookups(now);
        self.send_queries(now);
        self.send_trials(now);
        for (peer, wants_reply) in self.cluster.membership.take_due(now) {
            self.send_heartbeat(now, peer, wants_reply);
        }
        self.request_delegated_read(now);
        self.follow_store(now);
        self.flows.sweep(now);
        self.forget_agents();
    }

    /// Records how long after its due time the earliest timer is run.
    fn note_scheduling_delay(&mut self, now: Duration) {
        if !self.policies.is_enabled(Policy::SchedulingDelay) {
            return;
        }
        if let Some(due) = self.next_timeout().filter(|due| *due <= now) {
            self.scheduling_delay.note(now, due);
            self.lookup_limiter.note_scheduling_delay(now, self.scheduling_delay.current(now));
        }
    }

    /// Removes agents that are no longer members.
    fn forget_agents(&mut self) {
        if self.pool.len() > self.cluster.membership.len() {
            let membership = &self.cluster.membership;
            self.pool.retain(|agent| membership.knows(agent));
        }
    }

    /// The latency histograms.
    pub fn histograms(&self) -> Vec<Histogram> {
        self.latency.histograms()
    }

    /// The counters, with gauges as of `now`.
    pub fn counters(&self, now: Duration) -> CarriedBalancerCounters {
        CarriedBalancerCounters {
            configuration_version: self.cluster.configuration.version.number,
            configuration_newest_heard: self.cluster.newest_reported().number,
            configuration_revision: self.cluster.configuration.version.position.revision,
            store_era: self.cluster.newest_reported().position.era,
            configuration_age_seconds: self.cluster.configuration_age(now).as_secs(),
            flows: self.flows.len() as u64,
            agents: self.pool.len() as u64,
            lateness_milliseconds: self.scheduling_delay.current(now).as_millis() as u64,
            lookups_waiting: self.lookup_limiter.waiting() as u64,
            lookup_window: self.lookup_limiter.window(),
            agents_suspect: self.pool.suspects(now, self.cluster.membership.interval()) as u64,
            store_unconfirmed_milliseconds: self.unconfirmed_for(now).as_millis() as u64,
            waits_at_store: u64::from(self.watches_store(now)),
            peers: self.cluster.membership.len() as u64,
            ..self.counters
        }
    }
}
