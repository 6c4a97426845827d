//! The agent's core, without I/O. An agent runs on the machine of one back end and is the authority
//! on that back end's state and flows.
//!
//! Invariants:
//! - A new flow reaches the back end only while the back end accepts flows, belongs to the offer's
//!   service, and has room within the offer's admission. The agent's own knowledge decides, not
//!   what the balancer assumes.
//! - An offer gets one final answer, `Placed` or `Declined`; the back end has done no work for a
//!   declined flow.
//! - A new flow reaches the back end only while its zone is not evacuated, as far as the agent
//!   knows.
//! - A packet of a flow that the back end does not hold goes back to the balancer unchanged.

mod backend_probe;
mod cluster_state;
mod cold_rate_limit;
mod condition;
mod flow;
mod lookups;
mod offers;
mod outcomes;
mod packets;
mod phases;
mod reports;
mod wait_queue;

use self::backend_probe::BackendProbe;
pub use self::backend_probe::ProbeOutcome;
use self::cold_rate_limit::ColdRateLimit;
use self::flow::{CarriedFlow, Phase};
use self::outcomes::RequestOutcome;
use self::wait_queue::{WaitQueue, WaitingFlow};
use crate::backend::Backend;
use crate::batches::{Batches, SharedTrial};
use crate::breaker::{Breaker, BreakerState};
use crate::cluster_state::{Adoption, ClusterState};
use crate::configuration::CarriedConfiguration;
use crate::counters::CarriedAgentCounters;
use crate::incarnation::Incarnation;
use crate::latency::AgentLatency;
use crate::load::ServiceTimeMeter;
use crate::membership::{DEPARTED_TIMEOUT, Membership, Node};
use crate::message::{
    Admission, BackendCondition, DeclineReason, FlowAnswer, LoadReport, Message, Snapshot,
    TrialPacket,
};
use crate::output::Output;
use crate::plain_format::PlainFormat;
use crate::policy::{Policies, Policy};
use crate::segment::{Segment, SegmentFormat, flow_name};
use crate::version::Version;
use loftdrift_counters::Histogram;
use loftdrift_flow::{FlowId, FlowTable};
use loftdrift_wire::FlowKey;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// A SYN that the back end has not answered within this time counts as unanswered.
const SYN_ACK_TIMEOUT: Duration = Duration::from_millis(60);
/// Consecutive unanswered SYNs after which the back end counts as silent.
const SILENT_AFTER_SYNS: u32 = 2;
/// How long a silent back end is given no new flows before it is tried again.
const SILENCE_DURATION: Duration = Duration::from_millis(800);
/// A caller that has sent no request this long after the SYN-ACK is not expected to send one soon;
/// the flow no longer counts as occupying the back end.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(400);
/// A request that has been overdue for this long no longer counts as occupying the back end.
const OVERDUE_TIMEOUT: Duration = Duration::from_secs(6);
/// A request is overdue after this many times its expected response time, ...
const RESPONSE_TIMEOUT_FACTOR: u32 = 10;
/// ... but not before this time, ...
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// ... and at the latest after this time.
const MAX_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a flow is remembered after it is over, since packets of either end may still arrive.
const CLOSING_TTL: Duration = Duration::from_secs(3);
/// How long a flow is remembered beyond the idle timeout. Each end counts a rest from the packets
/// that it has sent or received itself, and the packet that ends a rest in time may be lost and sent
/// again for some seconds, until the routers avoid a balancer that is frozen.
const REST_MARGIN: Duration = Duration::from_secs(5);
/// Offers that are read this soon after a stall of the process waited in the socket during it. They
/// are ignored, since their balancers have offered the flows to other agents meanwhile.
const STALE_OFFER_WINDOW: Duration = Duration::from_millis(20);
/// How long a stopping agent goes on after its back end has ended, so that balancers receive the
/// departure notice.
const DEPARTURE_NOTICE_DURATION: Duration = Duration::from_millis(60);
/// Thirds of the slots that may be occupied when a request that is already late is accepted.
const SPARE_SLOT_THIRDS: u32 = 2;
/// Maximum number of flows remembered as not held by the back end, so that they go on trial only
/// once.
const MAX_ABSENT_FLOWS: usize = 2_048;

/// Settings of an agent for carried flows.
#[derive(Clone, Debug)]
pub struct CarriedAgentSettings {
    /// The agent's own address, zone and other properties as a node.
    pub node: Node,
    /// The service of the agent's back end.
    pub service: String,
    /// Maximum age of a flow. An agent that has run for longer knows all flows of its back end.
    pub max_flow_age: Duration,
    /// Factor on the configured rate of new flows for a cold back end.
    pub cold_overshoot: f64,
    /// Which optional mechanisms are enabled.
    pub policies: Policies,
    /// The system starts for the first time: no earlier process of the agent can have placed flows.
    pub is_first_start: bool,
}

/// The agent of one back end: decides which new flows the back end takes, and tracks its flows.
pub struct CarriedAgent<F = PlainFormat> {
    settings: CarriedAgentSettings,
    format: F,
    cluster: ClusterState,
    backend: Backend,
    /// The sender of the last heartbeat that named another service.
    last_foreign_sender: Option<String>,
    flows: FlowTable<CarriedFlow>,
    /// New flows that wait until the back end has room.
    wait_queue: WaitQueue,
    /// Flows that the back end has shown not to hold.
    absent_flows: HashSet<FlowKey>,
    /// The same flows, the oldest first.
    absent_flows_order: VecDeque<FlowKey>,
    /// Flows that occupy the back end: those being opened and those with an unanswered request.
    in_flight: u32,
    /// Requests that the back end has not answered, without overdue ones.
    awaiting_response: u32,
    work_meter: ServiceTimeMeter,
    breaker: Breaker,
    cold_rate_limit: ColdRateLimit,
    /// The back end may have turned cold since its last heartbeat, because its zone was evacuated.
    may_be_cold: bool,
    probe: BackendProbe,
    /// The back end may hold flows that an earlier process of this agent placed and this one does
    /// not know.
    may_miss_flows: bool,
    /// About when the back end started; `None` if unknown or before this process started.
    backend_started_at: Option<Duration>,
    /// Consecutive SYNs that the back end has not answered in time.
    unanswered_syns: u32,
    silent_until: Option<Duration>,
    /// The condition that balancers were notified of last.
    announced_condition: BackendCondition,
    /// The balancer that last asked for a delegated store read, until the read is done.
    store_read_for: Option<SocketAddrV4>,
    /// Offers that arrive before this time are ignored.
    ignore_offers_until: Duration,
    stopping: bool,
    /// Until when balancers are being notified that the back end has ended; a stop waits for it.
    departure_notice_until: Option<Duration>,
    /// When balancers were notified that the back end has ended, while that is the last notice.
    announced_end_at: Option<Duration>,
    /// Answers about flows that were tried.
    answer_batches: Batches<FlowAnswer>,
    /// Packets on trial that other agents get for balancers.
    relayed_trials: Batches<SharedTrial>,
    outputs: VecDeque<Output>,
    counters: CarriedAgentCounters,
    latency: AgentLatency,
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// Creates an agent that knows nothing but its settings.
    pub fn new(settings: CarriedAgentSettings, format: F) -> Self {
        CarriedAgent {
            cluster: ClusterState::new(settings.node.clone()),
            backend: Backend::new(settings.service.clone(), settings.is_first_start),
            last_foreign_sender: None,
            may_miss_flows: !settings.is_first_start,
            cold_rate_limit: match settings.is_first_start {
                true => ColdRateLimit::default(),
                false => ColdRateLimit::after_restart(),
            },
            may_be_cold: false,
            settings,
            backend_started_at: None,
            format,
            flows: FlowTable::default(),
            wait_queue: WaitQueue::default(),
            absent_flows: HashSet::new(),
            absent_flows_order: VecDeque::new(),
            in_flight: 0,
            awaiting_response: 0,
            work_meter: ServiceTimeMeter::default(),
            breaker: Breaker::new(),
            probe: BackendProbe::default(),
            unanswered_syns: 0,
            silent_until: None,
            announced_condition: BackendCondition::Unknown,
            store_read_for: None,
            ignore_offers_until: Duration::ZERO,
            stopping: false,
            departure_notice_until: None,
            announced_end_at: None,
            answer_batches: Batches::default(),
            relayed_trials: Batches::default(),
            outputs: VecDeque::new(),
            counters: CarriedAgentCounters::default(),
            latency: AgentLatency::default(),
        }
    }

    /// Takes the next action that the driver of this core has to carry out.
    pub fn take_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The nodes that this agent knows.
    pub fn membership(&self) -> &Membership {
        &self.cluster.membership
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> Version {
        self.cluster.configuration.version
    }

    /// Path of the health check of the back end's service; `None` until a configuration defines it.
    fn health_path(&self) -> Option<&str> {
        let service = self.cluster.configuration.service(self.backend.service())?;
        Some(&service.health_path)
    }

    /// Path of the health page, if its answer is needed.
    pub fn health_check(&self) -> Option<&str> {
        self.health_path().filter(|_| self.backend.needs_health_check())
    }

    /// The starts of the back end whose leaving was acknowledged, for as long as later processes of
    /// the agent have to know them.
    pub fn acknowledged_departures(&self) -> Vec<Incarnation> {
        self.backend.acknowledged_departures()
    }

    /// Whether this agent knows the departures that earlier processes have acknowledged.
    pub fn knows_earlier_departures(&self) -> bool {
        self.backend.knows_earlier_departures()
    }

    /// Whether the back end has sent a heartbeat or passed a health check.
    pub fn knows_backend(&self) -> bool {
        self.backend.condition() != BackendCondition::Unknown
    }

    /// Accepts no new flows from now on, and notifies balancers.
    pub fn start_draining(&mut self, now: Duration) {
        self.stopping = true;
        self.decline_all_waiting(now, DeclineReason::NotAccepting);
        self.probe_urgently(now);
        self.cluster.membership.spread_news(now);
        log::info!(waiting = self.in_flight; "draining");
    }

    /// Handles the end of a stall: the process has not run for longer than any peer waits.
    pub fn resume(&mut self, now: Duration) {
        self.ignore_offers_until = now + STALE_OFFER_WINDOW;
        self.counters.standstills += 1;
        self.cluster.membership.spread_news(now);
        log::warn!(waiting = self.in_flight; "resumed_after_standstill");
    }

    /// Whether the agent may stop: a stop was requested, no flow occupies the back end, a probe has
    /// shown whether the back end is alive, and, if it has ended, balancers were notified.
    pub fn is_drained(&self, now: Duration) -> bool {
        let is_announced = self.departure_notice_until.is_none_or(|until| now >= until);
        self.stopping && self.in_flight == 0 && !self.probe.delays_stop() && is_announced
    }

    /// Whether the back end's process has ended, and its flows with it.
    pub fn backend_has_ended(&self) -> bool {
        self.probe.has_ended
    }

    /// Handles a datagram from another node.
    pub fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        match Message::decode(datagram) {
            Some(Message::Offer { number, service, admission, datagram }) => {
                self.handle_offer(now, from, number, &service, admission, datagram);
            }
            Some(Message::Forward { datagram }) => self.deliver(now, from, datagram),
            Some(Message::Lookup { queries }) => self.handle_lookup(now, from, &queries),
            Some(Message::TryForward { datagram }) => {
                self.handle_trials(now, vec![TrialPacket { balancer: from, datagram }]);
            }
            Some(Message::TryForwardBatch { packets }) => self.handle_trials(now, packets),
            Some(Message::RelayTrial { agents, datagram }) => {
                self.relay_trial(now, from, agents, datagram);
            }
            Some(Message::ReadStore) => {
                self.counters.store_errands += 1;
                self.store_read_for = Some(from);
                self.outputs.push_back(Output::ReadStore);
            }
            Some(Message::NotListed) => self.outputs.push_back(Output::WriteEntry),
            Some(Message::Heartbeat(heartbeat)) => {
                let (is_new, fetch) = self.cluster.on_heartbeat(now, from, &heartbeat);
                self.outputs.extend(fetch);
                if is_new {
                    self.send_heartbeat(now, from, false);
                }
            }
            _ => self.counters.messages_malformed += 1,
        }
        self.serve_wait_queue(now);
    }

    /// When [`CarriedAgent::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<Duration> {
        let due = [
            self.flows.next_wake_up(),
            self.cluster.membership.next_due(),
            self.next_condition_change(),
            self.cluster.next_retention_end(),
            self.next_probe(),
            self.wait_queue.next_expiry(),
            self.answer_batches.next_send(),
            self.relayed_trials.next_send(),
        ];
        due.into_iter().flatten().min()
    }

    /// Does everything that is due at `now`.
    pub fn handle_timeout(&mut self, now: Duration) {
        while let Some(id) = self.flows.pop_due(now) {
            self.handle_phase_timeout(now, id);
        }
        if self.next_condition_change().is_some_and(|at| at <= now) {
            self.backend.expire_presumption(now);
            self.silent_until = self.silent_until.filter(|until| now < *until);
            self.breaker.advance(now);
            self.announce_condition_change(now, "rested");
        }
        let was_evacuated = self.is_evacuated();
        if self.cluster.expire_evacuations(now) {
            self.may_be_cold |= was_evacuated;
            self.announce_condition_change(now, "evacuation_lapsed");
        }
        self.probe_if_due(now);
        self.serve_wait_queue(now);
        self.send_answers(now);
        self.send_relayed_trials(now);
        for (peer, wants_reply) in self.cluster.membership.take_due(now) {
            self.send_heartbeat(now, peer, wants_reply);
        }
    }

    /// The latencies measured so far.
    pub fn histograms(&self) -> Vec<Histogram> {
        self.latency.histograms()
    }

    /// The counters so far, and the current gauges.
    pub fn counters(&self, now: Duration) -> CarriedAgentCounters {
        CarriedAgentCounters {
            flows: self.flows.active_flows() as u64,
            waiting: u64::from(self.in_flight),
            in_line: self.wait_queue.len() as u64,
            peers: self.cluster.membership.len() as u64,
            configuration_version: self.cluster.configuration.version.number,
            configuration_newest_heard: self.cluster.newest_reported().number,
            configuration_revision: self.cluster.configuration.version.position.revision,
            store_era: self.cluster.newest_reported().position.era,
            configuration_age_seconds: self.cluster.configuration_age(now).as_secs(),
            work_microseconds: u64::from(self.work_meter.mean_us()),
            ..self.counters
        }
    }

    fn send_heartbeat(&mut self, now: Duration, to: SocketAddrV4, wants_reply: bool) {
        let report = Some(self.report(now));
        self.outputs.push_back(self.cluster.heartbeat(now, to, wants_reply, report));
    }
}
