//! The agent's core: the truth about the one back end beside it and the flows that live there.
//!
//! Invariants:
//! - A new flow reaches the back end only while the back end accepts, is of the offer's service, and
//!   has room within the offer's admission; whatever balancers believe decides nothing here.
//! - An offer gets one final answer, `Placed` or `Declined`; a declined flow has never been at work.
//! - A new flow reaches the back end only while its zone is not evacuated, as far as is known here.
//! - A packet of a flow that does not live here goes back to the balancer as its sender wrote it.

mod cold_gate;
mod condition;
mod finding;
mod flow;
mod knowledge;
mod line;
mod offers;
mod outcomes;
mod packets;
mod phases;
mod reports;
mod watch;

use self::cold_gate::ColdGate;
use self::flow::{CarriedFlow, Phase};
use self::line::{InLine, Line};
use self::outcomes::RequestOutcome;
pub use self::watch::ProbeOutcome;
use self::watch::Watch;
use crate::backend::Backend;
use crate::breaker::{Breaker, BreakerState};
use crate::configuration::CarriedConfiguration;
use crate::counters::CarriedAgentCounters;
use crate::latency::AgentLatency;
use crate::load::WorkMeter;
use crate::membership::{Membership, Node};
use crate::message::{Admission, BackendCondition, DeclineReason, LoadReport, Message, Snapshot};
use crate::output::Output;
use crate::plain_format::PlainFormat;
use crate::policy::{Policies, Policy};
use crate::segment::{Segment, SegmentFormat, flow_name};
use crate::standing::{Adoption, Standing};
use crate::version::Version;
use loftdrift_counters::Histogram;
use loftdrift_flow::{FlowId, FlowTable};
use loftdrift_wire::FlowKey;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

/// An opening packet that the back end has not answered for so long speaks for its silence.
const OPENING_PATIENCE: Duration = Duration::from_millis(60);
/// So many unanswered opening packets in a row, and the back end counts as silent.
const SILENT_AFTER: u32 = 2;
/// A silent back end is tried again after so long.
const SILENCE_LASTS: Duration = Duration::from_millis(800);
/// A caller that does not go on after the back end's answer has gone elsewhere.
const HANDSHAKE_PATIENCE: Duration = Duration::from_millis(400);
/// A request that is overdue for so long burdens the back end no more.
const WAITING_PATIENCE: Duration = Duration::from_secs(6);
/// A request is overdue after so many times the time that it is expected to take, ...
const OVERDUE_TIMES: u32 = 10;
/// ... but not before so long, ...
const SOONEST_OVERDUE: Duration = Duration::from_millis(700);
/// ... and never later than this.
const LATEST_OVERDUE: Duration = Duration::from_secs(3);
/// A flow that both ends may still speak of after its end is remembered for so long.
const CLOSING_LASTS: Duration = Duration::from_secs(3);
/// Offers that come so soon after a standstill waited in the socket all the while; their balancers
/// have asked others since.
const STALE_OFFERS: Duration = Duration::from_millis(20);
/// A stop waits so long until balancers have heard that the back end has ended.
const GOODBYE_LASTS: Duration = Duration::from_millis(60);
/// Thirds of the slots that requests which are late already may take.
const SPARE_OF_THREE: u32 = 2;
/// Flows that are known not to live here are remembered, so that they are not tried again.
const MOST_FOREIGN: usize = 2_048;

/// Settings of an agent of carried flows.
#[derive(Clone, Debug)]
pub struct CarriedAgentSettings {
    /// The agent itself.
    pub node: Node,
    /// The service of the back end beside it.
    pub service: String,
    /// Age that no flow exceeds.
    pub longest_flow: Duration,
    /// A cold back end is given at most so many times the new flows that the configuration tells.
    pub cold_overshoot: f64,
    /// Which mechanisms are on.
    pub policies: Policies,
    /// No process of the system has run before: the agent cannot have forgotten any flow.
    pub is_first_start: bool,
}

/// An agent.
pub struct CarriedAgent<F = PlainFormat> {
    settings: CarriedAgentSettings,
    format: F,
    standing: Standing,
    backend: Backend,
    /// Whose heartbeat named another service last.
    foreign_writer: Option<String>,
    flows: FlowTable<CarriedFlow>,
    /// New flows that wait until the back end has room.
    line: Line,
    foreign: HashSet<FlowKey>,
    foreign_order: VecDeque<FlowKey>,
    waiting: u32,
    /// Requests that the back end has and has not answered, overdue ones left out.
    working: u32,
    work: WorkMeter,
    breaker: Breaker,
    cold_gate: ColdGate,
    /// The back end may have turned cold since its last heartbeat: it was evacuated.
    may_be_cold: bool,
    watch: Watch,
    /// The back end may hold flows that an earlier process of this agent knew.
    may_have_forgotten: bool,
    /// The back end seems to have started beside this process.
    seems_fresh: bool,
    /// About when the back end started, where this process has run ever since.
    begun_at: Option<Duration>,
    unanswered: u32,
    silent_until: Option<Duration>,
    /// The condition that balancers were told last.
    told: BackendCondition,
    /// The balancer that asked for a reading of the store last, until that was made.
    errand_of: Option<SocketAddrV4>,
    /// Offers before this are passed over.
    stale_until: Duration,
    stopping: bool,
    /// Until when balancers are being told that the back end has ended; a stop waits for it.
    goodbye_until: Option<Duration>,
    outputs: VecDeque<Output>,
    counters: CarriedAgentCounters,
    latency: AgentLatency,
}

impl<F: SegmentFormat> CarriedAgent<F> {
    /// An agent that has just started and knows nothing but its settings.
    pub fn new(settings: CarriedAgentSettings, format: F) -> Self {
        CarriedAgent {
            standing: Standing::new(settings.node.clone()),
            backend: Backend::new(settings.service.clone()),
            foreign_writer: None,
            may_have_forgotten: !settings.is_first_start,
            cold_gate: match settings.is_first_start {
                true => ColdGate::default(),
                false => ColdGate::after_restart(),
            },
            may_be_cold: false,
            settings,
            seems_fresh: false,
            begun_at: None,
            format,
            flows: FlowTable::default(),
            line: Line::default(),
            foreign: HashSet::new(),
            foreign_order: VecDeque::new(),
            waiting: 0,
            working: 0,
            work: WorkMeter::default(),
            breaker: Breaker::new(),
            watch: Watch::default(),
            unanswered: 0,
            silent_until: None,
            told: BackendCondition::Unknown,
            errand_of: None,
            stale_until: Duration::ZERO,
            stopping: false,
            goodbye_until: None,
            outputs: VecDeque::new(),
            counters: CarriedAgentCounters::default(),
            latency: AgentLatency::default(),
        }
    }

    /// The next thing to do.
    pub fn take_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The nodes known.
    pub fn membership(&self) -> &Membership {
        &self.standing.membership
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> Version {
        self.standing.configuration.version
    }

    /// Path of the health page of the back end's service, once the configuration tells.
    pub fn health_path(&self) -> Option<&str> {
        let service = self.standing.configuration.service(self.backend.service())?;
        Some(&service.health_path)
    }

    /// Whether the back end has sent a heartbeat, or has answered for its health.
    pub fn knows_backend(&self) -> bool {
        self.backend.condition() != BackendCondition::Unknown
    }

    /// Takes no new flows from now on and tells every balancer so.
    pub fn start_draining(&mut self, now: Duration) {
        self.stopping = true;
        self.empty_line(now, DeclineReason::NotAccepting);
        self.hurry_watch(now);
        self.standing.membership.hurry(now);
        log::info!(waiting = self.waiting; "draining");
    }

    /// The process has stood still for longer than any peer waits.
    pub fn resume(&mut self, now: Duration) {
        self.stale_until = now + STALE_OFFERS;
        self.counters.standstills += 1;
        self.standing.membership.hurry(now);
        log::warn!(waiting = self.waiting; "resumed_after_standstill");
    }

    /// Whether a stop was asked for, nothing waits for an answer, and balancers were told whether the back end lives.
    pub fn is_drained(&self, now: Duration) -> bool {
        let is_told = self.goodbye_until.is_none_or(|until| now >= until);
        self.stopping && self.waiting == 0 && !self.watch.is_open() && is_told
    }

    /// Whether the back end's process has ended: the agent holds no flow, and none comes back.
    pub fn has_ended(&self) -> bool {
        self.watch.has_ended
    }

    /// Takes a datagram of another node.
    pub fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        match Message::decode(datagram) {
            Some(Message::Offer { number, service, admission, datagram }) => {
                self.handle_offer(now, from, number, &service, admission, datagram);
            }
            Some(Message::Forward { datagram }) => self.deliver(now, from, datagram),
            Some(Message::Find { questions }) => self.handle_find(now, from, &questions),
            Some(Message::Try { datagram }) => self.handle_try(now, from, datagram),
            Some(Message::ReadStore) => {
                self.counters.store_errands += 1;
                self.errand_of = Some(from);
                self.outputs.push_back(Output::ReadStore);
            }
            Some(Message::NotListed) => self.outputs.push_back(Output::WriteEntry),
            Some(Message::Heartbeat(heartbeat)) => {
                let (is_new, fetch) = self.standing.hear(now, from, &heartbeat);
                self.outputs.extend(fetch);
                if is_new {
                    self.send_heartbeat(now, from, false);
                }
            }
            _ => self.counters.messages_malformed += 1,
        }
        self.serve_line(now);
    }

    /// When [`CarriedAgent::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<Duration> {
        let due = [
            self.flows.next_wake_up(),
            self.standing.membership.next_due(),
            self.condition_changes_at(),
            self.standing.next_end(),
            self.next_question(),
            self.line.next_expiry(),
        ];
        due.into_iter().flatten().min()
    }

    /// Does what is due at `now`.
    pub fn handle_timeout(&mut self, now: Duration) {
        while let Some(id) = self.flows.pop_due(now) {
            self.wake(now, id);
        }
        if self.condition_changes_at().is_some_and(|at| at <= now) {
            self.silent_until = self.silent_until.filter(|until| now < *until);
            self.breaker.wake(now);
            self.tell_change(now, "rested");
        }
        let was_evacuated = self.is_evacuated();
        if self.standing.end_evacuations(now) {
            self.may_be_cold |= was_evacuated;
            self.tell_change(now, "evacuation_lapsed");
        }
        self.ask_backend(now);
        self.serve_line(now);
        for (peer, wants_reply) in self.standing.membership.take_due(now) {
            self.send_heartbeat(now, peer, wants_reply);
        }
    }

    /// What was measured so far.
    pub fn histograms(&self) -> Vec<Histogram> {
        self.latency.histograms()
    }

    /// What was counted so far, with the gauges of now.
    pub fn counters(&self, now: Duration) -> CarriedAgentCounters {
        CarriedAgentCounters {
            flows: self.flows.active_flows() as u64,
            waiting: u64::from(self.waiting),
            in_line: self.line.len() as u64,
            peers: self.standing.membership.len() as u64,
            configuration_version: self.standing.configuration.version.number,
            configuration_newest_heard: self.standing.newest_heard().number,
            configuration_revision: self.standing.configuration.version.position.revision,
            store_era: self.standing.newest_heard().position.era,
            configuration_age_seconds: self.standing.configuration_age(now).as_secs(),
            work_microseconds: u64::from(self.work.mean_us()),
            ..self.counters
        }
    }

    fn send_heartbeat(&mut self, now: Duration, to: SocketAddrV4, wants_reply: bool) {
        let report = Some(self.report(now));
        self.outputs.push_back(self.standing.heartbeat(now, to, wants_reply, report));
    }
}
