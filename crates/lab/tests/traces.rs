//! The same seed gives the same trace, byte for byte. An altered trace is refused, and a truncated
//! one with the line at which it ends.

use loftdrift_lab::{Plan, Scenario, Trace, TraceError, run};

fn recorded() -> Trace {
    let path = format!("{}/../../scenarios/explore.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("failed to read the file");
    let plan = Plan::new(&Scenario::parse("explore", &text).expect("invalid scenario"), 9);
    let report = run(&plan).expect("run failed").report;
    Trace { plan, report }
}

#[test]
fn the_same_seed_gives_the_same_bytes() {
    assert_eq!(recorded().write(), recorded().write());
}

#[test]
fn a_trace_is_unchanged_after_writing_and_parsing_and_replays_to_the_same_report() {
    let trace = recorded();
    let read = Trace::read(&trace.write()).expect("invalid trace");
    assert_eq!(read, trace);
    assert_eq!(run(&read.plan).expect("run failed").report, trace.report);
}

#[test]
fn a_truncated_trace_is_refused_at_each_line() {
    let text = recorded().write();
    let lines: Vec<&str> = text.lines().collect();
    for kept in 0..lines.len() {
        let cut: String = lines[..kept].iter().map(|line| format!("{line}\n")).collect();
        match Trace::read(&cut) {
            Err(TraceError::Truncated { line, .. }) => assert_eq!(line, kept + 1),
            other => panic!("{kept} lines: {other:?}"),
        }
    }
}

#[test]
fn an_altered_trace_is_refused() {
    let text = recorded().write();
    for place in (0..text.len() - 1).step_by(97) {
        let mut bytes = text.clone().into_bytes();
        bytes[place] = if bytes[place] == b'7' { b'8' } else { b'7' };
        let altered = String::from_utf8(bytes).expect("trace is not UTF-8");
        assert!(Trace::read(&altered).is_err(), "byte {place}");
    }
}
