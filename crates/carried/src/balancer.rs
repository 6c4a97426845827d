//! The balancer's core: from a caller's packet to the agents that get it.
//!
//! Invariants:
//! - A caller is reset only when nothing of its flow has run: every agent asked has declined, or has
//!   stayed silent for longer than a caller needs to go on.
//! - A packet of an open flow goes only to the agent that holds it, or to agents that drop it unless
//!   they do; no choice by hash or load is made for it.
//! - A configuration with a lower version never replaces one with a higher version.

use crate::agent::snapshot_of;
use crate::configuration::{CarriedConfiguration, RoutingTable};
use crate::counters::CarriedBalancerCounters;
use crate::flow_cache::FlowCache;
use crate::locating::Locator;
use crate::membership::{Membership, Node};
use crate::message::{
    Admission, DeclineReason, Heartbeat, LoadReport, Message, NodeRole, Snapshot,
};
use crate::opening::{Answer, Asked, Opening, Openings};
use crate::pool::{AgentView, Distance, Pool};
use crate::segment::{Segment, SegmentFormat, flow_name};
use loftdrift_wire::FlowKey;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

/// An agent has so long to answer an offer before the next one is asked as well.
const OFFER_PATIENCE: Duration = Duration::from_millis(30);
/// Time between two looks for an agent while there is none to ask.
const SEARCH_INTERVAL: Duration = Duration::from_millis(10);
/// Agents asked for a free slot, at most.
const MOST_FREE_ASKED: usize = 6;
/// Agents asked for a place in their queue, at most.
const MOST_QUEUE_ASKED: usize = 4;
/// An agent that was late with its answer may have placed the flow; the caller goes on within this
/// time if so.
const UNANSWERED_LASTS: Duration = Duration::from_millis(130);
/// A caller may be reset only so long after its opening packet came: it repeats the packet after
/// 200 ms, perhaps through another balancer, where the flow may open meanwhile.
const RESET_WITHIN: Duration = Duration::from_millis(160);
/// Share of the aim for which a flow waits for an agent to ask.
const SEARCH_SHARE: f64 = 0.2;
/// Share of the aim within which an agent may still queue a request; the rest is for the ways and
/// for requests that take longer than the mean.
const QUEUE_SHARE: f64 = 0.5;
/// The aim of routes that tell none.
const DEFAULT_AIM: Duration = Duration::from_millis(500);
/// Rest after which a flow is forgotten, until a configuration tells.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Settings of a balancer of carried flows.
#[derive(Clone, Debug)]
pub struct CarriedBalancerSettings {
    /// The balancer itself.
    pub node: Node,
    /// Seed of the choices left to chance.
    pub seed: u64,
}

/// What the embedder does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BalancerOutput {
    /// Send a packet to a caller.
    ToCaller {
        /// The caller's host.
        host: Ipv4Addr,
        /// The packet.
        datagram: Vec<u8>,
    },
    /// Send a message to a node.
    ToPeer {
        /// The node.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Fetch a snapshot from a node whose configuration is newer.
    FetchSnapshot {
        /// The node.
        from: SocketAddrV4,
    },
}

/// Why a new flow is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    NoRoute,
    Busy,
    Unavailable,
    Unanswered,
}

impl Refusal {
    fn name(self) -> &'static str {
        match self {
            Refusal::NoRoute => "no_route",
            Refusal::Busy => "busy",
            Refusal::Unavailable => "no_backend_accepts",
            Refusal::Unanswered => "no_agent_answered",
        }
    }
}

/// A balancer.
pub struct CarriedBalancer {
    format: Arc<dyn SegmentFormat>,
    membership: Membership,
    configuration: CarriedConfiguration,
    routes: RoutingTable,
    pool: Pool,
    flows: FlowCache,
    openings: Openings,
    locator: Locator,
    random: ChaCha8Rng,
    draining: bool,
    outputs: VecDeque<BalancerOutput>,
    counters: CarriedBalancerCounters,
}

impl CarriedBalancer {
    /// A balancer that has just started and knows nothing but its settings.
    pub fn new(settings: CarriedBalancerSettings, format: Arc<dyn SegmentFormat>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
        CarriedBalancer {
            format,
            membership: Membership::new(settings.node),
            configuration: CarriedConfiguration::default(),
            routes: RoutingTable::default(),
            pool: Pool::default(),
            flows: FlowCache::default(),
            openings: Openings::new(random.random()),
            locator: Locator::default(),
            random,
            draining: false,
            outputs: VecDeque::new(),
            counters: CarriedBalancerCounters::default(),
        }
    }

    /// The next thing to do.
    pub fn take_output(&mut self) -> Option<BalancerOutput> {
        self.outputs.pop_front()
    }

    /// The nodes known.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Version of the configuration in force.
    pub fn configuration_version(&self) -> u64 {
        self.configuration.version
    }

    /// Whether callers' packets should come here.
    pub fn is_ready(&self, now: Duration) -> bool {
        let interval = self.membership.interval();
        !self.draining && !self.routes.is_empty() && self.pool.any_accepting(now, interval)
    }

    /// Asks for no more packets; those that come are still carried.
    pub fn start_draining(&mut self) {
        self.draining = true;
        log::info!(flows = self.flows.len(); "draining");
    }

    /// What this node gives to whoever asks.
    pub fn snapshot(&self) -> Snapshot {
        snapshot_of(&self.membership, &self.configuration)
    }

    /// Takes a node's snapshot.
    pub fn take_snapshot(&mut self, now: Duration, snapshot: Snapshot) {
        self.learn_members(now, &snapshot.members);
        if let Some(configuration) = snapshot.configuration {
            self.adopt(now, configuration);
        }
    }

    /// Learns of nodes by hearsay.
    pub fn learn_members(&mut self, now: Duration, members: &[(SocketAddrV4, NodeRole)]) {
        for (address, role) in members {
            self.membership.learn(now, *address, *role);
        }
    }

    /// Puts a configuration in force when it is newer than the one in force.
    pub fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) -> bool {
        if configuration.version <= self.configuration.version {
            self.counters.configurations_passed_over += 1;
            log::debug!(
                offered = configuration.version, in_force = self.configuration.version;
                "configuration_passed_over"
            );
            return false;
        }
        log::info!(
            from = self.configuration.version, to = configuration.version,
            routes = configuration.routes.len(); "configuration_adopted"
        );
        self.routes.replace(&configuration);
        self.configuration = configuration;
        self.counters.configurations_adopted += 1;
        self.membership.hurry(now);
        true
    }

    fn idle_timeout(&self) -> Duration {
        match self.configuration.idle_timeout_ms {
            0 => DEFAULT_IDLE,
            milliseconds => Duration::from_millis(u64::from(milliseconds)),
        }
    }

    /// Takes a datagram of a caller.
    pub fn handle_caller(&mut self, now: Duration, datagram: &[u8]) {
        self.counters.packets_received += 1;
        match self.format.parse(datagram) {
            Err(_) => self.counters.packets_malformed += 1,
            Ok(segment) if segment.is_opening() => self.handle_opening(now, &segment, datagram),
            Ok(segment) => self.handle_established(now, &segment, datagram),
        }
    }

    fn handle_opening(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        let flow = segment.flow();
        if let Some(number) = self.openings.number_of(&flow) {
            self.openings.note_copy(now, number);
            return;
        }
        if let Some(agent) = self.flows.agent(&flow) {
            if segment.acknowledgement > 0 && self.may_repeat(now, agent, &flow) {
                return self.repeat_offer(agent, &flow, datagram);
            }
            self.flows.remove(&flow, agent);
        }
        let Some(route) = self.routes.route(&flow.service) else {
            self.counters.packets_without_route += 1;
            if !self.routes.is_empty() {
                self.refuse(now, segment, Refusal::NoRoute, None);
            }
            return;
        };
        let aim = match route.aim_ms {
            0 => DEFAULT_AIM,
            milliseconds => Duration::from_millis(u64::from(milliseconds)),
        };
        if self.openings.is_full() {
            return self.refuse(now, segment, Refusal::Busy, None);
        }
        let Some(service) = self.routes.next_service(&flow.service) else {
            return self.refuse(now, segment, Refusal::NoRoute, None);
        };
        self.counters.openings_started += 1;
        let number = self.openings.start(now, *segment, datagram.to_vec(), service, aim);
        self.advance(now, number);
    }

    /// Whether a repeated opening packet may go where the flow was placed: the agent seems to live
    /// and the address still stands for its service.
    fn may_repeat(&self, now: Duration, agent: SocketAddrV4, flow: &FlowKey) -> bool {
        let Some(view) = self.pool.view(&agent) else { return false };
        let route = self.routes.route(&flow.service);
        let parts = route.map(|route| route.parts.as_slice()).unwrap_or_default();
        let is_part = parts.iter().any(|part| part.service == view.report.service);
        is_part && !view.is_suspect(now, self.membership.interval())
    }

    /// A caller repeats the opening packet of a flow that has been placed: its answer was lost.
    fn repeat_offer(&mut self, agent: SocketAddrV4, flow: &FlowKey, datagram: &[u8]) {
        let Some(service) = self.pool.view(&agent).map(|view| view.report.service.clone()) else {
            return;
        };
        log::info!(flow = flow_name(flow).as_str(), agent:% = agent; "opening_repeated");
        let message = Message::Offer {
            number: 0,
            service,
            admission: Admission::Within(DEFAULT_AIM.as_millis() as u32),
            datagram: datagram.to_vec(),
        };
        self.outputs.push_back(BalancerOutput::ToPeer { to: agent, message });
    }

    /// Takes an opening as far as it goes without another word from an agent.
    fn advance(&mut self, now: Duration, number: u64) {
        let interval = self.membership.interval();
        let random = &mut self.random;
        let Some(opening) = self.openings.get_mut(number) else { return };
        if opening.is_pending() {
            return;
        }
        loop {
            let most = if opening.wants_queue { MOST_QUEUE_ASKED } else { MOST_FREE_ASKED };
            let may_ask = |agent: &SocketAddrV4, view: &AgentView| {
                let may_have_room = opening.wants_queue || !view.is_known_full(now);
                may_have_room && !opening.has_asked(agent)
            };
            let mut next = None;
            if opening.asked_in_round() < most {
                let noise = || random.random::<f64>();
                next = self.pool.best(now, interval, &opening.service, may_ask, noise);
            }
            if let Some(agent) = next {
                return self.offer(now, number, agent);
            }
            if opening.wants_queue {
                break;
            }
            opening.wants_queue = true;
        }
        self.settle_unplaced(now, number);
    }

    /// Everybody who seems able to take the flow was asked, and nobody has.
    fn settle_unplaced(&mut self, now: Duration, number: u64) {
        let interval = self.membership.interval();
        let Some(opening) = self.openings.get_mut(number) else { return };
        let age = opening.age(now);
        let is_full = opening.was_declined(DeclineReason::Busy)
            || opening.was_declined(DeclineReason::Returned);
        if !is_full {
            let asked = |agent: &SocketAddrV4| opening.has_asked(agent);
            if let Some(agent) = self.pool.suspect(now, interval, &opening.service, asked) {
                return self.offer(now, number, agent);
            }
        }
        let has_unanswered = opening.has_unanswered();
        let refusal = match (has_unanswered, is_full) {
            (true, _) if age < UNANSWERED_LASTS => None,
            (true, _) => Some(Refusal::Unanswered),
            (false, true) => Some(Refusal::Busy),
            (false, false) if age < opening.aim.mul_f64(SEARCH_SHARE) => None,
            (false, false) => Some(Refusal::Unavailable),
        };
        match refusal {
            None => self.openings.wake_at(number, now + SEARCH_INTERVAL),
            Some(refusal) => {
                let Some(opening) = self.openings.finish(number) else { return };
                if opening.copy_age(now) > RESET_WITHIN {
                    return self.give_up(now, &opening, refusal);
                }
                self.refuse(now, &opening.segment, refusal, Some(&opening));
            }
        }
    }

    fn offer(&mut self, now: Duration, number: u64, agent: SocketAddrV4) {
        let Some(opening) = self.openings.get_mut(number) else { return };
        let admission = match opening.wants_queue {
            false => Admission::FreeSlot,
            true => {
                let budget = opening.aim.mul_f64(QUEUE_SHARE).saturating_sub(opening.age(now));
                Admission::Within(budget.as_millis() as u32)
            }
        };
        opening.asked.push(Asked { agent, admission, answer: Answer::Pending });
        let message = Message::Offer {
            number,
            service: opening.service.clone(),
            admission,
            datagram: opening.datagram.clone(),
        };
        self.outputs.push_back(BalancerOutput::ToPeer { to: agent, message });
        self.openings.wake_at(number, now + OFFER_PATIENCE);
        self.pool.note_offer(&agent);
        self.counters.offers_made += 1;
    }

    fn refuse(
        &mut self,
        now: Duration,
        segment: &Segment,
        refusal: Refusal,
        opening: Option<&Opening>,
    ) {
        match refusal {
            Refusal::NoRoute => self.counters.openings_refused_no_route += 1,
            Refusal::Busy => self.counters.openings_refused_busy += 1,
            Refusal::Unavailable => self.counters.openings_refused_unavailable += 1,
            Refusal::Unanswered => self.counters.openings_given_up += 1,
        }
        log::warn!(
            flow = flow_name(&segment.flow()).as_str(), reason = refusal.name(),
            age_ms = opening.map_or(0, |opening| opening.age(now).as_millis() as u64),
            service = opening.map_or("", |opening| opening.service.as_str()),
            asked = opening.map(|opening| self.describe_asked(now, opening)).unwrap_or_default().as_str(),
            configuration = self.configuration.version; "opening_refused"
        );
        let datagram = self.format.reset(segment);
        self.outputs.push_back(BalancerOutput::ToCaller { host: *segment.source.ip(), datagram });
    }

    /// Leaves a flow to the copies of its opening packet.
    fn give_up(&mut self, now: Duration, opening: &Opening, refusal: Refusal) {
        self.counters.openings_left_to_copies += 1;
        log::warn!(
            flow = flow_name(&opening.flow()).as_str(), reason = refusal.name(),
            age_ms = opening.age(now).as_millis() as u64,
            asked = self.describe_asked(now, opening).as_str(),
            configuration = self.configuration.version; "opening_left_to_copies"
        );
    }

    /// The agents that an opening asked, with what each said and what was known of it.
    fn describe_asked(&self, now: Duration, opening: &Opening) -> String {
        let describe = |asked: &Asked| {
            let answer = match asked.answer {
                Answer::Pending => "pending",
                Answer::Unanswered => "unanswered",
                Answer::Declined(reason) => reason.name(),
            };
            let view = self.pool.view(&asked.agent);
            let load = view.map(|view| (view.report.waiting, view.report.capacity, view.age(now)));
            let (waiting, capacity, age) = load.unwrap_or_default();
            let age = age.as_millis();
            format!("{}:{answer}:{waiting}/{capacity}:{age}ms", asked.agent.ip())
        };
        opening.asked.iter().map(describe).collect::<Vec<_>>().join(",")
    }

    fn handle_established(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        let flow = segment.flow();
        if let Some(number) = self.openings.number_of(&flow) {
            // The caller goes on: some agent has placed the flow, though its answer is not here.
            self.openings.finish(number);
            self.counters.openings_overtaken += 1;
        }
        let idle = self.idle_timeout();
        let finishes = segment.finishes || segment.resets;
        if let Some(agent) = self.flows.touch(now, idle, &flow, finishes) {
            self.counters.packets_forwarded += 1;
            let message = Message::Forward { datagram: datagram.to_vec() };
            self.outputs.push_back(BalancerOutput::ToPeer { to: agent, message });
            return;
        }
        self.locate(&flow, datagram, None);
    }

    fn locate(&mut self, flow: &FlowKey, datagram: &[u8], except: Option<SocketAddrV4>) {
        self.counters.packets_located += 1;
        let agents = self.locator.choose(&self.pool, &self.routes, &flow.service, except);
        log::info!(
            flow = flow_name(flow).as_str(), agents = agents.len(),
            configuration = self.configuration.version; "flow_located"
        );
        for to in agents {
            let message = Message::Locate { datagram: datagram.to_vec() };
            self.outputs.push_back(BalancerOutput::ToPeer { to, message });
        }
    }

    /// Takes a datagram of another node.
    pub fn handle_peer(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        match Message::decode(datagram) {
            Some(Message::Placed { number, report }) => {
                self.handle_placed(now, from, number, report)
            }
            Some(Message::Declined { number, reason, report }) => {
                self.handle_declined(now, from, number, reason, report);
            }
            Some(Message::Held { caller, service }) => {
                let transport = loftdrift_wire::Transport::Tcp;
                let flow = FlowKey { caller, service, transport };
                self.flows.insert(now, self.idle_timeout(), flow, from);
            }
            Some(Message::NotHeld { datagram }) => self.handle_not_held(from, &datagram),
            Some(Message::Heartbeat(heartbeat)) => self.handle_heartbeat(now, from, heartbeat),
            _ => self.counters.messages_malformed += 1,
        }
    }

    fn handle_placed(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        report: LoadReport,
    ) {
        self.pool.take_report(now, from, None, report);
        let opening = self.openings.get_mut(number);
        if !opening.is_some_and(|opening| opening.was_offered_to(from)) {
            self.counters.answers_unexpected += 1;
            return;
        }
        let Some(opening) = self.openings.finish(number) else { return };
        self.counters.openings_placed += 1;
        log::info!(
            flow = flow_name(&opening.flow()).as_str(), agent:% = from,
            service = opening.service.as_str(), age_us = opening.age(now).as_micros() as u64,
            copy = opening.segment.acknowledgement,
            asked = self.describe_asked(now, &opening).as_str(),
            configuration = self.configuration.version; "opening_placed"
        );
        self.flows.insert(now, self.idle_timeout(), opening.flow(), from);
    }

    fn handle_declined(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        number: u64,
        reason: DeclineReason,
        report: LoadReport,
    ) {
        self.counters.offers_declined += 1;
        self.pool.take_report(now, from, None, report);
        let Some(opening) = self.openings.get_mut(number) else { return };
        if let Some(answer) = opening.answer_of(from) {
            *answer = Answer::Declined(reason);
        }
        self.advance(now, number);
    }

    fn handle_not_held(&mut self, from: SocketAddrV4, datagram: &[u8]) {
        self.counters.packets_not_held += 1;
        let Ok(segment) = self.format.parse(datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        log::info!(flow = flow_name(&flow).as_str(), agent:% = from; "flow_not_held");
        self.flows.remove(&flow, from);
        match self.flows.agent(&flow) {
            // Found meanwhile, while packets were still under way to the wrong agent.
            Some(agent) => {
                let message = Message::Forward { datagram: datagram.to_vec() };
                self.outputs.push_back(BalancerOutput::ToPeer { to: agent, message });
            }
            None => self.locate(&flow, datagram, Some(from)),
        }
    }

    fn handle_heartbeat(&mut self, now: Duration, from: SocketAddrV4, heartbeat: Heartbeat) {
        let heard = self.membership.on_heartbeat(now, from, &heartbeat);
        if heartbeat.configuration > self.configuration.version {
            self.outputs.push_back(BalancerOutput::FetchSnapshot { from });
        }
        let distance = self.distance(&heartbeat);
        let interval = self.membership.interval();
        if let Some(view) = self.pool.view(&from).filter(|view| view.is_suspect(now, interval)) {
            log::info!(agent:% = from, away_ms = view.age(now).as_millis() as u64; "agent_back");
        }
        if let Some(report) = heartbeat.report {
            self.pool.take_report(now, from, Some(distance), report);
        }
        if heard.is_new {
            self.send_heartbeat(from, false);
        }
    }

    fn distance(&self, heartbeat: &Heartbeat) -> Distance {
        let me = self.membership.me();
        match (heartbeat.zone == me.zone, heartbeat.region == me.region) {
            (true, _) => Distance::SameZone,
            (false, true) => Distance::OtherZone,
            (false, false) => Distance::OtherRegion,
        }
    }

    fn send_heartbeat(&mut self, to: SocketAddrV4, wants_reply: bool) {
        let heartbeat = self.membership.heartbeat(self.configuration.version, wants_reply);
        let message = Message::Heartbeat(heartbeat);
        self.outputs.push_back(BalancerOutput::ToPeer { to, message });
    }

    /// When [`CarriedBalancer::handle_timeout`] must be called next.
    pub fn next_timeout(&self) -> Option<Duration> {
        [self.openings.next_wake_up(), self.membership.next_due()].into_iter().flatten().min()
    }

    /// Does what is due at `now`.
    pub fn handle_timeout(&mut self, now: Duration) {
        while let Some(number) = self.openings.pop_due(now) {
            self.wake_opening(now, number);
        }
        for (peer, wants_reply) in self.membership.take_due(now) {
            self.send_heartbeat(peer, wants_reply);
        }
        self.flows.sweep(now);
        self.forget_agents();
    }

    fn wake_opening(&mut self, now: Duration, number: u64) {
        let Some(opening) = self.openings.get_mut(number) else { return };
        for asked in &mut opening.asked {
            if asked.answer != Answer::Pending {
                continue;
            }
            asked.answer = Answer::Unanswered;
            self.counters.offers_unanswered += 1;
            if self.pool.note_unanswered(&asked.agent) {
                self.counters.suspicions += 1;
                log::warn!(agent:% = asked.agent, reason = "offers_unanswered"; "agent_suspect");
            }
        }
        self.advance(now, number);
    }

    /// Forgets agents that the membership has forgotten.
    fn forget_agents(&mut self) {
        if self.pool.len() > self.membership.len() {
            let membership = &self.membership;
            self.pool.forget(|agent| membership.knows(agent));
        }
    }

    /// What was counted so far, with the gauges of now.
    pub fn counters(&self, now: Duration) -> CarriedBalancerCounters {
        CarriedBalancerCounters {
            configuration_version: self.configuration.version,
            flows: self.flows.len() as u64,
            agents: self.pool.len() as u64,
            agents_suspect: self.pool.suspects(now, self.membership.interval()) as u64,
            peers: self.membership.len() as u64,
            ..self.counters
        }
    }
}
