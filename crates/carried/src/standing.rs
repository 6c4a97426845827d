//! What a node knows of the system besides its own work: the members and the configuration.

use crate::configuration::CarriedConfiguration;
use crate::membership::{Membership, Node};
use crate::message::{Heartbeat, LoadReport, Message, NodeRole, Snapshot};
use crate::output::Output;
use crate::store_news::StoreNews;
use std::net::SocketAddrV4;
use std::time::Duration;

/// What became of a configuration that a node was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    /// It is no newer than the one in force.
    Outdated,
    /// It says what the one in force says, for a later revision.
    Confirmed,
    /// It is in force from now on.
    Changed,
}

/// Members and configuration, as one node knows them.
#[derive(Debug)]
pub(crate) struct Standing {
    pub(crate) membership: Membership,
    /// Its version never falls.
    pub(crate) configuration: CarriedConfiguration,
    /// Digest of the configuration in force.
    digest: u64,
    /// What is known of the shared store.
    pub(crate) store: StoreNews,
    adopted_at: Duration,
    newest_heard: u64,
}

impl Standing {
    /// A node that knows nothing but itself.
    pub(crate) fn new(node: Node) -> Self {
        Standing {
            membership: Membership::new(node),
            digest: CarriedConfiguration::default().digest(),
            configuration: CarriedConfiguration::default(),
            store: StoreNews::default(),
            adopted_at: Duration::ZERO,
            newest_heard: 0,
        }
    }

    /// The newest version that a peer has told of, or that is in force here.
    pub(crate) fn newest_heard(&self) -> u64 {
        self.newest_heard.max(self.configuration.version)
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
        let is_known = self.configuration.version > 0;
        Snapshot {
            configuration: is_known.then(|| self.configuration.clone()),
            members: std::iter::once((me.address, me.role)).chain(peers).collect(),
        }
    }

    /// Puts a configuration in force when it is newer than the one in force.
    pub(crate) fn adopt(&mut self, now: Duration, configuration: CarriedConfiguration) -> Adoption {
        let in_force = self.configuration.version;
        let digest = configuration.digest();
        if configuration.version <= in_force {
            if digest != self.digest {
                log::info!(offered = configuration.version, in_force; "configuration_passed_over");
            }
            return Adoption::Outdated;
        }
        if in_force > 0 && digest == self.digest {
            self.configuration.version = configuration.version;
            return Adoption::Confirmed;
        }
        log::info!(
            from = in_force, to = configuration.version, routes = configuration.routes.len();
            "configuration_adopted"
        );
        self.log_evacuations(now, &configuration);
        self.configuration = configuration;
        self.digest = digest;
        self.adopted_at = now;
        Adoption::Changed
    }

    /// A line for each zone that is evacuated from now on, or no longer.
    fn log_evacuations(&self, now: Duration, newer: &CarriedConfiguration) {
        let before = &self.configuration.evacuated;
        let confirmed = now.saturating_sub(self.store.confirmed_at());
        let confirmed_ms_ago = confirmed.as_millis() as u64;
        for zone in before.symmetric_difference(&newer.evacuated) {
            let is_evacuated = newer.evacuated.contains(zone);
            log::info!(
                zone = zone.as_str(), is_evacuated, version = newer.version, confirmed_ms_ago;
                "evacuation_changed"
            );
        }
    }

    /// Takes a peer's heartbeat; `true` when the peer is new. A peer that is ahead is asked for a
    /// snapshot.
    pub(crate) fn hear(
        &mut self,
        now: Duration,
        from: SocketAddrV4,
        heartbeat: &Heartbeat,
    ) -> (bool, Option<Output>) {
        let heard = self.membership.on_heartbeat(now, from, heartbeat);
        self.newest_heard = self.newest_heard.max(heartbeat.configuration);
        self.hear_version(heartbeat);
        let is_ahead = heartbeat.configuration > self.configuration.version;
        self.store.hear_returns(heartbeat.store_returns);
        if let Some(confirmation) = heartbeat.confirmation.filter(|_| !is_ahead) {
            self.store.hear(now, confirmation);
        }
        (heard.is_new, is_ahead.then_some(Output::FetchSnapshot { from }))
    }

    /// A peer that says the same knows up to which revision that holds.
    fn hear_version(&mut self, heartbeat: &Heartbeat) {
        let version = &mut self.configuration.version;
        if *version > 0 && heartbeat.digest == self.digest {
            *version = heartbeat.configuration.max(*version);
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
            store_returns: self.store.returns(),
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
