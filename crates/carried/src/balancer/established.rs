//! Packets of open flows: forwarded to the agent that owns the flow, or looked up if it is unknown.

use super::*;

impl<F: SegmentFormat> CarriedBalancer<F> {
    pub(super) fn handle_established(&mut self, now: Duration, segment: &Segment, datagram: &[u8]) {
        let flow = segment.flow();
        if let Some(number) = self.pending_flows.number_of(&flow) {
            // The caller has sent data: some agent has placed the flow, though its answer has not
            // arrived.
            let offers = self
                .pending_flows
                .finish(number)
                .map(|pending| self.describe_offers(now, &pending));
            self.counters.openings_overtaken += 1;
            log::info!(
                flow = flow_name(&flow).as_str(), asked = offers.unwrap_or_default().as_str(),
                configuration:% = self.cluster.configuration.version; "opening_overtaken"
            );
        }
        let idle = self.idle_timeout();
        let finishes = segment.fin || segment.rst;
        match self.flows.touch(now, idle, &flow, finishes) {
            // Its flows have presumably ended; the lookup finds out whether this one has.
            Some(agent) if self.is_gone(now, &agent) || self.has_departed(&agent) => {
                self.flows.remove(&flow, agent);
            }
            Some(agent) => return self.forward(agent, datagram),
            None => {}
        }
        self.handle_unknown_flow(now, segment, datagram, None);
    }

    fn forward(&mut self, to: SocketAddrV4, datagram: &[u8]) {
        self.counters.packets_forwarded += 1;
        let message = Message::Forward { datagram: datagram.to_vec() };
        self.outputs.push_back(Output::ToPeer { to, message });
    }

    pub(super) fn handle_not_owned(&mut self, now: Duration, from: SocketAddrV4, datagram: &[u8]) {
        self.counters.packets_not_held += 1;
        let Ok(segment) = self.format.parse(datagram) else {
            self.counters.packets_malformed += 1;
            return;
        };
        let flow = segment.flow();
        log::info!(flow = flow_name(&flow).as_str(), agent:% = from; "flow_not_held");
        self.flows.remove(&flow, from);
        match self.flows.agent(&flow) {
            // Found while packets were still in flight to the wrong agent.
            Some(agent) => self.forward(agent, datagram),
            None => self.handle_unknown_flow(now, &segment, datagram, Some(from)),
        }
    }
}
