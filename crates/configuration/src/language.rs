//! The command language for operators: a script with one statement per line.

use crate::lifecycle::{BackendEvent, BackendState};
use crate::model::{ServiceTransport, Site};
use loftdrift_findings::{Collector, Findings};
use pest::Parser;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use std::net::SocketAddrV4;

#[allow(missing_docs)]
mod grammar {
    /// The parser generated from `commands.pest`.
    #[derive(pest_derive::Parser)]
    #[grammar = "commands.pest"]
    pub struct CommandParser;
}
use grammar::{CommandParser, Rule};

const DEFAULT_SLOTS: u32 = 7;
const DEFAULT_CONNECTIONS: u32 = 2_000;
const DEFAULT_ZONE: &str = "local";
/// `docs/design/0001-steering.md` lists load imbalance and extra hops for other numbers of
/// candidates.
const DEFAULT_CANDIDATES: u8 = 4;
const MAX_CANDIDATES: u32 = 6;
const MAX_SHIFT_SECONDS: u64 = 30 * 24 * 3_600;

/// A statement with its position in the script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Byte offset in the script.
    pub offset: usize,
    /// The command and its arguments.
    pub kind: StatementKind,
}

/// The command and the arguments of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatementKind {
    /// `create service`
    CreateService {
        /// Name of the new service.
        name: String,
        /// Address to which callers connect.
        address: SocketAddrV4,
        /// TCP or UDP.
        transport: ServiceTransport,
        /// Number of candidates that the SYN of a new flow visits to find the least loaded one.
        candidates: u8,
    },
    /// `delete service`
    DeleteService {
        /// The service.
        name: String,
    },
    /// `attach backend`
    AttachBackend {
        /// Name of the new back end.
        name: String,
        /// Its service.
        service: String,
        /// Address at which the agent connects to the back end.
        server: SocketAddrV4,
        /// UDP address of the back end's agent.
        agent: SocketAddrV4,
        /// Zone of the back end.
        zone: String,
        /// The back end's side of a migration between two data centres.
        site: Site,
        /// Maximum number of concurrent requests.
        slots: u32,
        /// Maximum number of flows.
        connections: u32,
        /// Initial state: joining or active.
        state: BackendState,
    },
    /// `activate`, `drain` or `detach backend`
    ChangeBackend {
        /// The back end.
        name: String,
        /// The event passed to the back end's state chart.
        event: BackendEvent,
    },
    /// `shift SERVICE to site`
    Shift {
        /// The service.
        service: String,
        /// The site whose share of new flows is set.
        site: Site,
        /// Share of new flows that the site gets at the end of the shift, in percent.
        percent: u8,
        /// Duration of the shift, in seconds.
        duration_seconds: u64,
        /// Start of the shift, in seconds since the Unix epoch; set by [`set_start_times`].
        start_seconds: u64,
    },
    /// `show`
    Show(Query),
}

/// What a `show` statement lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Every service.
    Services,
    /// Every back end.
    Backends,
    /// Back ends in state `leaving`.
    Draining,
}

/// Sets the start time of every shift to `unix_seconds`, in seconds since the Unix epoch.
///
/// The parser has no access to a clock, so this must be called before the statements are applied.
pub fn set_start_times(statements: &mut [Statement], unix_seconds: u64) {
    for statement in statements {
        if let StatementKind::Shift { start_seconds, .. } = &mut statement.kind {
            *start_seconds = unix_seconds;
        }
    }
}

/// Parses a script. Findings refer to it as `file`.
pub fn parse_script(file: &str, text: &str) -> Result<Vec<Statement>, Findings> {
    let mut findings = Collector::new(file, text);
    let mut statements = Vec::new();
    match CommandParser::parse(Rule::script, text) {
        Ok(pairs) => {
            let script = pairs.flatten().filter(|pair| pair.as_rule() == Rule::statement);
            for pair in script {
                let offset = pair.as_span().start();
                let kind =
                    pair.into_inner().next().and_then(|inner| read_statement(&mut findings, inner));
                statements.extend(kind.map(|kind| Statement { offset, kind }));
            }
        }
        Err(error) => {
            let offset = match error.location {
                InputLocation::Pos(offset) | InputLocation::Span((offset, _)) => offset,
            };
            let expected = match &error.variant {
                ErrorVariant::ParsingError { positives, .. } => describe_rules(positives),
                ErrorVariant::CustomError { message } => message.clone(),
            };
            let rest = text[offset..].lines().next().unwrap_or_default();
            let word = rest.split_whitespace().next().unwrap_or("the end of the line");
            findings.add(offset, format!("`{word}` is not understood here"), expected);
        }
    }
    findings.finish(statements)
}

/// Describes what the parser expected, in terms that operators know.
fn describe_rules(rules: &[Rule]) -> String {
    let mut words: Vec<&str> = rules.iter().map(|rule| describe_rule(*rule)).collect();
    words.sort_unstable();
    words.dedup();
    if words.is_empty() {
        return "the next word of a statement: a line is VERB KIND NAME …".to_owned();
    }
    words.join(", ")
}

fn describe_rule(rule: Rule) -> &'static str {
    match rule {
        Rule::script | Rule::statement => {
            "a statement (create, delete, attach, activate, drain, detach, shift or show)"
        }
        Rule::create_service => "create service NAME at IP:PORT",
        Rule::delete_service => "delete service NAME",
        Rule::attach_backend => "attach backend NAME to SERVICE at IP:PORT agent IP:PORT",
        Rule::activate => "activate backend NAME",
        Rule::drain => "drain backend NAME",
        Rule::detach => "detach backend NAME",
        Rule::shift => "shift SERVICE to site left|right PERCENT% [over DURATION]",
        Rule::over_option => "over DURATION",
        Rule::percent => "a share such as 25%",
        Rule::duration => "a duration such as 30s, 10m or 2h",
        Rule::word_site => "site",
        Rule::show => "show services, show backends or show draining",
        Rule::show_services => "services",
        Rule::show_backends => "backends",
        Rule::show_draining => "draining",
        Rule::service_option | Rule::transport_option => "transport tcp or transport udp",
        Rule::candidates_option => "candidates NUMBER",
        Rule::backend_option => "zone, site, slots, connections or state",
        Rule::zone_option => "zone NAME",
        Rule::site_option => "site left or site right",
        Rule::slots_option => "slots NUMBER",
        Rule::connections_option => "connections NUMBER",
        Rule::state_option => "state joining or state active",
        Rule::name => "a name (letters, digits, - and _)",
        Rule::address => "an address IP:PORT",
        Rule::number => "a number",
        Rule::transport => "tcp or udp",
        Rule::site => "left or right",
        Rule::first_state => "joining or active",
        Rule::word_service => "service",
        Rule::word_backend => "backend",
        Rule::word_at => "at",
        Rule::word_to => "to",
        Rule::word_agent => "agent",
        Rule::EOI => "the end of the script",
        Rule::WHITESPACE | Rule::COMMENT => "a space",
    }
}

fn read_statement(findings: &mut Collector<'_>, pair: Pair<'_, Rule>) -> Option<StatementKind> {
    let rule = pair.as_rule();
    let mut parts = pair.into_inner().filter(|part| !is_keyword(part.as_rule()));
    match rule {
        Rule::create_service => {
            let name = parts.next()?.as_str().to_owned();
            let address = read_address(findings, parts.next()?)?;
            let mut transport = ServiceTransport::Tcp;
            let mut candidates = DEFAULT_CANDIDATES;
            for option in parts {
                let (rule, value) = option_value(option)?;
                match rule {
                    Rule::transport_option if value.as_str() == "udp" => {
                        transport = ServiceTransport::Udp;
                    }
                    Rule::candidates_option => {
                        candidates = read_number(findings, value, MAX_CANDIDATES)? as u8;
                    }
                    _ => {}
                }
            }
            Some(StatementKind::CreateService { name, address, transport, candidates })
        }
        Rule::delete_service => {
            Some(StatementKind::DeleteService { name: parts.next()?.as_str().to_owned() })
        }
        Rule::attach_backend => {
            let name = parts.next()?.as_str().to_owned();
            let service = parts.next()?.as_str().to_owned();
            let server = read_address(findings, parts.next()?)?;
            let agent = read_address(findings, parts.next()?)?;
            let mut zone = DEFAULT_ZONE.to_owned();
            let mut site = Site::Left;
            let mut slots = DEFAULT_SLOTS;
            let mut connections = DEFAULT_CONNECTIONS;
            let mut state = BackendState::Joining;
            for option in parts {
                let (rule, value) = option_value(option)?;
                let word = value.as_str();
                match rule {
                    Rule::zone_option => zone = word.to_owned(),
                    Rule::site_option if word == "right" => site = Site::Right,
                    Rule::slots_option => slots = read_number(findings, value, u32::MAX)?,
                    Rule::connections_option => {
                        connections = read_number(findings, value, u32::MAX)?;
                    }
                    Rule::state_option if word == "active" => state = BackendState::Active,
                    _ => {}
                }
            }
            Some(StatementKind::AttachBackend {
                name,
                service,
                server,
                agent,
                zone,
                site,
                slots,
                connections,
                state,
            })
        }
        Rule::activate => change_backend(parts.next()?, BackendEvent::Activate),
        Rule::drain => change_backend(parts.next()?, BackendEvent::Drain),
        Rule::detach => change_backend(parts.next()?, BackendEvent::Detach),
        Rule::shift => {
            let service = parts.next()?.as_str().to_owned();
            let site = if parts.next()?.as_str() == "right" { Site::Right } else { Site::Left };
            let percent = read_percent(findings, parts.next()?)?;
            let over_option = parts.next().and_then(|option| option.into_inner().next());
            let duration_seconds = match over_option {
                Some(duration) => read_duration(findings, duration)?,
                None => 0,
            };
            Some(StatementKind::Shift {
                service,
                site,
                percent,
                duration_seconds,
                start_seconds: 0,
            })
        }
        Rule::show => match parts.next()?.as_rule() {
            Rule::show_services => Some(StatementKind::Show(Query::Services)),
            Rule::show_backends => Some(StatementKind::Show(Query::Backends)),
            _ => Some(StatementKind::Show(Query::Draining)),
        },
        _ => None,
    }
}

/// Whether a rule matches a fixed keyword, which carries no value.
fn is_keyword(rule: Rule) -> bool {
    matches!(
        rule,
        Rule::word_service
            | Rule::word_backend
            | Rule::word_at
            | Rule::word_to
            | Rule::word_agent
            | Rule::word_site
    )
}

fn change_backend(name: Pair<'_, Rule>, event: BackendEvent) -> Option<StatementKind> {
    Some(StatementKind::ChangeBackend { name: name.as_str().to_owned(), event })
}

/// The rule of the specific option inside `option`, and the option's value.
fn option_value(option: Pair<'_, Rule>) -> Option<(Rule, Pair<'_, Rule>)> {
    let inner = option.into_inner().next()?;
    let rule = inner.as_rule();
    Some((rule, inner.into_inner().next()?))
}

fn read_address(findings: &mut Collector<'_>, pair: Pair<'_, Rule>) -> Option<SocketAddrV4> {
    match pair.as_str().parse::<SocketAddrV4>() {
        Ok(address) if address.port() != 0 => Some(address),
        _ => {
            let problem = format!("`{}` is not a valid address", pair.as_str());
            findings.add(pair.as_span().start(), problem, "IP:PORT with a port from 1 to 65535");
            None
        }
    }
}

fn read_number(findings: &mut Collector<'_>, pair: Pair<'_, Rule>, max: u32) -> Option<u32> {
    match pair.as_str().parse::<u32>() {
        Ok(number) if (1..=max).contains(&number) => Some(number),
        _ => {
            let problem = format!("`{}` is out of range", pair.as_str());
            findings.add(pair.as_span().start(), problem, format!("a number from 1 to {max}"));
            None
        }
    }
}

fn read_percent(findings: &mut Collector<'_>, pair: Pair<'_, Rule>) -> Option<u8> {
    let percent = pair.as_str().trim_end_matches('%').parse::<u8>().ok();
    let percent = percent.filter(|percent| *percent <= 100);
    if percent.is_none() {
        let problem = format!("`{}` is out of range", pair.as_str());
        findings.add(pair.as_span().start(), problem, "a share from 0% to 100%");
    }
    percent
}

/// Reads a duration and returns it in seconds.
fn read_duration(findings: &mut Collector<'_>, pair: Pair<'_, Rule>) -> Option<u64> {
    let text = pair.as_str();
    let (digits, unit) = text.split_at(text.len() - 1);
    let factor = match unit {
        "h" => 3_600,
        "m" => 60,
        _ => 1,
    };
    let seconds = digits.parse::<u64>().ok().and_then(|number| number.checked_mul(factor));
    let seconds = seconds.filter(|seconds| *seconds <= MAX_SHIFT_SECONDS);
    if seconds.is_none() {
        let problem = format!("`{text}` is out of range");
        findings.add(pair.as_span().start(), problem, "a duration of at most 720h");
    }
    seconds
}
