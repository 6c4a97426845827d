//! Collects the lines about one flow or request from the logs of several processes.

use crate::line::Line;

/// Events that may explain what happened to a flow although their lines do not contain its name.
const CAUSES: [&str; 14] = [
    "agent_suspect",
    "agent_back",
    "backend_changed",
    "configuration_adopted",
    "configuration_passed_over",
    "dependency_lost",
    "dependency_regained",
    "draining",
    "evacuation_changed",
    "log_lines_dropped",
    "panicked",
    "started",
    "stopped",
    "store_restored",
];
/// Events of [`CAUSES`] are included from this time before the flow's first line to this time after
/// its last one.
const CAUSE_MARGIN_MS: i64 = 3_000;

/// Returns the lines of all `logs` that belong to `id`, the name of a flow or the id of a request,
/// together with possible causes logged around that time, ordered by time and node.
pub fn trace<'a>(id: &str, logs: &'a [String]) -> Vec<&'a str> {
    let lines: Vec<Line<'a>> =
        logs.iter().flat_map(|log| log.lines()).map(|text| Line { text }).collect();
    let mut flows: Vec<&str> = vec![id];
    for line in &lines {
        if line.value("request") == Some(id) {
            flows.extend(line.value("flow"));
        }
    }
    let names_flow = |line: &Line<'_>| line.value("flow").is_some_and(|flow| flows.contains(&flow));
    let flow_lines: Vec<Line<'a>> = lines.iter().copied().filter(names_flow).collect();
    let times: Vec<i64> = flow_lines.iter().filter_map(Line::milliseconds_of_day).collect();
    let (Some(first), Some(last)) = (times.iter().min(), times.iter().max()) else {
        return Vec::new();
    };
    let is_cause = |line: &Line<'_>| {
        let is_near = line
            .milliseconds_of_day()
            .is_some_and(|at| (first - CAUSE_MARGIN_MS..=last + CAUSE_MARGIN_MS).contains(&at));
        is_near && line.value("event").is_some_and(|event| CAUSES.contains(&event))
    };
    let causes = lines.iter().copied().filter(|line| is_cause(line) && !names_flow(line));
    let mut found: Vec<Line<'a>> = flow_lines.iter().copied().chain(causes).collect();
    found.sort_by_key(|line| (line.value("time"), line.value("node")));
    found.iter().map(|line| line.text).collect()
}
