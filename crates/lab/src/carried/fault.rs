//! What can happen to a simulated system.

use std::time::Duration;

/// How a back end fails what it is asked, though it calls itself ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// It answers at once that it failed.
    Fail,
    /// It answers at once that it did not take the request.
    Refuse,
    /// It takes the request and never answers.
    Hang,
}

/// How the store comes back from a copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreRestore {
    /// How old the copy is at the return; everything written since is gone.
    pub backup_age: Duration,
    /// For how long the store is away before.
    pub outage: Duration,
    /// How long after the return operators write again what is gone.
    pub rewrite_delay: Duration,
}

/// One thing that happens. Nodes and back ends are named by their numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CarriedFault {
    /// A balancer's process is killed and starts again with nothing after a while.
    KillBalancer(usize, Duration),
    /// An agent's process is killed beside its living back end.
    KillAgent(usize, Duration),
    /// Every process of the system is killed.
    KillAll(Duration),
    /// Everything loses power, back ends included.
    PowerOff(Duration),
    /// A balancer stands still.
    FreezeBalancer(usize, Duration),
    /// An agent stands still.
    FreezeAgent(usize, Duration),
    /// A balancer is asked to stop, and starts again when it has.
    StopBalancer(usize),
    /// A node is cut off from all other nodes; callers and its back end still reach it.
    IsolateBalancer(usize, Duration),
    /// An agent is cut off.
    IsolateAgent(usize, Duration),
    /// Packets are lost with this probability.
    Loss(f64, Duration),
    /// The store answers nobody.
    StoreDown(Duration),
    /// The store is away and comes back from an older copy.
    StoreRestored(StoreRestore),
    /// The store refuses every balancer while it serves the operator and the agents.
    RefuseBalancers(Duration),
    /// Waits at the store that are under way hang: their connections have gone silent, new ones work.
    HangWatches(Duration),
    /// The second address changes the service that it stands for.
    MoveRoute,
    /// The operator evacuates a zone.
    Evacuate(usize),
    /// The operator takes a zone back.
    EndEvacuation(usize),
    /// A back end says that it leaves, serves on, and goes; a new one starts in its place later.
    ReplaceBackend(usize),
    /// A back end ends without a word and starts again.
    CrashBackend(usize, Duration),
    /// A back end fails what it is asked.
    FailBackend(usize, FailureMode, Duration),
}

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedFault {
    /// When it happens.
    pub at: Duration,
    /// What happens.
    pub fault: CarriedFault,
}
