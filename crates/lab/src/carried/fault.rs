//! Faults and operator actions that a simulated system is subjected to.

use std::time::Duration;

/// How a back end fails requests while it reports that it is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureMode {
    /// It answers at once with an error.
    Fail,
    /// It answers at once that it refuses the request.
    Refuse,
    /// It accepts the request and never answers.
    Hang,
}

/// How the store is restored from a backup.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreRestore {
    /// Age of the backup at the restore. Everything written since then is lost.
    pub backup_age: Duration,
    /// How long the store is unavailable before the restore.
    pub outage: Duration,
    /// Time from the restore until operators rewrite what was lost.
    pub rewrite_delay: Duration,
}

/// One fault or operator action. A `usize` is the number of a balancer, agent, back end or zone; a
/// `Duration` is how long the fault lasts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CarriedFault {
    /// A balancer's process is killed and restarts later without its state.
    KillBalancer(usize, Duration),
    /// An agent's process is killed; its back end keeps running.
    KillAgent(usize, Duration),
    /// The processes of all balancers and agents are killed.
    KillAll(Duration),
    /// Everything loses power, back ends included.
    PowerOff(Duration),
    /// A balancer's process does not run.
    FreezeBalancer(usize, Duration),
    /// An agent's process does not run.
    FreezeAgent(usize, Duration),
    /// A balancer drains and stops as planned, then restarts.
    StopBalancer(usize),
    /// A balancer cannot exchange messages with other nodes or the store; callers still reach it.
    IsolateBalancer(usize, Duration),
    /// An agent cannot exchange messages with other nodes or the store; its back end still reaches
    /// it.
    IsolateAgent(usize, Duration),
    /// Messages between nodes are lost with this probability.
    Loss(f64, Duration),
    /// The store answers no request.
    StoreDown(Duration),
    /// The store is unavailable and is then restored from an older backup.
    StoreRestored(StoreRestore),
    /// The store refuses every balancer but serves operators and agents.
    RefuseBalancers(Duration),
    /// Current watches on the store hang: their connections stop carrying data without being
    /// closed, while new ones work.
    HangWatches(Duration),
    /// Operators point the second service address at the other service.
    MoveRoute,
    /// Operators evacuate a zone.
    Evacuate(usize),
    /// Operators end a zone's evacuation.
    EndEvacuation(usize),
    /// A back end reports that it is leaving, serves its flows, and exits; a new one starts in its
    /// place later.
    ReplaceBackend(usize),
    /// A back end reports with a departure notice that it is leaving, without draining first,
    /// serves its flows for seconds, and exits; a new one starts in its place later.
    DepartBackend(usize),
    /// Heartbeats that a back end sends for the first duration arrive late by the second one.
    DelayHeartbeats(usize, Duration, Duration),
    /// A back end's health page says the opposite of the truth.
    LyingHealthPage(usize, Duration),
    /// An agent drains and stops as planned, then restarts; its back end keeps running.
    StopAgent(usize),
    /// A back end crashes without notice and restarts.
    CrashBackend(usize, Duration),
    /// A back end fails new requests.
    FailBackend(usize, FailureMode, Duration),
}

/// A fault and when it occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedFault {
    /// Virtual time since the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: CarriedFault,
}
