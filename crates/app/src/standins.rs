//! Starts the simulated fabric, platform, back end and callers from their settings.

use crate::command_line::EXIT_FAILED;
use crate::sockets::{announce, bind_tcp, bind_udp};
use anyhow::Result;
use loftdrift_settings::{
    BackendProcessSettings, CallersProcessSettings, FabricProcessSettings, ListenerTransport,
    PlatformProcessSettings,
};
use loftdrift_standin::backend::{self, BackendSettings};
use loftdrift_standin::callers::{self, CallerEvent, CallerSettings};
use loftdrift_standin::fabric::{self, FabricSettings, Listener, ListenerSocket};
use loftdrift_standin::platform::{self, Faults};
use std::collections::BTreeMap;
use std::process::ExitCode;
use tokio::sync::{mpsc, watch};

const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Runs the simulated platform until the process is killed.
pub async fn run_platform(settings: PlatformProcessSettings) -> Result<()> {
    let listener = bind_tcp("listen", settings.listen).await?;
    announce("listen", listener.local_addr())?;
    let faults = Faults {
        requests_per_second: settings.requests_per_second,
        machine_lag_ms: settings.machine_lag.as_millis() as u64,
        ..Faults::default()
    };
    platform::serve(listener, faults).await;
    Ok(())
}

/// Runs a simulated back end until the process is killed.
pub async fn run_backend(settings: BackendProcessSettings) -> Result<()> {
    let listener = bind_tcp("listen", settings.listen).await?;
    announce("listen", listener.local_addr())?;
    let backend_settings = BackendSettings {
        service: settings.service,
        name: settings.name,
        slots: settings.slots,
        queue_capacity: settings.max_queued,
        work_duration: settings.work_duration,
        cold_start: settings.cold_start,
        load_lag: settings.load_lag,
    };
    backend::serve(listener, backend_settings).await;
    Ok(())
}

/// Runs the simulated network fabric until the process is killed.
pub async fn run_fabric(settings: FabricProcessSettings) -> Result<()> {
    let socket = bind_udp("listen", settings.listen).await?;
    announce("listen", socket.local_addr())?;
    let mut listeners = Vec::new();
    for listener in &settings.listeners {
        let socket = match listener.transport {
            ListenerTransport::Tcp => {
                let port = bind_tcp("listeners.listen", listener.listen).await?;
                announce("listeners.listen", port.local_addr())?;
                ListenerSocket::Tcp(port)
            }
            ListenerTransport::Udp => {
                let port = bind_udp("listeners.listen", listener.listen).await?;
                announce("listeners.listen", port.local_addr())?;
                ListenerSocket::Udp(port)
            }
        };
        listeners.push(Listener { service: listener.service, socket });
    }
    let fabric_settings = FabricSettings {
        balancers: settings.balancers,
        platform: settings.platform.map(Into::into),
        timestamps: settings.timestamps,
        seed: settings.seed,
    };
    fabric::serve(socket, listeners, fabric_settings).await
}

/// Runs callers for the configured time and prints their event counts as JSON. The exit code is
/// [`EXIT_FAILED`] if a flow broke or a response was wrong.
pub async fn run_callers(settings: CallersProcessSettings) -> Result<ExitCode> {
    let (events_sender, mut events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (stop_sender, stop) = watch::channel(false);
    for caller in 0..settings.callers {
        let settings = caller_settings(&settings);
        tokio::spawn(callers::run(settings, caller, events_sender.clone(), stop.clone()));
    }
    drop(events_sender);
    tokio::spawn(async move {
        tokio::time::sleep(settings.duration).await;
        // Sending fails only when all callers have already ended.
        let _ = stop_sender.send(true);
    });
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    while let Some(event) = events.recv().await {
        *counts.entry(event_name(&event)).or_default() += 1;
    }
    println!("{}", serde_json::to_string(&counts)?);
    let has_failures = counts
        .keys()
        .any(|name| name.starts_with("broken") || name == "wrong" || name == "misdelivered");
    Ok(if has_failures { ExitCode::from(EXIT_FAILED) } else { ExitCode::SUCCESS })
}

fn caller_settings(settings: &CallersProcessSettings) -> CallerSettings {
    CallerSettings {
        service: settings.service.clone(),
        address: settings.address.into(),
        body_bytes: (1, settings.body_bytes),
        submit_share: settings.submit_share,
        pause: settings.pause,
        requests_per_flow: (1, settings.requests_per_flow as u32),
        seed: settings.seed,
    }
}

/// Name under which an event is counted in the JSON output.
fn event_name(event: &CallerEvent) -> String {
    match event {
        CallerEvent::Opened => "flows_opened".to_owned(),
        CallerEvent::Broken(cause) => format!("broken_{cause:?}").to_lowercase(),
        CallerEvent::Sent(_) => "requests_sent".to_owned(),
        CallerEvent::Completed { .. } => "answered_whole".to_owned(),
        CallerEvent::InvalidResponse(_) => "wrong".to_owned(),
        CallerEvent::Rejected(_) => "refused_not_run".to_owned(),
        CallerEvent::Misdelivered(_) => "misdelivered".to_owned(),
    }
}
