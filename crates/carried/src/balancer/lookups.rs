//! Lookups of flows that this balancer has no record of: the owning agent is found, the lookup goes
//! on, or the caller is reset.
//!
//! Invariants:
//! - A packet whose owner is not known is given to a back end only if no agent that could be asked
//!   owns its flow, and then only to back ends of agents that may have lost their record of it.
//! - A caller is reset only when every known agent has answered that it does not own the flow, or
//!   has sent a departure notice and does not answer, or has answered no node for very long. While
//!   any of them may own the flow, or while there may be agents that this balancer does not know
//!   yet, the caller waits.

use super::*;
use crate::lookup::{ANSWER_TIMEOUT, AgentAnswer, INITIAL_RETRY_DELAY, LOOKUP_TIMEOUT, Lookup};
use crate::message::{FlowAnswer, FlowStatus, MAX_FLOWS_PER_MESSAGE};

/// Maximum number of lookups. Packets of further flows are dropped; their callers retransmit them.
const MAX_LOOKUPS: usize = 4_096;
/// Duration after which a lookup is logged as slow, with the agents that block its result. The
/// shortest latency targets are about 100 ms.
const SLOW_LOOKUP_THRESHOLD: Duration = Duration::from_millis(300);
/// Maximum number of agents named in such a log line.
const MAX_DESCRIBED_AGENTS: usize = 4;
/// Time for which a caller that was reset is remembered.
const RESET_TTL: Duration = Duration::from_secs(3);
/// Minimum time after which a caller that retransmits its packet is reset again.
const RESET_REPEAT_INTERVAL: Duration = Duration::from_millis(50);

impl<F: SegmentFormat> CarriedBalancer<F> {
    /// Handles a packet of a flow without a known owner, which `returned_by` may have returned.
    pub(super) fn handle_unknown_flow(
        &mut self,
        now: Duration,
        segment: &Segment,
        datagram: &[u8],
        returned_by: Option<SocketAddrV4>,
    ) {
        self.counters.packets_located += 1;
        let flow = segment.flow();
        let Some(number) = self.find_or_start_lookup(now, flow, segment, datagram) else {
            self.counters.lookups_passed_over += 1;
            return;
        };
        let Some(lookup) = self.lookups.get_mut(number) else { return };
        if let Some(agent) = returned_by {
            lookup.note_answer(agent, AgentAnswer::Absent(now));
        }
        if lookup.reset_at.is_some_and(|at| now.saturating_sub(at) >= RESET_REPEAT_INTERVAL) {
            return self.reset_caller(now, number);
        }
        if lookup.started_at.is_none() {
            return self.start_lookups(now);
        }
        self.advance_lookup(now, number);
    }

    /// Adds a packet to its flow's lookup, created if needed. Returns `None` if there are too many.
    fn find_or_start_lookup(
        &mut self,
        now: Duration,
        flow: FlowKey,
        segment: &Segment,
        datagram: &[u8],
    ) -> Option<u64> {
        let known = self.lookups.number_of(&flow);
        let lookup = known.and_then(|number| self.lookups.get_mut(number));
        if let Some(lookup) = lookup.filter(|lookup| lookup.applies_to(now, segment)) {
            let was_urgent = lookup.expects_answer();
            lookup.add_packet(now, segment, datagram);
            if lookup.started_at.is_none() && lookup.expects_answer() && !was_urgent {
                self.lookup_limiter.enqueue(now, known.unwrap_or_default(), true);
            }
            return known;
        }
        let before = known.and_then(|number| self.finish_lookup(now, number));
        if self.lookups.len() >= MAX_LOOKUPS {
            return None;
        }
        self.counters.lookups_started += 1;
        let mut lookup = Lookup::new(now, *segment, datagram);
        if let Some(before) = before.filter(|before| before.segment.may_share_flow(segment)) {
            lookup.continue_from(before);
        }
        let is_urgent = lookup.expects_answer();
        let number = self.lookups.start(now, flow, lookup);
        self.lookups.wake_at(number, now + LOOKUP_TIMEOUT);
        self.lookup_limiter.enqueue(now, number, is_urgent);
        Some(number)
    }

    /// Starts waiting lookups, as many as the limiter allows.
    pub(super) fn start_lookups(&mut self, now: Duration) {
        if !self.lookup_limiter.is_due(now) {
            return;
        }
        while let Some(number) = self.lookup_limiter.pop(now) {
            let Some(lookup) = self.lookups.get_mut(number) else { continue };
            if !lookup.is_recent(now) {
                self.finish_lookup(now, number);
                continue;
            }
            if lookup.started_at.is_none() {
                lookup.started_at = Some(now);
                lookup.next_retry = now + INITIAL_RETRY_DELAY;
                self.lookup_limiter.note_started(now, number);
                self.advance_lookup(now, number);
            }
        }
        self.lookup_limiter.schedule_next(now);
    }

    /// Removes a lookup.
    pub(super) fn finish_lookup(&mut self, now: Duration, number: u64) -> Option<Lookup> {
        let lookup = self.lookups.finish(number)?;
        if let Some(began_at) = lookup.started_at {
            self.lookup_limiter.note_settled(now, began_at, number);
        }
        Some(lookup)
    }

    /// Takes the next step of a lookup, if it does not wait for answers.
    fn advance_lookup(&mut self, now: Duration, number: u64) {
        let Some(lookup) = self.lookups.get(number).filter(|lookup| lookup.started_at.is_some())
        else {
            return;
        };
        if lookup.reset_at.is_some() {
            return self.lookups.wake_at(number, now + RESET_TTL);
        }
        if let Some(until) = lookup.answers_due_at(now) {
            return self.lookups.wake_at(number, until);
        }
        let batch = self.next_batch(now, number);
        if !batch.is_empty() {
            return self.ask_agents(now, number, batch);
        }
        if self.send_trial_packets(now, number) {
            return;
        }
        if self.no_agent_owns(now, number) {
            return self.reset_caller(now, number);
        }
        let Some(lookup) = self.lookups.get(number) else { return };
        let next_retry = lookup.next_retry;
        self.lookups.wake_at(number, next_retry.max(now));
    }

    fn ask_agents(&mut self, now: Duration, number: u64, agents: Vec<SocketAddrV4>) {
        let Some(lookup) = self.lookups.get_mut(number) else { return };
        lookup.batches += 1;
        let query = query_for(lookup);
        self.counters.lookup_questions += agents.len() as u64;
        for to in agents {
            lookup.note_answer(to, AgentAnswer::Asked(now));
            self.query_batches.add(now, to, query);
        }
        self.lookups.wake_at(number, now + ANSWER_TIMEOUT);
    }

    /// Sends the batched queries, if a batch is due.
    pub(super) fn send_queries(&mut self, now: Duration) {
        for (to, queries) in self.query_batches.take_due(now) {
            for part in queries.chunks(MAX_FLOWS_PER_MESSAGE) {
                let message = Message::Lookup { queries: part.to_vec() };
                self.outputs.push_back(Output::ToPeer { to, message });
            }
        }
    }

    /// Resets the caller: no agent owns its flow.
    fn reset_caller(&mut self, now: Duration, number: u64) {
        let Some(lookup) = self.lookups.get_mut(number) else { return };
        let segment = lookup.segment;
        if !lookup.expects_answer() {
            return;
        }
        let is_first = lookup.reset_at.replace(now).is_none();
        let (started, began_at) = (lookup.created_at, lookup.started_at.unwrap_or(now));
        lookup.take_buffered(now);
        self.lookup_limiter.note_settled(now, began_at, number);
        let age = now.saturating_sub(started);
        if is_first {
            self.latency.flow_over.observe(age);
            self.counters.flows_told_over += 1;
        }
        let Some(lookup) = self.lookups.get(number) else { return };
        log::warn!(
            flow = flow_name(&segment.flow()).as_str(), reason = "nobody_holds",
            age_ms = age.as_millis() as u64, said = self.describe_answers(now, lookup).as_str(),
            configuration:% = self.cluster.configuration.version; "flow_reset"
        );
        let datagram = self.format.reset(&segment);
        self.outputs.push_back(Output::ToCaller { host: *segment.source.ip(), datagram });
        self.lookups.wake_at(number, now + RESET_TTL);
    }

    /// Describes answers for the log: number of denials, age of the oldest, agents presumed gone.
    fn describe_answers(&self, now: Duration, lookup: &Lookup) -> String {
        let absent = lookup.answers().filter_map(|(_, answer)| match answer {
            AgentAnswer::Absent(at) => Some(now.saturating_sub(*at).as_millis()),
            _ => None,
        });
        let (denials, oldest) =
            absent.fold((0, 0), |(count, oldest), age| (count + 1, oldest.max(age)));
        let others = self.known_agents().filter_map(|agent| match lookup.answer(&agent) {
            Some(AgentAnswer::Absent(_)) => None,
            _ => Some(format!(",{}:gone", agent.ip())),
        });
        format!("absent:{denials}:{oldest}ms{}", others.collect::<String>())
    }

    /// Handles an agent's answer that it owns a flow.
    pub(super) fn handle_owned(&mut self, now: Duration, from: SocketAddrV4, flow: FlowKey) {
        if !self.pool.note_alive(&from) {
            self.counters.answers_unexpected += 1;
            return;
        }
        self.flows.insert(now, self.idle_timeout(), flow, from);
        let Some(number) = self.lookups.number_of(&flow) else { return };
        let Some(mut lookup) = self.finish_lookup(now, number) else { return };
        self.counters.lookups_found += 1;
        self.latency.lookup.observe(now.saturating_sub(lookup.created_at));
        for datagram in lookup.take_buffered(now) {
            self.counters.packets_forwarded += 1;
            let message = Message::Forward { datagram };
            self.outputs.push_back(Output::ToPeer { to: from, message });
        }
    }

    /// Handles an agent's answers about flows.
    pub(super) fn handle_lookup_reply(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        uptime: Duration,
        answers: &[FlowAnswer],
    ) {
        self.pool.note_answer(now, &from, uptime);
        for FlowAnswer { flow, status } in answers {
            match status {
                FlowStatus::Owned => self.handle_owned(now, from, (*flow).into()),
                FlowStatus::Absent => {
                    self.on_answer(now, from, (*flow).into(), AgentAnswer::Absent(now))
                }
                FlowStatus::Unknown => {
                    self.on_answer(now, from, (*flow).into(), AgentAnswer::Unknown)
                }
                // It has not received its back end's first report yet and is asked again soon.
                FlowStatus::NotReady => {}
            }
        }
    }

    /// Handles an agent's answer that it does not own a flow, or has no record of it.
    fn on_answer(&mut self, now: Duration, from: SocketAddrV4, flow: FlowKey, answer: AgentAnswer) {
        let number = self.lookups.number_of(&flow);
        let lookup = number.and_then(|number| Some((number, self.lookups.get_mut(number)?)));
        let Some((number, lookup)) = lookup.filter(|(_, lookup)| lookup.answer(&from).is_some())
        else {
            self.counters.answers_unexpected += 1;
            return;
        };
        // The agent was sent a packet on trial; the result is still to come.
        let is_tried = matches!(lookup.answer(&from), Some(AgentAnswer::Tried(_)));
        if !(is_tried && answer == AgentAnswer::Unknown) {
            lookup.note_answer(from, answer);
        }
        self.advance_lookup(now, number);
    }

    /// Handles an agent's report that it has notified the caller of the end of its flow.
    pub(super) fn handle_ended(&mut self, now: Duration, from: SocketAddrV4, flow: FlowKey) {
        if !self.pool.note_alive(&from) {
            self.counters.answers_unexpected += 1;
            return;
        }
        self.counters.flows_ended += 1;
        self.flows.remove(&flow, from);
        if let Some(number) = self.lookups.number_of(&flow) {
            self.finish_lookup(now, number);
        }
    }

    pub(super) fn wake_lookup(&mut self, now: Duration, number: u64) {
        let Some(lookup) = self.lookups.get(number) else { return };
        if lookup.is_over(now) {
            self.finish_lookup(now, number);
            return;
        }
        if lookup.started_at.is_none() {
            return self.lookups.wake_at(number, now + LOOKUP_TIMEOUT);
        }
        let is_settled = lookup.reset_at.is_some() || lookup.answers_due_at(now).is_some();
        if !is_settled && lookup.next_retry <= now && self.next_batch(now, number).is_empty() {
            self.ask_again(now, number);
        }
        self.advance_lookup(now, number);
    }

    /// Logs a slow lookup whose caller waits for an answer, once, with the agents that block it.
    fn log_slow_lookup(&mut self, now: Duration, number: u64) {
        let Some(lookup) = self.lookups.get_mut(number) else { return };
        let takes_long = now.saturating_sub(lookup.created_at) >= SLOW_LOOKUP_THRESHOLD;
        if !takes_long || lookup.slow_logged || !lookup.expects_answer() {
            return;
        }
        lookup.slow_logged = true;
        let Some(lookup) = self.lookups.get(number) else { return };
        log::info!(
            flow = flow_name(&lookup.segment.flow()).as_str(), trials = lookup.trials,
            agents = self.known_agents().count(),
            held_up_by = self.describe_blocking(now, lookup).as_str(); "search_takes_long"
        );
    }

    /// Describes the first agents that may still own the flow: last answer and last report.
    fn describe_blocking(&self, now: Duration, lookup: &Lookup) -> String {
        let blocking = self.known_agents().filter(|agent| !self.is_ruled_out(now, lookup, agent));
        let describe = |agent: SocketAddrV4| {
            let answer = match self.known_answer(lookup, &agent) {
                None => "not_asked",
                Some(AgentAnswer::Asked(_)) => "silent",
                Some(AgentAnswer::Unknown) => "unsure",
                Some(AgentAnswer::Tried(_)) => "tried",
                Some(AgentAnswer::Absent(_)) => "absent",
            };
            let report = self.pool.view(&agent).map(|view| view.describe_report(now));
            format!("{}:{answer}:{}", agent.ip(), report.unwrap_or_else(|| "never".to_owned()))
        };
        blocking.take(MAX_DESCRIBED_AGENTS).map(describe).collect::<Vec<_>>().join(",")
    }

    /// Repeats the query to agents whose answer is missing or left the ownership open.
    fn ask_again(&mut self, now: Duration, number: u64) {
        self.log_slow_lookup(now, number);
        let Some(lookup) = self.lookups.get_mut(number) else { return };
        lookup.note_retry(now);
        let agents = lookup.unresolved(now);
        let query = query_for(lookup);
        let silent =
            if self.scheduling_delay.is_delayed(now) { Vec::new() } else { lookup.unanswered() };
        for (agent, asked_at) in silent {
            self.pool.note_unanswered_query(&agent, asked_at);
        }
        self.counters.lookup_questions += agents.len() as u64;
        for to in agents {
            self.query_batches.add(now, to, query);
        }
    }
}

/// The query whether an agent owns the flow of a lookup.
fn query_for(lookup: &Lookup) -> FlowQuery {
    let Segment { ack, acknowledgement, .. } = lookup.segment;
    let acknowledged = ack.then_some(acknowledgement);
    FlowQuery { flow: lookup.segment.flow().into(), acknowledged }
}
