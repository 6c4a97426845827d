//! What to do with a packet whose flow this agent does not own. The decisions depend only on the
//! packet, its steering option and the service's table.

use loftdrift_steering::{MAX_HOPS, ServiceTable};
use loftdrift_wire::{
    Candidate, CandidateList, InnerPacket, LeastLoaded, MAX_CANDIDATES, MAX_PAGES, SegmentKind,
    SteeringMode, SteeringOption,
};

/// What to do with a packet whose flow is not here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Send the packet to this candidate with this option.
    Forward(Candidate, SteeringOption),
    /// Open the flow here.
    OpenHere,
    /// Every candidate was asked and none accepts new flows.
    Refuse,
    /// Every candidate was asked and none owns the flow.
    Unknown,
    /// The packet was forwarded too many times.
    HopLimitExceeded,
}

/// Forwards a packet of an existing flow: first along its candidate list, then to candidates that
/// only this agent's newer configuration has, then to further pages of the service's back ends.
pub(crate) fn locate(
    option: &SteeringOption,
    inner: &InnerPacket,
    table: Option<&ServiceTable>,
) -> Action {
    let mut option = *option;
    let local = table.map(|table| {
        (table.epoch(), table.existing_flow_option(&inner.flow, inner.timestamp_echo))
    });
    let local = local.as_ref().map(|(epoch, local)| (*epoch, local.candidates.as_slice()));
    add_newer_candidates(&mut option, local);
    let cursor = option.cursor + 1;
    advance(option, cursor).or_else(|| next_page(option, table?)).unwrap_or(Action::Unknown)
}

/// Moves on to the next page of back ends, without those on the current list. `None` when there are
/// no more back ends or the packet has had [`MAX_PAGES`] pages.
///
/// Only a packet without a cookie, of a flow that is older than the kept generations, gets here.
fn next_page(mut option: SteeringOption, table: &ServiceTable) -> Option<Action> {
    let asked = option.candidates;
    option.candidates = CandidateList::new();
    while option.candidates.as_slice().is_empty() {
        if option.page == MAX_PAGES {
            return None;
        }
        let page = table.agents().chunks(MAX_CANDIDATES).nth(usize::from(option.page))?;
        option.page += 1;
        let others = page.iter().filter(|candidate| asked.position(candidate.backend).is_none());
        others.for_each(|candidate| option.candidates.push_distinct(*candidate));
    }
    option.hops_left = MAX_HOPS;
    advance(option, 0)
}

/// Selects the agent for a packet that may open a flow: compares this agent's load with the lowest
/// so far and forwards the packet. `load` is `None` if this agent accepts no new flow.
///
/// A SYN visits the eligible candidates and, if none of them accepts the flow, the reserve after
/// them until one does. A UDP datagram always visits every candidate, as any of them may own its
/// flow. If no candidate accepts, the back ends that only this agent's newer configuration has are
/// asked as well.
pub(crate) fn select(
    option: &SteeringOption,
    load: Option<u16>,
    kind: SegmentKind,
    table: Option<&ServiceTable>,
) -> Action {
    let mut option = *option;
    if let Some(load) = load
        && option.least_loaded.is_none_or(|best| load < best.load)
    {
        option.least_loaded = Some(LeastLoaded { index: option.cursor, load });
    }
    let cursor = option.cursor + 1;
    let selection_done = option.least_loaded.is_some() && cursor >= option.eligible_count;
    if (!selection_done || kind == SegmentKind::Datagram)
        && let Some(next) = advance(option, cursor)
    {
        return next;
    }
    match option.least_loaded {
        None => {
            add_newer_candidates(&mut option, table.map(|table| (table.epoch(), table.agents())));
            advance(option, cursor).unwrap_or(Action::Refuse)
        }
        Some(best) if best.index == option.cursor => Action::OpenHere,
        Some(best) => {
            option.mode = SteeringMode::Open;
            advance(option, best.index).unwrap_or(Action::Refuse)
        }
    }
}

/// Restarts the selection: it chose this agent, which no longer accepts new flows.
pub(crate) fn restart_selection(option: &SteeringOption) -> Action {
    let again = SteeringOption { mode: SteeringMode::Select, least_loaded: None, ..*option };
    advance(again, 0).unwrap_or(Action::Refuse)
}

/// Appends this agent's candidates if its epoch is newer than the packet's.
fn add_newer_candidates(option: &mut SteeringOption, local: Option<(u64, &[Candidate])>) {
    let Some((epoch, candidates)) = local.filter(|(epoch, _)| *epoch > option.epoch) else {
        return;
    };
    candidates.iter().for_each(|candidate| option.candidates.push(*candidate));
    option.epoch = epoch;
}

/// Forwards to the candidate at `cursor`; `None` if the list is shorter.
fn advance(mut option: SteeringOption, cursor: u8) -> Option<Action> {
    let candidate = *option.candidates.as_slice().get(usize::from(cursor))?;
    let Some(hops_left) = option.hops_left.checked_sub(1) else {
        return Some(Action::HopLimitExceeded);
    };
    option.cursor = cursor;
    option.hops_left = hops_left;
    Some(Action::Forward(candidate, option))
}
