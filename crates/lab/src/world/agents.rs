//! Handles the events of agents and their back ends.

use super::{Event, World};
use crate::backend::BackendRequest;
use loftdrift_agent::Output;
use loftdrift_flow::{FlowId, SocketCommand, SocketEvent};
use std::net::SocketAddrV4;
use std::time::Duration;

impl World {
    /// When a frozen agent resumes; `None` when it is not frozen.
    pub(super) fn frozen_until(&self, agent: SocketAddrV4) -> Option<Duration> {
        let agent = self.agents.get(&agent)?;
        (agent.frozen_until > self.now).then_some(agent.frozen_until)
    }

    pub(super) fn handle_agent_timer(&mut self, address: SocketAddrV4) {
        if let Some(resume_at) = self.frozen_until(address) {
            self.queue.push(resume_at, Event::AgentTimer(address));
            return;
        }
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        if agent.timer_at.is_some_and(|timer| timer <= self.now) {
            agent.timer_at = None;
        }
        agent.core.handle_timeout(self.now);
        self.process_agent_outputs(address);
    }

    /// Executes the pending outputs of an agent's core and schedules its next timer.
    pub(super) fn process_agent_outputs(&mut self, address: SocketAddrV4) {
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
        if agent.timer_at.is_none_or(|timer| next < timer) {
            agent.timer_at = Some(next);
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
                agent.backend.grant_credit(flow);
                self.deliver_chunk(address, flow);
            }
            SocketCommand::FinishWriting => {
                agent.backend.note_peer_finished(flow);
                self.deliver_chunk(address, flow);
            }
            SocketCommand::Abort => agent.backend.drop_connection(flow),
        }
    }

    /// Handles the end of a request's processing: queues the answer and starts the next request.
    pub(super) fn finish_request(
        &mut self,
        address: SocketAddrV4,
        flow: FlowId,
        request: &BackendRequest,
    ) {
        if let Some(resume_at) = self.frozen_until(address) {
            let request = request.clone();
            self.queue.push(resume_at, Event::Answer { agent: address, flow, request });
            return;
        }
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        agent.backend.answer(flow, request);
        self.start_requests(address);
        self.deliver_chunk(address, flow);
        self.process_agent_outputs(address);
    }

    /// Starts as many waiting requests as the back end has free slots.
    pub(super) fn start_requests(&mut self, address: SocketAddrV4) {
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        let processing_time = agent.backend.processing_time();
        while let Some((flow, request)) = agent.backend.start_next() {
            *self.outcome.executions.entry(request.id).or_default() += 1;
            self.outcome.misdelivered += u64::from(request.wrong_service);
            let event = Event::Answer { agent: address, flow, request };
            self.queue.push(self.now + processing_time, event);
        }
    }

    /// Passes the next chunk of an answer, or the end of the connection, from the back end to its
    /// agent.
    pub(super) fn deliver_chunk(&mut self, address: SocketAddrV4, flow: FlowId) {
        let Some(agent) = self.agents.get_mut(&address) else {
            return;
        };
        if let Some(chunk) = agent.backend.next_chunk(flow) {
            agent.core.handle_socket(self.now, flow, SocketEvent::Received(chunk));
        } else if agent.backend.is_finished(flow) {
            agent.backend.drop_connection(flow);
            agent.core.handle_socket(self.now, flow, SocketEvent::Finished);
        }
    }
}
