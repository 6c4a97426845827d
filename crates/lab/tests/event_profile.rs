//! Counts events in the logs of nodes.

use loftdrift_lab::EventProfile;

fn line(at: &str, event: &str, rest: &str) -> String {
    format!("steady_ms=1 time=2026-03-12T18:29:{at}Z level=info node=n role=r event={event}{rest}")
}

fn logs() -> Vec<String> {
    let one = [
        line("09.750", "opening_placed", ""),
        line("09.810", "opening_refused", " reason=busy"),
        line("09.940", "opening_refused", " reason=no_route"),
        "no line of a node".to_owned(),
    ];
    let other = [
        line("09.790", "opening_placed", ""),
        line("10.049", "opening_refused", " reason=busy"),
        line("10.049", "opening_placed", ""),
    ];
    vec![one.join("\n"), other.join("\n")]
}

#[test]
fn events_are_counted_by_step_and_reason_over_all_logs() {
    let profile = EventProfile::from_logs(&logs(), 100);
    assert_eq!(
        profile.table(3, 0.0, 10.0),
        "seconds,opening_placed,opening_refused:busy,opening_refused:no_route\n\
         0.00,2,1,0\n0.10,0,0,1\n0.20,1,1,0\n"
    );
    assert_eq!(profile.series("opening_placed"), [(0.0, 2), (0.1, 0), (0.2, 1)]);
}

#[test]
fn kinds_are_ordered_by_frequency_and_a_table_is_limited_to_its_range() {
    let profile = EventProfile::from_logs(&logs(), 100);
    assert_eq!(profile.kinds(2), [("opening_placed", 3), ("opening_refused:busy", 2)]);
    assert_eq!(profile.table(1, 0.1, 0.2), "seconds,opening_placed\n0.10,0\n");
}

#[test]
fn logs_without_lines_give_an_empty_profile() {
    let profile = EventProfile::from_logs(&["nothing".to_owned()], 0);
    assert_eq!(profile.table(5, 0.0, 10.0), "seconds,\n");
}
