//! `loftdrift ctl`: operators' commands and queries on the configuration in the key-value store.

use crate::command_line::{EXIT_FAILED, EXIT_OUTCOME_UNKNOWN};
use anyhow::{Context, Result};
use loftdrift_charts::ChartNames;
use loftdrift_configuration::{
    BackendState, Commit, CommitAction, CommitOutcome, Configuration, Documents, KEY_PREFIX, Query,
    Statement, StatementKind, StoreReply, StoreRequest, apply, parse_script, set_start_times,
};
use loftdrift_findings::{Collector, Findings};
use loftdrift_store::StoreClient;
use rand::Rng;
use serde_json::json;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable tables.
    Table,
    /// One JSON object per result.
    Json,
}

/// The arguments of one `ctl` run.
#[derive(Clone, Debug)]
pub struct Invocation {
    /// Name of the script in error messages: its file, or `statement`.
    pub script_name: String,
    /// Text of the script.
    pub script: String,
    /// Only shows what would change.
    pub dry_run: bool,
    /// Output format.
    pub format: Format,
}

/// Parses the script, commits its changes and then prints the results of its queries.
pub async fn run(store: &StoreClient, invocation: &Invocation) -> Result<ExitCode> {
    let mut statements = match parse_script(&invocation.script_name, &invocation.script) {
        Ok(statements) => statements,
        Err(findings) => return Ok(print_findings(invocation, &findings)),
    };
    let unix_now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    set_start_times(&mut statements, unix_now.as_secs());
    let has_changes = statements.iter().any(|one| !matches!(one.kind, StatementKind::Show(_)));
    let mut code = ExitCode::SUCCESS;
    if has_changes && invocation.dry_run {
        code = print_dry_run(store, invocation, &statements).await?;
    } else if has_changes {
        let command_id = format!("{:032x}", rand::rng().random::<u128>());
        let outcome = commit(store, &command_id, statements.clone()).await;
        code = print_outcome(invocation, &command_id, &outcome);
    }
    for statement in &statements {
        if let StatementKind::Show(query) = statement.kind {
            let configuration = read_configuration(store).await?;
            println!("{}", query_result(&configuration, query, invocation.format));
        }
    }
    Ok(code)
}

/// Commits a script's statements to the key-value store under `command_id`. After a failed
/// request it waits with exponential, jittered backoff.
pub async fn commit(
    store: &StoreClient,
    command_id: &str,
    statements: Vec<Statement>,
) -> CommitOutcome {
    let mut commit = Commit::new(command_id.to_owned(), statements);
    let mut backoff = INITIAL_BACKOFF;
    let mut action = commit.start();
    loop {
        let request = match action {
            CommitAction::Done(outcome) => return outcome,
            CommitAction::Send(request) => request,
        };
        let reply = match store.send(&request).await {
            Ok(reply) => reply,
            Err(error) => {
                log::warn!(error:% = error; "store gave no answer");
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
                StoreReply::Lost
            }
        };
        action = commit.step(reply);
    }
}

/// Prints the revision at which the command with this ID took effect, if it did.
pub async fn print_past_outcome(store: &StoreClient, command_id: &str) -> Result<ExitCode> {
    let documents = read_documents(store).await?;
    match documents.outcome(command_id) {
        Some(version) => {
            println!("accepted at revision {version}");
            Ok(ExitCode::SUCCESS)
        }
        None => {
            let current = documents.configuration().version;
            println!("not applied as of revision {current}");
            Ok(ExitCode::from(EXIT_FAILED))
        }
    }
}

async fn read_documents(store: &StoreClient) -> Result<Documents> {
    let request = StoreRequest::ReadPrefix { prefix: KEY_PREFIX.to_owned() };
    let reply = store.send(&request).await.context("cannot read the configuration")?;
    let StoreReply::Keys { keys, .. } = reply else {
        anyhow::bail!("the key-value store returned a reply of an unexpected type");
    };
    Ok(Documents::read(&keys)?)
}

async fn read_configuration(store: &StoreClient) -> Result<Configuration> {
    Ok(read_documents(store).await?.configuration())
}

fn print_findings(invocation: &Invocation, findings: &Findings) -> ExitCode {
    match invocation.format {
        Format::Json => {
            let list = findings.list.iter().map(|finding| {
                json!({
                    "line": finding.position.line, "column": finding.position.column,
                    "problem": finding.problem, "expected": finding.expected,
                })
            });
            let list: Vec<serde_json::Value> = list.collect();
            println!("{}", json!({ "outcome": "refused", "findings": list }));
        }
        Format::Table => {
            for finding in &findings.list {
                let line =
                    invocation.script.lines().nth(finding.position.line - 1).unwrap_or_default();
                let caret = " ".repeat(finding.position.column - 1);
                println!("{}\n{caret}^ {}", line, finding.problem);
                println!("{caret}  expected {}", finding.expected);
            }
            println!("refused: nothing was changed");
        }
    }
    ExitCode::from(EXIT_FAILED)
}

async fn print_dry_run(
    store: &StoreClient,
    invocation: &Invocation,
    statements: &[Statement],
) -> Result<ExitCode> {
    let before = read_configuration(store).await?;
    match apply(&before, statements) {
        Ok(after) => {
            let changed = after.services.iter();
            let changed = changed
                .filter(|(name, service)| before.services.get(*name) != Some(service))
                .map(|(name, _)| name.as_str());
            let removed = before.services.keys();
            let removed =
                removed.filter(|name| !after.services.contains_key(*name)).map(String::as_str);
            let names: Vec<&str> = changed.chain(removed).collect();
            println!("would change {} at revision {}", names.join(", "), after.version);
            Ok(ExitCode::SUCCESS)
        }
        Err(errors) => Ok(print_outcome(invocation, "", &CommitOutcome::Refused(errors))),
    }
}

fn print_outcome(invocation: &Invocation, command_id: &str, outcome: &CommitOutcome) -> ExitCode {
    let (name, text, code) = match outcome {
        CommitOutcome::Accepted(version) => {
            ("accepted", format!("accepted at revision {version}"), 0)
        }
        CommitOutcome::Refused(errors) => {
            let mut findings = Collector::new(&invocation.script_name, &invocation.script);
            for (offset, error) in errors {
                findings.add(*offset, error.to_string(), "a change that fits the configuration");
            }
            return match findings.finish(()) {
                Err(findings) => print_findings(invocation, &findings),
                Ok(()) => ExitCode::from(EXIT_FAILED),
            };
        }
        CommitOutcome::Conflict { service, changed } => (
            "conflict",
            format!(
                "refused, nothing was changed: another operator changed service `{service}` at \
                 revision {changed} meanwhile"
            ),
            EXIT_FAILED,
        ),
        CommitOutcome::Unreadable(problem) => {
            ("refused", format!("refused, nothing was changed: {problem}"), EXIT_FAILED)
        }
        CommitOutcome::Unreachable => (
            "unreachable",
            "refused, nothing was changed: the key-value store gave no answer".to_owned(),
            EXIT_FAILED,
        ),
        CommitOutcome::Unknown => (
            "unknown",
            format!("unknown yet; resolve it with: loftdrift ctl outcome {command_id}"),
            EXIT_OUTCOME_UNKNOWN,
        ),
    };
    match invocation.format {
        Format::Json => {
            println!("{}", json!({ "outcome": name, "command": command_id, "text": text }));
        }
        Format::Table => println!("{text}"),
    }
    ExitCode::from(code)
}

/// Formats the result of a query together with the configuration revision it was read from.
fn query_result(configuration: &Configuration, query: Query, format: Format) -> String {
    let (columns, rows) = match query {
        Query::Services => service_rows(configuration),
        Query::Backends => backend_rows(configuration, |_| true),
        Query::Draining => backend_rows(configuration, |state| state == BackendState::Leaving),
    };
    let version = configuration.version;
    match format {
        Format::Json => {
            let object = |row: &Vec<String>| {
                let pairs = columns.iter().zip(row);
                let pairs = pairs.map(|(name, value)| ((*name).to_owned(), json!(value)));
                serde_json::Value::Object(pairs.collect())
            };
            let rows: Vec<serde_json::Value> = rows.iter().map(object).collect();
            json!({ "revision": version.to_string(), "rows": rows }).to_string()
        }
        Format::Table => format!("{}revision {version}", format_table(&columns, &rows)),
    }
}

fn service_rows(configuration: &Configuration) -> (Vec<&'static str>, Vec<Vec<String>>) {
    let rows = configuration.services.iter().map(|(name, service)| {
        vec![
            name.clone(),
            service.address.to_string(),
            service.backends.len().to_string(),
            service.candidates.to_string(),
            service.changed.to_string(),
        ]
    });
    (vec!["service", "address", "backends", "candidates", "changed"], rows.collect())
}

fn backend_rows(
    configuration: &Configuration,
    wanted: impl Fn(BackendState) -> bool,
) -> (Vec<&'static str>, Vec<Vec<String>>) {
    let mut rows = Vec::new();
    for (service_name, service) in &configuration.services {
        for (name, backend) in service.backends.iter().filter(|(_, one)| wanted(one.state)) {
            rows.push(vec![
                name.clone(),
                service_name.clone(),
                backend.state.name().to_owned(),
                backend.server.to_string(),
                backend.agent.to_string(),
                backend.zone.clone(),
                backend.slots.to_string(),
                backend.connections.to_string(),
            ]);
        }
    }
    let columns =
        vec!["backend", "service", "state", "server", "agent", "zone", "slots", "connections"];
    (columns, rows)
}

/// Formats rows as a table with left-aligned columns.
pub fn format_table(columns: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = columns.iter().map(|name| (*name).to_owned()).collect();
    let mut lines = vec![header];
    lines.extend(rows.iter().cloned());
    let widths: Vec<usize> = (0..columns.len())
        .map(|column| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let cells: Vec<String> = cells.collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
