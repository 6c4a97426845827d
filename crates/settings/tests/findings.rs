//! Every finding in a settings file is reported, with its position and what was expected.

use loftdrift_settings::{Overrides, Role, Settings};

fn findings(text: &str) -> Vec<(usize, usize, String, String)> {
    let findings = Settings::read("test.toml", text, None, &Overrides::default());
    let list = findings.expect_err("findings").list;
    let row = |finding: loftdrift_findings::Finding| {
        (finding.position.line, finding.position.column, finding.problem, finding.expected)
    };
    list.into_iter().map(row).collect()
}

fn has(found: &[(usize, usize, String, String)], line: usize, column: usize, problem: &str) {
    let listed = found.iter().any(|(at_line, at_column, text, expected)| {
        (*at_line, *at_column) == (line, column) && text.contains(problem) && !expected.is_empty()
    });
    assert!(listed, "no `{problem}` at {line}:{column} in {found:#?}");
}

#[test]
fn all_findings_in_a_file_are_reported_together() {
    let found = findings(
        "role = \"balancer\"\n\
         listen = \"127.0.0.1\"\n\
         metrics = 9100\n\
         platform = \"127.0.0.1:2379\"\n\
         zones = [\"east\"]\n\
         zone = \"west\"\n\
         drain_seconds = -1\n\
         colour = \"red\"\n",
    );
    has(&found, 2, 10, "`listen` is \"127.0.0.1\"");
    has(&found, 3, 11, "`metrics` is 9100, of type integer");
    has(&found, 6, 8, "unknown zone `west`");
    has(&found, 7, 17, "`drain_seconds` is -1");
    has(&found, 8, 1, "unknown setting `colour`");
    assert_eq!(found.len(), 5, "{found:#?}");
}

#[test]
fn a_duplicate_listener_and_zero_slots_are_reported() {
    let duplicate = findings(
        "role = \"agent\"\nlisten = \"127.0.0.1:5000\"\nmetrics = \"127.0.0.1:5000\"\n\
         backend = \"a\"\nfabric = \"127.0.0.1:1\"\nplatform = \"127.0.0.1:2\"\n",
    );
    has(&duplicate, 3, 1, "`metrics` listens on 127.0.0.1:5000, as `listen` does");
    let slots = findings(
        "role = \"backend\"\nlisten = \"127.0.0.1:5000\"\nservice = \"s\"\nname = \"a\"\nslots = 0\n",
    );
    has(&slots, 5, 9, "`slots` is 0");
}

#[test]
fn missing_settings_and_inner_tables_are_checked() {
    let found = findings(
        "role = \"fabric\"\nbalancers = [\"127.0.0.1:1\", 7]\n\
         [[listeners]]\nlisten = \"127.0.0.1:5000\"\nservise = \"10.0.0.1:80\"\n",
    );
    has(&found, 1, 1, "setting `listen` is missing");
    has(&found, 1, 1, "setting `service` is missing");
    has(&found, 2, 29, "`balancers` is 7");
    has(&found, 5, 1, "unknown setting `servise`");
}

#[test]
fn a_syntax_error_is_one_finding_at_its_position() {
    let found = findings("role = \"balancer\"\nlisten = = 3\n");
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].0, 2);
}

#[test]
fn a_wrong_role_and_an_unknown_role_are_reported() {
    let text = "role = \"agent\"\n";
    let findings = Settings::read("t", text, Some(Role::Balancer), &Overrides::default());
    let shown = findings.expect_err("findings").to_string();
    assert!(shown.contains("t:1:8: these settings are for role `agent`"), "{shown}");
    has(&self::findings("role = \"cook\"\n"), 1, 8, "unknown role `cook`");
}

#[test]
fn flags_override_the_file_and_are_checked_like_it() {
    let text = "role = \"balancer\"\nlisten = \"127.0.0.1:5000\"\nplatform = \"127.0.0.1:2\"\n";
    let mut overrides = Overrides::default();
    overrides.set("listen", "127.0.0.1:6000".to_owned());
    overrides.set("drain-seconds", "0.5".to_owned());
    let settings = Settings::read("t", text, None, &overrides).expect("invalid settings");
    let Settings::Balancer(balancer) = settings else { panic!("{settings:?}") };
    assert_eq!(balancer.listen.port(), 6000);
    assert_eq!(balancer.drain_duration.as_millis(), 500);
    overrides.set("listen", "nowhere".to_owned());
    overrides.set("colour", "red".to_owned());
    let shown = Settings::read("t", text, None, &overrides).expect_err("findings").to_string();
    assert!(shown.contains("flag `--listen nowhere`"), "{shown}");
    assert!(shown.contains("unknown flag `--colour`"), "{shown}");
}

#[test]
fn arbitrary_files_never_panic() {
    loftdrift_testkit::check_fixed_seeds(|input| {
        let role =
            input.choose(&["balancer", "agent", "fabric", "platform", "backend", "callers"])?;
        let words =
            ["listen", "=", "\"", "[", "]", "\n", "7", "zones", "1.5", "true", "slots", "[["];
        let mut text = format!("role = \"{role}\"\n");
        for _ in 0..input.int_in_range(0..=30)? {
            text.push_str(input.choose(&words)?);
        }
        let _ = Settings::read("t", &text, None, &Overrides::default());
        Ok(())
    });
}
