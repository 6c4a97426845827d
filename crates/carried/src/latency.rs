//! Latency histograms of the balancer and agent cores.

use loftdrift_counters::Histogram;

/// Histograms of a balancer for carried flows.
#[derive(Clone, Debug)]
pub struct BalancerLatency {
    /// Time from an offer to the agent's answer.
    pub(crate) offer_answer: Histogram,
    /// Time from a flow's SYN to its placement.
    pub(crate) placement: Histogram,
    /// Number of offers made until a flow was placed.
    pub(crate) offers_per_flow: Histogram,
    /// Time from a packet of a flow missing in the flow cache until the agent that owns it is
    /// found.
    pub(crate) lookup: Histogram,
    /// Time from a packet of a flow until its caller is notified that no agent owns the flow.
    pub(crate) flow_over: Histogram,
}

impl Default for BalancerLatency {
    fn default() -> Self {
        BalancerLatency {
            offer_answer: Histogram::seconds(
                "offer_answer_seconds",
                "Time from an offer to the agent's answer.",
            ),
            placement: Histogram::seconds(
                "opening_seconds",
                "Time from a caller's SYN until an agent has placed the flow.",
            ),
            offers_per_flow: Histogram::counts(
                "opening_offers",
                "Offers made until a flow was placed.",
            ),
            lookup: Histogram::seconds(
                "lookup_seconds",
                "Time from a packet of an uncached flow until its owner is found.",
            ),
            flow_over: Histogram::seconds(
                "flow_over_seconds",
                "Time from a packet of a flow that no agent owns until its caller is notified.",
            ),
        }
    }
}

impl BalancerLatency {
    /// All histograms.
    pub fn histograms(&self) -> Vec<Histogram> {
        let BalancerLatency { offer_answer, placement, offers_per_flow, lookup, flow_over } =
            self.clone();
        vec![offer_answer, placement, offers_per_flow, lookup, flow_over]
    }
}

/// Histograms of an agent for carried flows.
#[derive(Clone, Debug)]
pub struct AgentLatency {
    /// Time from passing a SYN to the back end until the back end answers it.
    pub(crate) handshake: Histogram,
    /// Time from the first packet of a request to the first packet of its answer.
    pub(crate) answer: Histogram,
    /// Time that flows have spent in the wait queue until there was room.
    pub(crate) wait_queue: Histogram,
}

impl Default for AgentLatency {
    fn default() -> Self {
        AgentLatency {
            handshake: Histogram::seconds(
                "handshake_seconds",
                "Time from a SYN passed to the back end until its answer.",
            ),
            answer: Histogram::seconds(
                "answer_seconds",
                "Time from a request passed to the back end until the first packet of its answer.",
            ),
            wait_queue: Histogram::seconds(
                "line_seconds",
                "Time that new flows waited until the back end had room.",
            ),
        }
    }
}

impl AgentLatency {
    /// All histograms.
    pub fn histograms(&self) -> Vec<Histogram> {
        vec![self.handshake.clone(), self.answer.clone(), self.wait_queue.clone()]
    }
}
