//! Effects of statements on a configuration.

use loftdrift_configuration::{Configuration, EditError, apply, parse_script, set_start_times};
use std::time::Duration;

fn edit(configuration: &Configuration, script: &str) -> Configuration {
    let statements = parse_script("test", script).expect("invalid script");
    apply(configuration, &statements).expect("invalid change")
}

fn edit_errors(configuration: &Configuration, script: &str) -> Vec<EditError> {
    let statements = parse_script("test", script).expect("invalid script");
    let errors = apply(configuration, &statements).expect_err("a change that does not fit");
    errors.into_iter().map(|(_, error)| error).collect()
}

fn two_backends() -> Configuration {
    let script = "create service tiles at 10.20.0.1:80\n\
         attach backend a to tiles at 127.0.0.1:9001 agent 127.0.0.1:6001 state active\n\
         attach backend b to tiles at 127.0.0.1:9002 agent 127.0.0.1:6002 state active";
    edit(&Configuration::default(), script)
}

#[test]
fn one_script_makes_one_generation() {
    let before = two_backends();
    assert_eq!(before.services["tiles"].generations.len(), 1);
    let script = "attach backend c to tiles at 127.0.0.1:9003 agent 127.0.0.1:6003\n\
                  drain backend a";
    let after = edit(&before, script);
    assert_eq!(after.services["tiles"].generations.len(), 2);
    assert_eq!(after.version.revision, 2);
}

#[test]
fn a_change_that_alters_no_members_makes_no_generation() {
    let before = two_backends();
    let joined = edit(&before, "attach backend c to tiles at 127.0.0.1:9003 agent 127.0.0.1:6003");
    let activated = edit(&joined, "activate backend c");
    assert_eq!(activated.services["tiles"].generations.len(), 2);
}

#[test]
fn ids_are_never_reused() {
    let before = two_backends();
    let gone = edit(&edit(&before, "drain backend b"), "detach backend b");
    let again = edit(&gone, "attach backend b to tiles at 127.0.0.1:9002 agent 127.0.0.1:6002");
    let old = before.services["tiles"].backends["b"].id;
    assert_ne!(again.services["tiles"].backends["b"].id, old);
}

#[test]
fn a_script_with_invalid_statements_changes_nothing_and_reports_all_of_them() {
    let script = "create service tiles at 10.20.0.9:80\n\
                  create service other at 10.20.0.1:80\n\
                  drain backend nobody\n\
                  detach backend a\n\
                  attach backend c to tiles at 127.0.0.1:9003 agent 127.0.0.1:6001";
    let found = edit_errors(&two_backends(), script);
    assert!(matches!(&found[0], EditError::ServiceExists(name) if name == "tiles"));
    assert!(matches!(&found[1], EditError::AddressInUse(name) if name == "tiles"));
    assert!(matches!(&found[2], EditError::UnknownBackend(name) if name == "nobody"));
    assert!(matches!(&found[3], EditError::NotAllowed { state: "active", .. }));
    assert!(matches!(&found[4], EditError::AgentInUse(name) if name == "a"));
    assert_eq!(found.len(), 5);
}

#[test]
fn a_misspelt_statement_is_reported_with_its_position_and_what_was_expected() {
    let findings = parse_script("test", "show services\ndrain bakend a").expect_err("a finding");
    assert_eq!((findings.list[0].position.line, findings.list[0].position.column), (2, 7));
    assert_eq!(findings.list[0].expected, "backend");
}

#[test]
fn a_shift_moves_the_share_over_time_and_the_next_one_starts_at_the_share_reached() {
    let run = |configuration: &Configuration, script: &str, unix_seconds: u64| {
        let mut statements = parse_script("test", script).expect("invalid script");
        set_start_times(&mut statements, unix_seconds);
        apply(configuration, &statements).expect("invalid change")
    };
    let share = |configuration: &Configuration, unix_seconds: u64| {
        let shift = configuration.services["tiles"].shift.expect("no shift");
        shift.right_permille(Duration::from_secs(unix_seconds))
    };
    let first = run(&two_backends(), "shift tiles to site right 50% over 10m", 1_000);
    let shares: Vec<u16> = [900, 1_000, 1_300, 1_600, 9_999].map(|at| share(&first, at)).into();
    assert_eq!(shares, [0, 0, 250, 500, 500]);
    let back = run(&first, "shift tiles to site left 100% over 100s", 1_300);
    assert_eq!([1_300, 1_350, 1_400].map(|at| share(&back, at)), [250, 125, 0]);
    let refused = edit_errors(&two_backends(), "shift nobody to site right 1%");
    assert!(matches!(&refused[0], EditError::UnknownService(name) if name == "nobody"));
}

#[test]
fn shares_and_durations_out_of_range_are_reported() {
    let script = "shift tiles to site right 101%\nshift tiles to site left 5% over 721h";
    let findings = parse_script("test", script).expect_err("findings");
    assert_eq!(findings.list.len(), 2, "{findings}");
    assert_eq!((findings.list[1].position.line, findings.list[1].position.column), (2, 34));
}
