//! The scenarios of the repository reach their expected results on a few fixed seeds.

use loftdrift_lab::{Plan, Policy, Scenario, compare, explore, run};

/// Takes too long for a test; `docs/RESULTS.md` has the command that runs it.
const LARGE: &str = "size.toml";
const EXPLORED_SEEDS: u64 = 60;
const PLANNED: [&str; 4] = ["rolling-balancers", "drain-all", "migration", "flapping"];

fn read(name: &str) -> Scenario {
    let path = format!("{}/../../scenarios/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(&path).expect("failed to read the file");
    Scenario::parse(name, &text).expect("invalid scenario")
}

#[test]
fn every_scenario_is_unchanged_after_writing_and_parsing() {
    let folder = format!("{}/../../scenarios", env!("CARGO_MANIFEST_DIR"));
    for file in std::fs::read_dir(folder).expect("failed to read the folder") {
        let name = file
            .expect("failed to read the folder")
            .file_name()
            .into_string()
            .expect("file name is not UTF-8");
        let scenario = read(&name);
        assert_eq!(
            Scenario::parse(&name, &scenario.to_toml()).expect("invalid scenario"),
            scenario
        );
    }
}

#[test]
fn every_scenario_reaches_its_expected_results() {
    let folder = format!("{}/../../scenarios", env!("CARGO_MANIFEST_DIR"));
    for file in std::fs::read_dir(folder).expect("failed to read the folder") {
        let name = file
            .expect("failed to read the folder")
            .file_name()
            .into_string()
            .expect("file name is not UTF-8");
        if name == LARGE {
            continue;
        }
        let scenario = read(&name);
        let report = run(&Plan::new(&scenario, 1)).expect("run failed").report;
        assert_eq!(report.missed_expectations(&scenario.expect), Vec::<String>::new(), "{name}");
        assert!(report.flows_opened > 0 && report.answered_whole > 0, "{name}: {report:?}");
    }
}

#[test]
fn planned_changes_break_no_flow() {
    for name in PLANNED {
        let report = run(&Plan::new(&read(&format!("{name}.toml")), 2)).expect("run failed").report;
        assert_eq!(report.flows_broken, 0, "{name}: {report:?}");
        assert_eq!(report.answered_whole, report.requests_sent, "{name}: {report:?}");
    }
}

#[test]
fn a_missed_expectation_is_reported() {
    let mut scenario = read("small-pools.toml");
    scenario.expect.imbalance = Some(1.0);
    scenario.expect.extra_hops = Some(0.0);
    let report = run(&Plan::new(&scenario, 1)).expect("run failed").report;
    let missed = report.missed_expectations(&scenario.expect);
    assert_eq!(missed.len(), 3, "{missed:?}");
    assert!(missed[0].contains("imbalance of manifests"), "{missed:?}");
    assert!(missed[2].contains("extra hops"), "{missed:?}");
}

#[test]
fn random_timelines_violate_no_invariant() {
    let base = read("explore.toml");
    for seed in 1..=EXPLORED_SEEDS {
        let failure = explore(&base, seed).expect("invalid timeline");
        assert!(failure.is_none(), "seed {seed}: {failure:?}");
    }
}

/// Without flow cookies, and with agents that reset unknown flows at once, exploration must find
/// broken flows.
#[test]
fn exploration_finds_flows_broken_without_cookies_and_shrinks_the_timeline() {
    const MAX_SEEDS: u64 = 150;
    let mut base = read("explore.toml");
    base.cookies = false;
    base.unknown_grace = std::time::Duration::ZERO;
    for service in &mut base.services {
        service.timestamps = 0.0;
        service.flows_per_second = 6.0;
    }
    let find = |seed| explore(&base, seed).expect("invalid timeline");
    let failure = (1..=MAX_SEEDS).find_map(find).expect("no timeline violated an invariant");
    let before = failure.scenario.events.len();
    let smallest = loftdrift_lab::shrink(failure);
    assert!(smallest.scenario.events.len() <= before);
    let again = run(&Plan::new(&smallest.scenario, smallest.seed)).expect("run failed").report;
    assert!(!again.violated_invariants().is_empty());
}

#[test]
fn baselines_break_flows_where_loftdrift_breaks_none() {
    let policies = [Policy::Loftdrift, Policy::HashModulo, Policy::Maglev, Policy::AllKnowing];
    let compared = compare(&read("drain-all.toml"), 1, &policies).expect("comparison failed");
    let [ours, modulo, maglev, bound] = compared.as_slice() else { panic!("{compared:?}") };
    assert_eq!(ours.broken, 0);
    assert!(modulo.broken > 0 && maglev.broken > 0, "{compared:?}");
    assert!(ours.imbalance[0] < maglev.imbalance[0], "{compared:?}");
    assert!(bound.imbalance[0] <= ours.imbalance[0], "{compared:?}");
}

#[test]
fn all_findings_on_a_scenario_come_together() {
    let text = "name = \"x\"\nseconds = \"long\"\ncolour = 1\n\
        [[services]]\nname = \"s\"\nbackends = 0\n\
        [[events]]\nat = 1\naction = \"dance\"\n";
    let shown = Scenario::parse("s.toml", text).expect_err("findings").to_string();
    for expected in [
        "s.toml:2:11: `seconds` is \"long\"",
        "s.toml:3:1: unknown setting `colour`",
        "s.toml:6:12: `backends` is 0",
        "unknown action `dance`; expected stop-balancer",
    ] {
        assert!(shown.contains(expected), "no {expected} in {shown}");
    }
}
