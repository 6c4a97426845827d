//! Where a packet goes that is not of a flow that lives here: pure decisions on its option.

use loftdrift_steering::{MAX_HOPS, ServiceTable};
use loftdrift_wire::{
    Candidate, CandidateList, InnerPacket, LeastLoaded, MAX_CANDIDATES, MAX_PAGES, SegmentKind,
    SteeringMode, SteeringOption,
};

/// What becomes of a packet whose flow is not here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Send it to this candidate with this option.
    PassOn(Candidate, SteeringOption),
    /// Open the flow here.
    OpenHere,
    /// Every candidate was asked and none takes new flows.
    Refused,
    /// Every candidate was asked and none knows the flow.
    Unknown,
    /// It was passed on too often.
    TooManyHops,
}

/// A packet of a flow that exists: on down the list, then to candidates that only a newer
/// configuration names, then through further lists of the service's other back ends.
pub(crate) fn locate(
    option: &SteeringOption,
    inner: &InnerPacket,
    table: Option<&ServiceTable>,
) -> Next {
    let mut option = *option;
    let known = table.map(|table| {
        (table.epoch(), table.existing_flow_option(&inner.flow, inner.timestamp_echo))
    });
    let known = known.as_ref().map(|(epoch, known)| (*epoch, known.candidates.as_slice()));
    add_newer(&mut option, known);
    let cursor = option.cursor + 1;
    advance(option, cursor).or_else(|| next_page(option, table?)).unwrap_or(Next::Unknown)
}

/// On to the next list of back ends that are not on this one; `None` when there are no more or the
/// packet had its share.
///
/// Only packets without a cookie whose flow is older than the kept generations come so far.
fn next_page(mut option: SteeringOption, table: &ServiceTable) -> Option<Next> {
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

/// A packet that opens a flow, on its tour. `load` is this agent's, `None` when it takes none.
///
/// A SYN's tour asks the eligible candidates and then the reserve behind them, until one takes the
/// flow. A datagram's tour always asks everyone, as any may hold its flow. When nobody takes it,
/// the back ends that only a newer configuration of this agent names are asked as well.
pub(crate) fn tour(
    option: &SteeringOption,
    load: Option<u16>,
    kind: SegmentKind,
    table: Option<&ServiceTable>,
) -> Next {
    let mut option = *option;
    if let Some(load) = load
        && option.least_loaded.is_none_or(|best| load < best.load)
    {
        option.least_loaded = Some(LeastLoaded { index: option.cursor, load });
    }
    let cursor = option.cursor + 1;
    let taken = option.least_loaded.is_some() && cursor >= option.eligible_count;
    if (!taken || kind == SegmentKind::Datagram)
        && let Some(next) = advance(option, cursor)
    {
        return next;
    }
    match option.least_loaded {
        None => {
            add_newer(&mut option, table.map(|table| (table.epoch(), table.agents())));
            advance(option, cursor).unwrap_or(Next::Refused)
        }
        Some(best) if best.index == option.cursor => Next::OpenHere,
        Some(best) => {
            option.mode = SteeringMode::Open;
            advance(option, best.index).unwrap_or(Next::Refused)
        }
    }
}

/// The tour chose this agent, which takes no new flow any more: the tour begins again.
pub(crate) fn tour_again(option: &SteeringOption) -> Next {
    let again = SteeringOption { mode: SteeringMode::Select, least_loaded: None, ..*option };
    advance(again, 0).unwrap_or(Next::Refused)
}

/// Adds the candidates of an epoch that is newer than the packet's.
fn add_newer(option: &mut SteeringOption, known: Option<(u64, &[Candidate])>) {
    let Some((epoch, candidates)) = known.filter(|(epoch, _)| *epoch > option.epoch) else {
        return;
    };
    candidates.iter().for_each(|candidate| option.candidates.push(*candidate));
    option.epoch = epoch;
}

/// On to the candidate at `cursor`; `None` when the list ends before it.
fn advance(mut option: SteeringOption, cursor: u8) -> Option<Next> {
    let candidate = *option.candidates.as_slice().get(usize::from(cursor))?;
    let Some(hops_left) = option.hops_left.checked_sub(1) else {
        return Some(Next::TooManyHops);
    };
    option.cursor = cursor;
    option.hops_left = hops_left;
    Some(Next::PassOn(candidate, option))
}
