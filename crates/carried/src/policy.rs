//! Mechanisms that can be switched off one by one, to measure what each is worth.
//!
//! All are on unless a setting says otherwise. None is needed for a packet to reach its back end;
//! what a mechanism keeps beyond worth is told in the pages.

use thiserror::Error;

/// A mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A way to another zone is worth waiting.
    OwnZone,
    /// An agent without a free slot is asked for a place in its queue.
    SecondRound,
    /// Agents that are suspect or whose back ends fail are asked where no other is left.
    LastResort,
    /// What is known of an agent drifts to what is typical of its service.
    EstimateDecay,
    /// A few agents are compared, not all.
    SampledChoice,
    /// A back end that is cold counts as slower.
    WeighCold,
    /// A back end whose requests take longer counts as slower.
    WeighServiceTime,
    /// A back end that fails what it is asked rests.
    Breaker,
    /// A queue takes what can be answered in time.
    QueueLimit,
    /// Flows that nobody has room for wait at an agent until it has.
    WaitQueue,
    /// A balancer that stood still takes no new flow before it knows better.
    AdmissionPause,
    /// Agents read the shared store for balancers that it refuses.
    DelegatedStoreReads,
    /// Callers are told that nobody holds their flow.
    ResetUnowned,
    /// Agents find out whether their back end has ended.
    Probes,
    /// A few balancers of each zone wait at the shared store, not all.
    FewWatchers,
    /// A balancer that runs late holds silence against nobody.
    SchedulingDelay,
    /// Repeated offers are bounded by the flows placed.
    OfferBudget,
    /// Searches for forgotten flows take a bounded share of the process.
    RepairBudget,
    /// Where everything has lost power, flows of before are over.
    PowerLoss,
}

impl Policy {
    /// Every mechanism.
    pub const ALL: [Policy; 19] = [
        Policy::OwnZone,
        Policy::SecondRound,
        Policy::LastResort,
        Policy::EstimateDecay,
        Policy::SampledChoice,
        Policy::WeighCold,
        Policy::WeighServiceTime,
        Policy::Breaker,
        Policy::QueueLimit,
        Policy::WaitQueue,
        Policy::AdmissionPause,
        Policy::DelegatedStoreReads,
        Policy::ResetUnowned,
        Policy::Probes,
        Policy::FewWatchers,
        Policy::SchedulingDelay,
        Policy::OfferBudget,
        Policy::RepairBudget,
        Policy::PowerLoss,
    ];

    /// The name in settings.
    pub fn name(self) -> &'static str {
        match self {
            Policy::OwnZone => "own-zone",
            Policy::SecondRound => "second-round",
            Policy::LastResort => "last-resort",
            Policy::EstimateDecay => "drift",
            Policy::SampledChoice => "sample",
            Policy::WeighCold => "weigh-cold",
            Policy::WeighServiceTime => "weigh-work",
            Policy::Breaker => "breaker",
            Policy::QueueLimit => "queue-limit",
            Policy::WaitQueue => "line",
            Policy::AdmissionPause => "fence",
            Policy::DelegatedStoreReads => "store-errands",
            Policy::ResetUnowned => "tell-over",
            Policy::Probes => "probes",
            Policy::FewWatchers => "few-watchers",
            Policy::SchedulingDelay => "own-lateness",
            Policy::OfferBudget => "offer-budget",
            Policy::RepairBudget => "repair-budget",
            Policy::PowerLoss => "power-loss",
        }
    }

    fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// A name that no mechanism has.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("no mechanism is called `{0}`")]
pub struct UnknownPolicy(String);

impl std::str::FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        let found = Policy::ALL.into_iter().find(|policy| policy.name() == name);
        found.ok_or_else(|| UnknownPolicy(name.to_owned()))
    }
}

/// Which mechanisms are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// A bit for each one that is off.
    off: u32,
}

impl Policies {
    /// The same with one of them off.
    pub fn without(self, policy: Policy) -> Self {
        Policies { off: self.off | policy.bit() }
    }

    /// Whether a mechanism is on.
    pub fn is_enabled(self, policy: Policy) -> bool {
        self.off & policy.bit() == 0
    }
}
