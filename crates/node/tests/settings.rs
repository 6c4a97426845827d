//! A settings file is read completely, or every finding is reported with its line and column.

use loftdrift_node::{NodeSettings, RoleSettings};
use loftdrift_settings::Overrides;

const BALANCER: &str = r#"role = "carried-balancer"
name = "front-1"
zone = "a"
region = "r"
messages = "10.1.0.1:7720"
ingress = "10.1.0.1:8172"
readiness = "10.1.0.1:8167"
store = "10.200.1.7:8169"
seeds = ["10.2.0.1:8166", "10.3.0.1:8166"]
"#;

const AGENT: &str = r#"role = "carried-agent"
name = "side-1"
zone = "a"
region = "r"
messages = "10.1.0.3:7720"
outbound = "10.1.0.3:8162"
control = "10.1.0.3:8166"
caller_port_of = "10.1.0.3:8172"
backend = "10.1.0.3:8165"
service = "tiles"
store = "10.200.1.7:8169"
first_start = true
"#;

fn read(text: &str) -> Result<NodeSettings, String> {
    let settings = NodeSettings::read("node.toml", text, &Overrides::default(), 7);
    settings.map_err(|findings| findings.to_string())
}

#[test]
fn complete_files_are_read_and_seeds_use_the_port_for_messages() {
    let balancer = read(BALANCER).unwrap();
    let seeds: Vec<String> = balancer.seeds.iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.2.0.1:7720", "10.3.0.1:7720"]);
    assert!(!balancer.is_first_start);
    let agent = read(AGENT).unwrap();
    assert!(agent.is_first_start);
    let RoleSettings::Agent(settings) = agent.role_settings else { panic!("no agent") };
    assert_eq!(settings.caller_port, 8_172);
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let text = BALANCER
        .replace("\"10.1.0.1:8172\"", "\"nowhere\"")
        .replace("zone = \"a\"\n", "")
        .replace("readiness", "readines");
    let findings = read(&text).unwrap_err();
    let expected = [
        "node.toml:1:1: setting `zone` is missing",
        "node.toml:5:11: `ingress` is \"nowhere\"",
        "node.toml:6:1: unknown setting `readines`",
    ];
    for finding in expected {
        assert!(findings.contains(finding), "{finding} in\n{findings}");
    }
}

#[test]
fn two_listeners_on_one_address_and_unknown_roles_are_reported() {
    let twice = BALANCER.replace("10.1.0.1:8167", "10.1.0.1:8172");
    assert!(read(&twice).unwrap_err().contains("as `readiness` does"));
    let unknown = BALANCER.replace("carried-balancer", "juggler");
    assert!(read(&unknown).unwrap_err().contains("unknown role `juggler`"));
    assert!(read("role = ").unwrap_err().contains("node.toml:1:"));
    assert!(read("").unwrap_err().contains("`role` is missing"));
}

#[test]
fn policies_are_on_unless_listed_in_policies_off() {
    use loftdrift_carried::Policy;
    let all = read(BALANCER).unwrap().policies;
    assert!(Policy::ALL.into_iter().all(|policy| all.is_enabled(policy)));
    let text = format!("{BALANCER}policies_off = [\"own-zone\", \"fence\"]\n");
    let some = read(&text).unwrap().policies;
    for policy in Policy::ALL {
        assert_eq!(some.is_enabled(policy), !["own-zone", "fence"].contains(&policy.name()));
    }
    let text = format!("{BALANCER}policies_off = [\"own-zones\"]\n");
    let findings = read(&text).unwrap_err();
    assert!(findings.contains("own-zones") && findings.contains("own-zone,"), "{findings}");
}
