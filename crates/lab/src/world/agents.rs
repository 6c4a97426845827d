//! What happens at agents and their back ends.

use super::{Event, World};
use crate::backend::RunningRequest;
use loftdrift_agent::Output;
use loftdrift_flow::{FlowId, SocketCommand, SocketEvent};
use std::net::SocketAddrV4;
use std::time::Duration;

impl World {
    /// When a frozen agent goes on; `None` when it is not frozen.
    pub(super) fn frozen_until(&self, agent: SocketAddrV4) -> Option<Duration> {
        let agent = self.agents.get(&agent)?;
        (agent.frozen_until > self.now).then_some(agent.frozen_until)
    }

    pub(super) fn handle_agent_timer(&mut self, address: SocketAddrV4) {
        if let Some(thaw) = self.frozen_until(address) {
            self.queue.push(thaw, Event::AgentTimer(address));
            return;
        }
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        if agent.timer.is_some_and(|timer| timer <= self.now) {
            agent.timer = None;
        }
        agent.core.handle_timeout(self.now);
        self.settle_agent(address);
    }

    /// Carries out what an agent wants done and sets its timer.
    pub(super) fn settle_agent(&mut self, address: SocketAddrV4) {
        while let Some(agent) = self.agents.get_mut(&address) {
            let Some(output) = agent.core.take_output() else {
                break;
            };
            match output {
                Output::Transmit { to, datagram } => self.transmit(address, to, datagram),
                Output::Socket { flow, command } => self.handle_command(address, flow, command),
                Output::StartSocket { .. } => {}
                Output::OpenHealthCheck { .. } => {
                    agent.core.handle_health_check(self.now, agent.backend.accepts());
                }
                Output::Ended { flow } => agent.backend.drop_connection(flow),
            }
        }
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        let Some(next) = agent.core.next_timeout() else {
            return;
        };
        if agent.timer.is_none_or(|timer| next < timer) {
            agent.timer = Some(next);
            self.queue.push(next, Event::AgentTimer(address));
        }
    }

    pub(super) fn handle_command(
        &mut self,
        address: SocketAddrV4,
        flow: FlowId,
        command: SocketCommand,
    ) {
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        match command {
            SocketCommand::Open => {
                let event = match agent.backend.connect(flow) {
                    true => SocketEvent::Opened,
                    false => SocketEvent::Failed,
                };
                agent.core.handle_socket(self.now, flow, event);
            }
            SocketCommand::Write(bytes) => {
                agent.backend.receive(flow, &bytes);
                agent.core.handle_socket(self.now, flow, SocketEvent::Written(bytes.len()));
                self.start_requests(address);
            }
            SocketCommand::ReadMore => {
                agent.backend.give_credit(flow);
                self.offer_chunk(address, flow);
            }
            SocketCommand::FinishWriting => {
                agent.backend.finish(flow);
                self.offer_chunk(address, flow);
            }
            SocketCommand::Abort => agent.backend.drop_connection(flow),
        }
    }

    pub(super) fn answer(&mut self, address: SocketAddrV4, flow: FlowId, request: &RunningRequest) {
        if let Some(thaw) = self.frozen_until(address) {
            let request = request.clone();
            self.queue.push(thaw, Event::Answer { agent: address, flow, request });
            return;
        }
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        agent.backend.answer(flow, request);
        self.start_requests(address);
        self.offer_chunk(address, flow);
        self.settle_agent(address);
    }

    /// Starts waiting requests for which the back end has slots.
    pub(super) fn start_requests(&mut self, address: SocketAddrV4) {
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        let work = agent.backend.work();
        while let Some((flow, request)) = agent.backend.start_next() {
            *self.outcome.runs.entry(request.id).or_default() += 1;
            self.outcome.misdelivered += u64::from(request.foreign);
            let event = Event::Answer { agent: address, flow, request };
            self.queue.push(self.now + work, event);
        }
    }

    pub(super) fn offer_chunk(&mut self, address: SocketAddrV4, flow: FlowId) {
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        if let Some(chunk) = agent.backend.take_chunk(flow) {
            agent.core.handle_socket(self.now, flow, SocketEvent::Received(chunk));
        } else if agent.backend.is_over(flow) {
            agent.backend.drop_connection(flow);
            agent.core.handle_socket(self.now, flow, SocketEvent::Finished);
        }
    }
}
