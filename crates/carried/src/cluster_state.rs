//! What a node knows of the system besides its own work: the members and the configuration.

use crate::configuration::CarriedConfiguration;
use crate::membership::{Membership, Node};
use crate::message::{Heartbeat, LoadReport, Message, NodeRole, Snapshot};
use crate::output::Output;
use crate::retained_evacuations::RetainedEvacuations;
use crate::store_status::StoreStatus;
use crate::version::Version;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

/// What became of a configuration that a node was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// Nothing in it is newer than what is in force.
    Outdated,
    /// It says what the one in force says, for a later revision.
    Confirmed,
    /// It is in force from now on.
    Changed,
}

/// Members and configuration, as one node knows them.
#[derive(Debug)]
pub(crate) struct ClusterState {
    pub(crate) membership: Membership,
    /// Its version only ever comes to cover more.
    pub(crate) configuration: CarriedConfiguration,
    /// Digest of the configuration in force.
    digest: u64,
    retained: RetainedEvacuations,
    /// What is known of the shared store.
    pub(crate) store: StoreStatus,
    adopted_at: Duration,
    newest_reported: Version,
}

impl ClusterState {
    /// A node that knows nothing but itself.
    pub(crate) fn new(node: Node) -> Self {
        ClusterState {
            membership: Membership::new(node),
            digest: CarriedConfiguration::default().digest(),
            configuration: CarriedConfiguration::default(),
            retained: RetainedEvacuations::default(),
            store: StoreStatus::default(),
            adopted_at: Duration::ZERO,
            newest_reported: Version::default(),
        }
    }

    /// The newest version that a peer has told of, or that is in force here.
    pub(crate) fn newest_reported(&self) -> Version {
        self.newest_reported.join(self.configuration.version)
    }

    /// Time since the configuration in force was adopted.
    pub(crate) fn configuration_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.adopted_at)
    }

    pub(crate) fn learn(&mut self, now: Duration, members: &[(SocketAddrV4, NodeRole)]) {
        for (address, role) in members {
            self.membership.learn(now, *address, *role);
        }
    }

    /// The configuration in force and every node known that may live, itself included.
    pub(crate) fn snapshot(&self, may_live: impl Fn(&SocketAddrV4) -> bool) -> Snapshot {
        let me = self.membership.me();
        let peers = self.membership.peers().filter(|(address, _)| may_live(address));
        let peers = peers.map(|(address, peer)| (*address, peer.role));
        let is_known = self.configuration.version.is_known();
        Snapshot {
            configuration: is_known.then(|| self.configuration.clone()),
            members: std::iter::once((me.address, me.role)).chain(peers).collect(),
        }
    }

    /// Puts in force what is newer of a configuration than the one in force.
    pub(crate) fn adopt(&mut self, now: Duration, offered: CarriedConfiguration) -> Adoption {
        let in_force = self.configuration.version;
        let says_the_same = offered.digest() == self.digest;
        if in_force.covers(&offered.version) {
            if !says_the_same {
                log::info!(offered:% = offered.version, in_force:%; "configuration_passed_over");
            }
            return Adoption::Outdated;
        }
        // Not the one with the higher revision: the store may have gone back and have given it out again.
        let joined = self.configuration.clone().join(offered);
        let digest = joined.digest();
        if in_force.is_known() && digest == self.digest {
            self.raise_version(joined.version);
            return Adoption::Confirmed;
        }
        log::info!(
            from:% = in_force, to:% = joined.version, routes = joined.routes.len();
            "configuration_adopted"
        );
        let before = self.evacuated();
        let position = joined.version.position;
        if in_force.position.is_certain() && in_force.position.era != position.era {
            self.retained.retain(now, before.clone());
        }
        self.raise_version(joined.version);
        self.configuration = joined;
        self.digest = digest;
        self.adopted_at = now;
        self.log_evacuations(now, &before);
        Adoption::Changed
    }

    /// The zones that are evacuated, as far as is known here.
    pub(crate) fn evacuated(&self) -> BTreeSet<String> {
        self.configuration.evacuated.union(self.retained.zones()).cloned().collect()
    }

    /// Whether a zone is evacuated, as far as is known here.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.configuration.evacuated.contains(zone) || self.retained.zones().contains(zone)
    }

    /// When evacuations that the store does not name end.
    pub(crate) fn next_retention_end(&self) -> Option<Duration> {
        self.retained.ends_at()
    }

    /// Ends them when it is time; `true` when there were some.
    pub(crate) fn expire_evacuations(&mut self, now: Duration) -> bool {
        if self.next_retention_end().is_none_or(|at| now < at) {
            return false;
        }
        let before = self.evacuated();
        self.retained.clear();
        self.log_evacuations(now, &before);
        true
    }

    /// A line for each zone that is evacuated from now on, or no longer.
    fn log_evacuations(&self, now: Duration, before: &BTreeSet<String>) {
        let after = self.evacuated();
        let confirmed = now.saturating_sub(self.store.confirmed_at());
        let confirmed_ms_ago = confirmed.as_millis() as u64;
        for zone in before.symmetric_difference(&after) {
            let is_evacuated = after.contains(zone);
            log::info!(
                zone = zone.as_str(), is_evacuated, version:% = self.configuration.version,
                confirmed_ms_ago;
                "evacuation_changed"
            );
        }
    }

    /// Takes a peer's heartbeat; `true` when the peer is new. A peer that is ahead is asked for a
    /// snapshot.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> (bool, Option<Output>) {
        let heard = self.membership.on_heartbeat(now, from, heartbeat);
        self.newest_reported = self.newest_reported.join(heartbeat.configuration);
        self.note_peer_version(heartbeat);
        let is_ahead = !self.configuration.version.covers(&heartbeat.configuration);
        self.store.note_peer_restores(heartbeat.store_restores);
        if let Some(confirmation) = heartbeat.confirmation.filter(|_| !is_ahead) {
            self.store.on_confirmation(now, confirmation);
        }
        (heard.is_new, is_ahead.then_some(Output::FetchSnapshot { from }))
    }

    /// A peer that says the same knows up to which revision that holds.
    fn note_peer_version(&mut self, heartbeat: &Heartbeat) {
        let version = self.configuration.version;
        if version.is_known() && heartbeat.digest == self.digest {
            self.raise_version(version.join(heartbeat.configuration));
        }
    }

    /// The document in force holds for a later version; a line where that is of another era.
    fn raise_version(&mut self, version: Version) {
        let from = std::mem::replace(&mut self.configuration.version, version).position;
        let to = version.position;
        if from.is_certain() && from.era != to.era {
            log::warn!(from:%, to:%; "store_restored");
        }
    }

    /// The heartbeat to a peer, with an agent's load.
    pub(crate) fn heartbeat(
        &self,
        now: Duration,
        to: SocketAddrV4,
        wants_reply: bool,
        report: Option<LoadReport>,
    ) -> Output {
        let me = self.membership.me();
        let heartbeat = Heartbeat {
            role: me.role,
            zone: me.zone.clone(),
            region: me.region.clone(),
            incarnation: me.incarnation,
            link_mbps: me.link_mbps,
            configuration: self.configuration.version,
            digest: self.digest,
            confirmation: self.store.confirmation(now),
            store_restores: self.store.restores(),
            report,
            wants_reply,
        };
        Output::ToPeer { to, message: Message::Heartbeat(heartbeat) }
    }

    /// Rest after which a flow may be forgotten; `default` until a configuration tells.
    pub(crate) fn idle_timeout(&self, default: Duration) -> Duration {
        match self.configuration.idle_timeout_ms {
            0 => default,
            milliseconds => Duration::from_millis(u64::from(milliseconds)),
        }
    }
}
