//! How long what a core waits for takes.

use loftdrift_counters::Histogram;

/// What a balancer of carried flows measures.
#[derive(Clone, Debug)]
pub struct BalancerLatency {
    /// From an offer to the agent's word.
    pub(crate) offer_answer: Histogram,
    /// From an opening packet to its flow's place.
    pub(crate) placement: Histogram,
    /// Offers that it took.
    pub(crate) offers_per_flow: Histogram,
    /// From a packet of a flow that is not remembered until an agent holds it.
    pub(crate) lookup: Histogram,
    /// From a packet of a flow until its caller is told that nobody holds it.
    pub(crate) flow_over: Histogram,
}

impl Default for BalancerLatency {
    fn default() -> Self {
        BalancerLatency {
            offer_answer: Histogram::seconds(
                "offer_answer_seconds",
                "From an offer to the agent's word.",
            ),
            placement: Histogram::seconds(
                "opening_seconds",
                "From a caller's opening packet until an agent has placed the flow.",
            ),
            offers_per_flow: Histogram::counts("opening_offers", "Offers until a flow was placed."),
            lookup: Histogram::seconds(
                "lookup_seconds",
                "From a packet of a flow that is not remembered until an agent holds it.",
            ),
            flow_over: Histogram::seconds(
                "flow_over_seconds",
                "From a packet of a flow that nobody holds until its caller is told.",
            ),
        }
    }
}

impl BalancerLatency {
    /// All of them.
    pub fn histograms(&self) -> Vec<Histogram> {
        let BalancerLatency { offer_answer, placement, offers_per_flow, lookup, flow_over } =
            self.clone();
        vec![offer_answer, placement, offers_per_flow, lookup, flow_over]
    }
}

/// What an agent of carried flows measures.
#[derive(Clone, Debug)]
pub struct AgentLatency {
    /// From an opening packet passed on to the back end's answer to it.
    pub(crate) handshake: Histogram,
    /// From a request's first packet to the first one of its answer.
    pub(crate) answer: Histogram,
    /// Time that flows have waited until there was room.
    pub(crate) wait_queue: Histogram,
}

impl Default for AgentLatency {
    fn default() -> Self {
        AgentLatency {
            handshake: Histogram::seconds(
                "handshake_seconds",
                "From an opening packet passed to the back end until its answer.",
            ),
            answer: Histogram::seconds(
                "answer_seconds",
                "From a request passed to the back end until the first packet of its answer.",
            ),
            wait_queue: Histogram::seconds(
                "line_seconds",
                "Time that new flows have waited until the back end had room.",
            ),
        }
    }
}

impl AgentLatency {
    /// All of them.
    pub fn histograms(&self) -> Vec<Histogram> {
        vec![self.handshake.clone(), self.answer.clone(), self.wait_queue.clone()]
    }
}
