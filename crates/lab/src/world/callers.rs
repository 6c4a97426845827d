//! Handles the events of callers.

use super::{Event, FABRIC, OpenFlow, World};
use crate::caller::Progress;
use loftdrift_flow::{FlowId, FlowState, SocketCommand, SocketEvent};
use loftdrift_wire::{GenevePacket, encode_packet, parse_inner};
use rand::seq::IndexedRandom;

impl World {
    pub(super) fn deliver_to_caller(&mut self, datagram: &[u8]) {
        let Ok(packet) = GenevePacket::parse(datagram) else {
            return;
        };
        let Ok(inner) = parse_inner(packet.inner) else {
            return;
        };
        let Some(flow) = self.callers.find(&inner.flow.reversed()) else {
            return;
        };
        if let Some(open) = self.callers.get_mut(flow) {
            open.body.splice.on_packet(self.now, packet.inner);
        }
        self.process_caller_commands(flow);
    }

    pub(super) fn handle_caller_timer(&mut self) {
        if self.caller_timer_at.is_some_and(|timer| timer <= self.now) {
            self.caller_timer_at = None;
        }
        while let Some(flow) = self.callers.pop_due(self.now) {
            if let Some(open) = self.callers.get_mut(flow) {
                open.body.splice.poll(self.now);
            }
            self.process_caller_commands(flow);
        }
        self.schedule_callers();
    }

    pub(super) fn send_request(&mut self, flow: FlowId) {
        let Some(open) = self.callers.get_mut(flow) else {
            return;
        };
        let id = self.next_request_id;
        self.next_request_id += 1;
        let request = open.body.caller.next_request(id, &mut self.outcome);
        open.body.splice.on_socket_event(self.now, SocketEvent::Received(request));
        self.process_caller_commands(flow);
    }

    /// Executes the pending commands of a caller's flow, sends its packets and schedules its
    /// next timer.
    pub(super) fn process_caller_commands(&mut self, flow: FlowId) {
        while let Some(open) = self.callers.get_mut(flow) {
            let Some(command) = open.body.splice.take_command() else {
                break;
            };
            self.handle_caller_command(flow, command);
        }
        let Some(open) = self.callers.get_mut(flow) else {
            return;
        };
        let mut packets = Vec::new();
        while let Some(packet) = open.body.splice.take_packet() {
            packets.push(packet);
        }
        let gone = open.body.splice.state() == FlowState::Gone;
        let finished = open.body.caller.finished;
        let deadline = open.body.splice.next_timeout(self.now);
        for packet in packets {
            self.send_through_fabric(&packet);
        }
        if gone && !finished {
            self.outcome.flows_broken += 1;
            self.broken_at.push(self.now);
        }
        if gone || finished {
            self.ended.entry(flow).or_insert(self.now);
        }
        if gone {
            self.callers.remove(flow);
        } else {
            self.callers.wake_by(flow, deadline);
        }
        self.schedule_callers();
    }

    pub(super) fn handle_caller_command(&mut self, flow: FlowId, command: SocketCommand) {
        let Some(open) = self.callers.get_mut(flow) else {
            return;
        };
        let OpenFlow { splice, caller } = &mut open.body;
        match command {
            SocketCommand::Open => {
                splice.on_socket_event(self.now, SocketEvent::Opened);
                self.queue.push(self.now, Event::NextRequest(flow));
            }
            SocketCommand::Write(bytes) => {
                splice.on_socket_event(self.now, SocketEvent::Written(bytes.len()));
                match caller.receive(&bytes, &mut self.outcome) {
                    Progress::Waiting => {}
                    Progress::NextRequest => {
                        let at = self.now + caller.pause();
                        self.queue.push(at, Event::NextRequest(flow));
                    }
                    Progress::Finished => {
                        caller.finished = true;
                        self.outcome.flows_finished += 1;
                        splice.on_socket_event(self.now, SocketEvent::Finished);
                    }
                }
            }
            SocketCommand::ReadMore | SocketCommand::FinishWriting | SocketCommand::Abort => {}
        }
    }

    pub(super) fn schedule_callers(&mut self) {
        let Some(next) = self.callers.next_wake_up() else {
            return;
        };
        if self.caller_timer_at.is_none_or(|timer| next < timer) {
            self.caller_timer_at = Some(next);
            self.queue.push(next, Event::CallerTimer);
        }
    }

    /// Sends a caller's packet to a random balancer in use, as a fabric that sprays packets does.
    pub(super) fn send_through_fabric(&mut self, packet: &[u8]) {
        let Some(balancer) = self.in_use.choose(&mut self.random).copied() else {
            return;
        };
        self.transmit(FABRIC, balancer, encode_packet(0, None, packet));
    }
}
