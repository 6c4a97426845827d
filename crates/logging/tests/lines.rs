//! Format of log lines, and traces of flows and requests made from them.

use loftdrift_logging::{Identity, Line, format_line, trace};
use log::{Level, Record};
use std::time::Duration;

fn line(node: &str, unix_ms: u64, pairs: &[(&str, &str)], event: &str) -> String {
    let identity = Identity { node: node.to_owned(), role: "balancer".to_owned(), incarnation: 3 };
    let unix = Duration::from_millis(unix_ms);
    format_line(
        &identity,
        Duration::from_millis(1_234),
        unix,
        &Record::builder()
            .level(Level::Warn)
            .args(format_args!("{event}"))
            .key_values(&pairs)
            .build(),
        2,
    )
}

#[test]
fn a_line_is_pairs_with_times_node_and_event_first() {
    // 2026-03-12 18:29:09.753 in UTC.
    let text = line("a-1", 1_773_340_149_753, &[("reason", "busy"), ("why", "a b")], "refused");
    assert_eq!(
        text,
        "steady_ms=1234 time=2026-03-12T18:29:09.753Z level=warn node=a-1 role=balancer \
         incarnation=3 event=refused reason=busy why=\"a b\" omitted=2\n"
    );
    let parsed = Line { text: text.trim_end() };
    assert_eq!(parsed.value("reason"), Some("busy"));
    assert_eq!(parsed.value("nothing"), None);
}

#[test]
fn a_trace_of_a_request_contains_its_flow_and_the_causes_near_it_in_order() {
    let at = 1_773_340_149_000;
    let flow = "100.64.0.7:40001>198.18.0.1:443";
    let agent = [
        line("agent", at + 20, &[("flow", flow), ("request", "r-1")], "request_arrived"),
        line("agent", at - 900, &[("from", "Unknown")], "backend_changed"),
        line("agent", at - 60_000, &[("from", "Unknown")], "backend_changed"),
    ]
    .concat();
    let balancer = [
        line("balancer", at + 10, &[("flow", flow)], "opening_placed"),
        line("balancer", at + 11, &[("flow", "1.1.1.1:1>2.2.2.2:2")], "opening_placed"),
    ]
    .concat();
    let logs = [agent, balancer];
    let events: Vec<_> =
        trace("r-1", &logs).into_iter().filter_map(|text| Line { text }.value("event")).collect();
    assert_eq!(events, ["backend_changed", "opening_placed", "request_arrived"]);
    assert!(trace("r-2", &logs).is_empty());
}
