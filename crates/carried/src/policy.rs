//! Mechanisms that can be switched off one by one, to measure the effect of each.
//!
//! All are on unless a setting says otherwise. Packets reach their back ends without any of them;
//! the project's documentation lists what each mechanism guarantees beyond performance.

use thiserror::Error;

/// A mechanism.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Agents in the balancer's zone are preferred, up to a limited difference in waiting time.
    OwnZone,
    /// When no agent has a free slot, agents are asked again for a place in their queues.
    SecondRound,
    /// If no other agent is left, agents that are suspect or whose back ends fail get offers.
    LastResort,
    /// With age, a balancer's estimates of an agent move towards the mean of its service.
    EstimateDecay,
    /// A choice compares a few sampled agents instead of all.
    SampledChoice,
    /// Choices count cold back ends as slower.
    WeighCold,
    /// Choices count back ends with longer requests as slower.
    WeighServiceTime,
    /// A circuit breaker stops new flows to a back end that fails its requests.
    Breaker,
    /// An agent's queue admits only what can be answered in time.
    QueueLimit,
    /// Flows that no back end has room for wait in an agent's wait queue.
    WaitQueue,
    /// After a stall a balancer accepts no new flow until its view is up to date again.
    AdmissionPause,
    /// Agents read the shared store for balancers whose reads it refuses.
    DelegatedStoreReads,
    /// Flows that no agent owns are reset.
    ResetUnowned,
    /// Agents probe whether their back end's process has ended.
    Probes,
    /// A few balancers of each zone watch the shared store instead of all.
    FewWatchers,
    /// A balancer with a high scheduling delay does not hold missing answers against agents.
    SchedulingDelay,
    /// A retry budget bounds repeated offers by the number of flows placed.
    OfferBudget,
    /// Lookups of forgotten flows take a bounded share of the process's time.
    LookupLimiter,
}

impl Policy {
    /// All mechanisms, in the order of their bits.
    pub const ALL: [Policy; 18] = [
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
        Policy::LookupLimiter,
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
            Policy::LookupLimiter => "repair-budget",
        }
    }

    fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// The error for a name that no mechanism has.
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

/// The set of mechanisms that are on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Policies {
    /// One bit per mechanism that is off.
    off: u32,
}

impl Policies {
    /// Returns the set with one mechanism switched off.
    pub fn without(self, policy: Policy) -> Self {
        Policies { off: self.off | policy.bit() }
    }

    /// Whether a mechanism is on.
    pub fn is_enabled(self, policy: Policy) -> bool {
        self.off & policy.bit() == 0
    }
}
