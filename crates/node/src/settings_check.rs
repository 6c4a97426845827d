//! Checks the settings file on SIGHUP and logs whether it is valid and whether it has changed.
//! Changes take effect at the next start; whatever must change in a running node is part of the
//! configuration.

use crate::settings::NodeSettings;
use anyhow::{Context, Result};
use loftdrift_settings::Overrides;
use std::path::PathBuf;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Starts to listen for SIGHUP.
pub(crate) fn hangup_signals() -> Result<Signal> {
    signal(SignalKind::hangup()).context("cannot listen for SIGHUP")
}

/// Checks the settings file at each signal and logs the result.
pub(crate) async fn check_on_hangup(mut hangups: Signal, file: PathBuf, in_force: NodeSettings) {
    while hangups.recv().await.is_some() {
        check(&file, &in_force);
    }
}

fn check(file: &PathBuf, in_force: &NodeSettings) {
    let name = file.display().to_string();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            log::warn!(file = name.as_str(), error:% = error; "settings_unreadable");
            return;
        }
    };
    let incarnation = in_force.node.incarnation;
    match NodeSettings::read(&name, &text, &Overrides::default(), incarnation) {
        Ok(settings) => {
            let is_same = settings == *in_force;
            log::info!(file = name.as_str(), is_same; "settings_read_again");
        }
        Err(findings) => {
            let findings = findings.to_string();
            log::warn!(file = name.as_str(), findings = findings.as_str(); "settings_refused");
        }
    }
}
