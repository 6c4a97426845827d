//! Rendering of counters and histograms as a page of metrics.

use loftdrift_counters::{Histogram, PublishedSet, Sample, SampleKind, render};
use std::time::Duration;

#[test]
fn histograms_and_counters_are_rendered_under_their_roles_name() {
    let answer = Histogram::seconds("answer_seconds", "Time of an answer.");
    let offers = Histogram::counts("offers", "Offers.");
    let sample = Sample { name: "asked", help: "Asked.", kind: SampleKind::Counter, value: 7 };
    let set = PublishedSet {
        role: "agent",
        samples: vec![sample],
        histograms: vec![answer.clone(), offers.clone()],
    };
    answer.observe(Duration::from_millis(3));
    answer.observe(Duration::from_secs(60));
    offers.observe_count(2);
    let page = render(&[set]);
    for line in [
        "loftdrift_agent_asked_total 7",
        "loftdrift_agent_answer_seconds_bucket{le=\"0.002\"} 0",
        "loftdrift_agent_answer_seconds_bucket{le=\"0.004\"} 1",
        "loftdrift_agent_answer_seconds_bucket{le=\"+Inf\"} 2",
        "loftdrift_agent_answer_seconds_count 2",
        "loftdrift_agent_offers_bucket{le=\"1.0\"} 0",
        "loftdrift_agent_offers_bucket{le=\"2.0\"} 1",
    ] {
        assert!(page.lines().any(|found| found == line), "{line}\n{page}");
    }
}

/// When histograms came first, a monitoring system that kept only the first 4 KiB of each page
/// recorded nothing else: neither the configuration version in force nor the counters of what was
/// skipped could be determined afterwards.
#[test]
fn a_page_begins_with_gauges_and_ends_with_histograms() {
    let sample = |name, kind| Sample { name, help: "Some.", kind, value: 3 };
    let set = |role| PublishedSet {
        role,
        samples: vec![sample("asked", SampleKind::Counter), sample("version", SampleKind::Gauge)],
        histograms: vec![Histogram::counts("offers", "Offers.")],
    };
    let page = render(&[set("agent"), set("store")]);
    let offset = |line: &str| page.find(line).unwrap_or_else(|| panic!("{line}\n{page}"));
    assert!(offset("loftdrift_store_version 3") < offset("loftdrift_agent_asked_total 3"));
    assert!(offset("loftdrift_store_asked_total 3") < offset("loftdrift_agent_offers_bucket"));
    assert!(page.ends_with("# EOF\n"), "{page}");
}
