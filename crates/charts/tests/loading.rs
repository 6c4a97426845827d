//! Invalid charts are rejected with the position of each fault; valid charts are interpreted.

use loftdrift_charts::{Chart, ChartNames, TypedChart, TypedTransition};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    Open,
    Shut,
}

impl ChartNames for Door {
    const NAMES: &'static [(Self, &'static str)] = &[(Self::Open, "open"), (Self::Shut, "shut")];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Push {
    In,
    Out,
}

impl ChartNames for Push {
    const NAMES: &'static [(Self, &'static str)] = &[(Self::In, "in"), (Self::Out, "out")];
}

const VALID: &str = "initial = \"shut\"\nevents = [\"in\", \"out\"]\n\
    [states.shut]\nin = \"open\"\nout = \"refuse\"\n\
    [states.open]\nin = \"stay\"\nout = \"shut\"\n";

#[test]
fn a_valid_chart_is_interpreted() {
    let chart: TypedChart<Door, Push> = TypedChart::parse("door", VALID).expect("invalid chart");
    assert_eq!(chart.initial(), Door::Shut);
    assert_eq!(chart.transition(Door::Shut, Push::In), TypedTransition::To(Door::Open));
    assert_eq!(chart.transition(Door::Shut, Push::Out), TypedTransition::Refuse);
    assert_eq!(chart.transition(Door::Open, Push::In), TypedTransition::Stay);
    assert_eq!(chart.next_state(Door::Open, Push::Out), Door::Shut);
}

#[test]
fn each_fault_is_reported_at_its_position() {
    let text = "initial = \"shut\"\nevents = [\"in\", \"out\"]\n\
        [states.shut]\nin = \"ajar\"\nout = \"refuse\"\n\
        [states.open]\nin = \"stay\"\nknock = \"shut\"\n";
    let shown = Chart::parse("door", text).expect_err("findings").to_string();
    assert!(shown.contains("door:4:6: target state `ajar` is missing"), "{shown}");
    assert!(shown.contains("door:6:9: state `open` does not handle event `out`"), "{shown}");
    assert!(shown.contains("door:6:9: state `open` is unreachable"), "{shown}");
    assert!(shown.contains("door:8:1: unknown event `knock`"), "{shown}");
    assert_eq!(shown.lines().count(), 4, "{shown}");
}

#[test]
fn a_missing_initial_state_is_reported() {
    let text = VALID.replace("initial = \"shut\"", "initial = \"ajar\"");
    let shown = Chart::parse("door", &text).expect_err("findings").to_string();
    assert!(shown.contains("door:1:11: initial state `ajar` is missing"), "{shown}");
}

#[test]
fn a_chart_must_name_exactly_the_programs_states() {
    let text = VALID.replace("shut", "closed");
    let found = TypedChart::<Door, Push>::parse("door", &text).expect_err("findings");
    let shown = found.to_string();
    assert!(shown.contains("the program has no state `closed`"), "{shown}");
    assert!(shown.contains("the chart has no state `shut`"), "{shown}");
}
