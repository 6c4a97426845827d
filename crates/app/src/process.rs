//! Runs a balancer or an agent as a process: opens its socket, follows the configuration and
//! serves metrics.

use crate::agent_process::{self, AgentTask};
use crate::balancer_process::{self, BalancerTask};
use crate::metrics;
use crate::sockets::{announce, bind_tcp, bind_udp};
use anyhow::Result;
use loftdrift_agent::AgentSettings;
use loftdrift_configuration::Configuration;
use loftdrift_counters::PublishedSet;
use loftdrift_settings::{AgentProcessSettings, BalancerProcessSettings, Role};
use loftdrift_store::{StoreClient, follow_configuration};
use loftdrift_tasks::WatchedTasks;
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Resources that balancers and agents need besides their own settings.
struct ProcessResources {
    socket: UdpSocket,
    configuration: watch::Receiver<Option<Arc<Configuration>>>,
    counters: watch::Sender<PublishedSet>,
    /// Tasks that follow the configuration, log counters and serve metrics.
    background: WatchedTasks,
}

impl ProcessResources {
    async fn open(
        role: Role,
        listen: SocketAddrV4,
        platform: SocketAddrV4,
        metrics: Option<SocketAddrV4>,
    ) -> Result<Self> {
        let socket = bind_udp("listen", listen).await?;
        announce("listen", socket.local_addr())?;
        let mut background = WatchedTasks::default();
        let (configuration_sender, configuration) = watch::channel(None);
        let store = StoreClient::new(platform.into());
        let follower = follow_configuration(store, rand::random(), configuration_sender);
        background.spawn("configuration", follower);
        let (counters, counters_receiver) = metrics::channel(role.name());
        background.spawn("counters", metrics::log_periodically(counters_receiver.clone()));
        if let Some(address) = metrics {
            let listener = bind_tcp("metrics", address).await?;
            announce("metrics", listener.local_addr())?;
            background.spawn("metrics", metrics::serve(listener, counters_receiver));
        }
        Ok(ProcessResources { socket, configuration, counters, background })
    }
}

/// Runs a balancer until it is stopped, or until one of its tasks panics.
pub async fn run_balancer(
    settings: BalancerProcessSettings,
    stop: mpsc::Receiver<()>,
) -> Result<()> {
    let BalancerProcessSettings { listen, platform, metrics, .. } = settings;
    let resources = ProcessResources::open(Role::Balancer, listen, platform, metrics).await?;
    let mut background = resources.background;
    let process = balancer_process::run(BalancerTask {
        socket: resources.socket,
        drain_duration: settings.drain_duration,
        probes_per_second: settings.probes_per_second,
        configuration: resources.configuration,
        stop,
        counters: resources.counters,
    });
    tokio::select! {
        outcome = process => outcome,
        panicked = background.wait_for_panic() => Err(panicked.into()),
    }
}

/// Runs an agent until it is stopped, or until one of its tasks panics.
pub async fn run_agent(settings: AgentProcessSettings, stop: mpsc::Receiver<()>) -> Result<()> {
    let AgentProcessSettings { listen, platform, metrics, .. } = settings;
    let resources = ProcessResources::open(Role::Agent, listen, platform, metrics).await?;
    let mut background = resources.background;
    let process = agent_process::run(AgentTask {
        socket: resources.socket,
        settings: AgentSettings {
            backend: settings.backend,
            fabric: settings.fabric,
            flow_buffer_bytes: settings.flow_buffer_bytes,
            cookies: settings.cookies,
            unknown_grace: settings.unknown_grace,
            udp_idle: settings.udp_idle,
            ramp: settings.ramp,
            seed: rand::random(),
        },
        drain_timeout: settings.drain_timeout,
        configuration: resources.configuration,
        stop,
        counters: resources.counters,
    });
    tokio::select! {
        outcome = process => outcome,
        panicked = background.wait_for_panic() => Err(panicked.into()),
    }
}
