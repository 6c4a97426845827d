//! Command lines of the programs: help texts, exit codes, and error messages that name the file or
//! address and the setting or flag.

use std::net::UdpSocket;
use std::process::{Command, Output};

const LOFTDRIFT: &str = env!("CARGO_BIN_EXE_loftdrift");
const STANDIN: &str = env!("CARGO_BIN_EXE_loftdrift-standin");

fn run(program: &str, arguments: &[&str]) -> Output {
    Command::new(program)
        .args(arguments)
        .env("RUST_LOG", "off")
        .output()
        .expect("failed to start the program")
}

fn stderr_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn stdout_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn repository_file(path: &str) -> String {
    format!("{}/../../{path}", env!("CARGO_MANIFEST_DIR"))
}

#[test]
fn every_program_and_command_prints_help_and_every_program_its_version() {
    for program in [LOFTDRIFT, STANDIN] {
        assert!(stdout_text(&run(program, &["--version"])).contains(env!("CARGO_PKG_VERSION")));
        assert!(stdout_text(&run(program, &["--help"])).contains("usage:"));
        assert!(stdout_text(&run(program, &[])).contains("exit codes:"));
    }
    for command in ["balancer", "agent", "ctl", "check", "demo"] {
        let output = run(LOFTDRIFT, &[command, "--help"]);
        assert_eq!(output.status.code(), Some(0));
        assert!(stdout_text(&output).contains(command));
    }
}

#[test]
fn usage_errors_exit_with_2_and_name_the_problem() {
    for (arguments, expected) in [
        (vec!["dance"], "unknown command `dance`"),
        (vec!["balancer", "--listen"], "flag --listen has no value"),
        (vec!["balancer", "--listen", "x"], "flag `--listen x` is not understood"),
        (vec!["balancer"], "setting `platform` is missing"),
        (vec!["ctl", "show", "services"], "--platform"),
        (vec!["ctl", "--platform", "127.0.0.1:1"], "give --file SCRIPT or a statement"),
        (vec!["demo", "--format", "xml"], "expected table or json"),
        (vec!["demo", "--seconds", "1"], "--seconds must be at least"),
        (vec!["check"], "give at least one file"),
    ] {
        let output = run(LOFTDRIFT, &arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(stderr_text(&output).contains(expected), "{arguments:?}: {}", stderr_text(&output));
    }
}

#[test]
fn errors_for_an_unreadable_file_and_a_port_in_use_name_the_cause_and_the_setting() {
    let output = run(LOFTDRIFT, &["balancer", "--config", "/nowhere/b.toml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_text(&output).contains("--config"), "{}", stderr_text(&output));
    assert!(stderr_text(&output).contains("/nowhere/b.toml"), "{}", stderr_text(&output));
    let occupied = UdpSocket::bind("127.0.0.1:0").expect("failed to bind a socket");
    let address = occupied.local_addr().expect("socket has no address").to_string();
    let arguments = ["balancer", "--listen", &address, "--platform", "127.0.0.1:1"];
    let output = run(LOFTDRIFT, &arguments);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr_text(&output).contains("setting `listen`"), "{}", stderr_text(&output));
    assert!(stderr_text(&output).contains(&address), "{}", stderr_text(&output));
}

#[test]
fn every_example_and_chart_passes_the_check() {
    for folder in ["examples", "charts"] {
        let files = std::fs::read_dir(repository_file(folder)).expect("failed to read the folder");
        for file in files {
            let path = file.expect("failed to read the folder").path();
            let output = run(LOFTDRIFT, &["check", path.to_str().expect("path is not UTF-8")]);
            assert_eq!(output.status.code(), Some(0), "{}", stdout_text(&output));
        }
    }
}

#[test]
fn check_reports_all_findings_of_all_files() {
    let folder = std::env::temp_dir();
    let number = std::process::id();
    let settings = folder.join(format!("loftdrift-check-{number}.toml"));
    let script = folder.join(format!("loftdrift-check-{number}.commands"));
    std::fs::write(&settings, "role = \"agent\"\nlisten = 7\nslots = 0\n")
        .expect("failed to write the file");
    std::fs::write(&script, "show servces\n").expect("failed to write the file");
    let names =
        [&settings, &script].map(|path| path.to_str().expect("path is not UTF-8").to_owned());
    let output = run(LOFTDRIFT, &["check", &names[0], &names[1]]);
    std::fs::remove_file(&settings).expect("failed to remove the file");
    std::fs::remove_file(&script).expect("failed to remove the file");
    assert_eq!(output.status.code(), Some(1));
    let shown = stdout_text(&output);
    for expected in [":2:10: `listen` is 7", ":3:1: unknown setting `slots`", ":1:6: `servces`"] {
        assert!(shown.contains(expected), "no {expected} in {shown}");
    }
}

#[test]
fn the_guarantees_hold_in_the_demo_and_its_json_report_says_so() {
    let output = run(LOFTDRIFT, &["demo", "--seconds", "8", "--seed", "3", "--format", "json"]);
    let report: serde_json::Value =
        serde_json::from_str(&stdout_text(&output)).expect("output is not JSON");
    assert_eq!(output.status.code(), Some(0), "{report}");
    for zero in ["flows_broken", "doubled", "misdelivered", "opened_after_drain"] {
        assert_eq!(report[zero], 0, "{report}");
    }
    assert!(report["flows_opened"].as_u64() > Some(0), "{report}");
    assert_eq!(report["requests_sent"], report["answered_whole_once"], "{report}");
}
