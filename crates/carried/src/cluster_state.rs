//! A node's view of the cluster: the members, the configuration and the state of the shared store.

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

/// What a node did with a configuration that it received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// Ignored: it contains nothing newer than the one in force.
    Outdated,
    /// Same content as the one in force, at a later version.
    Confirmed,
    /// Adopted, and its content differs.
    Changed,
}

/// Members, configuration and store state, as one node knows them.
#[derive(Debug)]
pub(crate) struct ClusterState {
    pub(crate) membership: Membership,
    /// The configuration in force. Its version only ever changes to one that covers the former.
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
    /// Creates the state of a node that knows only itself.
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

    /// The newest version that a peer has reported or that is in force here.
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

    /// The configuration in force and all known nodes for which `may_be_alive` holds, this node
    /// included.
    pub(crate) fn snapshot(&self, may_be_alive: impl Fn(&SocketAddrV4) -> bool) -> Snapshot {
        let me = self.membership.me();
        let peers = self.membership.peers().filter(|(address, _)| may_be_alive(address));
        let peers = peers.map(|(address, peer)| (*address, peer.role));
        let is_known = self.configuration.version.is_known();
        Snapshot {
            configuration: is_known.then(|| self.configuration.clone()),
            members: std::iter::once((me.address, me.role)).chain(peers).collect(),
        }
    }

    /// Merges a received configuration into the one in force.
    pub(crate) fn adopt(&mut self, now: Duration, offered: CarriedConfiguration) -> Adoption {
        let in_force = self.configuration.version;
        let has_same_content = offered.digest() == self.digest;
        if in_force.covers(&offered.version) {
            if !has_same_content {
                log::info!(offered:% = offered.version, in_force:%; "configuration_passed_over");
            }
            return Adoption::Outdated;
        }
        // Merged, not replaced by the one with the higher revision: a restored store may have
        // reused that revision.
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

    /// The evacuated zones, as far as this node knows.
    pub(crate) fn evacuated(&self) -> BTreeSet<String> {
        self.configuration.evacuated.union(self.retained.zones()).cloned().collect()
    }

    /// Whether a zone is evacuated, as far as this node knows.
    pub(crate) fn is_evacuated(&self, zone: &str) -> bool {
        self.configuration.evacuated.contains(zone) || self.retained.zones().contains(zone)
    }

    /// When the retained evacuations, which the store does not list, expire.
    pub(crate) fn next_retention_end(&self) -> Option<Duration> {
        self.retained.ends_at()
    }

    /// Drops the retained evacuations once they have expired; returns `true` if there were any.
    pub(crate) fn expire_evacuations(&mut self, now: Duration) -> bool {
        if self.next_retention_end().is_none_or(|at| now < at) {
            return false;
        }
        let before = self.evacuated();
        self.retained.clear();
        self.log_evacuations(now, &before);
        true
    }

    /// Logs each zone whose evacuation has begun or ended.
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

    /// Handles a peer's heartbeat. Returns `true` if the peer is new, and a request for its
    /// snapshot if its configuration is newer.
    pub(crate) fn on_heartbeat(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> (bool, Option<Output>) {
        let outcome = self.membership.on_heartbeat(now, from, heartbeat);
        self.newest_reported = self.newest_reported.join(heartbeat.configuration);
        self.note_peer_version(heartbeat);
        let is_ahead = !self.configuration.version.covers(&heartbeat.configuration);
        self.store.note_peer_recoveries(heartbeat.store_recoveries);
        if let Some(confirmation) = heartbeat.confirmation.filter(|_| !is_ahead) {
            self.store.on_confirmation(now, confirmation);
        }
        (outcome.is_new, is_ahead.then_some(Output::FetchSnapshot { from }))
    }

    /// A peer with the same content may know that it holds up to a later revision.
    fn note_peer_version(&mut self, heartbeat: &Heartbeat) {
        let version = self.configuration.version;
        if version.is_known() && heartbeat.digest == self.digest {
            self.raise_version(version.join(heartbeat.configuration));
        }
    }

    /// Sets the version of the document in force; logs a warning if the store's era has changed.
    fn raise_version(&mut self, version: Version) {
        let from = std::mem::replace(&mut self.configuration.version, version).position;
        let to = version.position;
        if from.is_certain() && from.era != to.era {
            log::warn!(from:%, to:%; "store_restored");
        }
    }

    /// Builds the heartbeat to a peer; `report` is an agent's load.
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
            store_recoveries: self.store.recoveries(),
            report,
            wants_reply,
        };
        Output::ToPeer { to, message: Message::Heartbeat(heartbeat) }
    }

    /// Idle time after which a flow may be forgotten; `default` if no configuration sets it.
    pub(crate) fn idle_timeout(&self, default: Duration) -> Duration {
        match self.configuration.idle_timeout_ms {
            0 => default,
            milliseconds => Duration::from_millis(u64::from(milliseconds)),
        }
    }
}
