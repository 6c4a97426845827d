//! Runs one case of the review: `standin CASE ROOT FOLDER`, with the project at ROOT. The record is
//! written to FOLDER. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod backend;
mod caller;
mod drain;
mod first;
mod former;
mod http;
mod joins;
mod json;
mod ledger;
mod nodes;
mod packet;
mod record;
mod store;
mod twice;
mod world;

use record::Record;
use std::path::PathBuf;
use std::process::ExitCode;
use world::CannotRun;

/// Whether the rule held.
pub enum Verdict {
    Held,
    Broken,
}

/// What a case needs to run.
pub struct Run {
    pub root: PathBuf,
    /// A temporary folder for settings and logs.
    pub scratch: PathBuf,
    pub record: Record,
    /// Whether the disruption is made.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE ROOT FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let scratch = std::env::temp_dir().join(format!("loftdrift-review-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("no temporary folder");
    let run = Run {
        root: PathBuf::from(root),
        scratch: scratch.clone(),
        record: record.clone(),
        trouble,
    };
    record.say(&format!("case {case}, trouble: {trouble}"));
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "drain" => drain::play(run),
        "joins" => joins::play(run),
        "first" => first::play(run),
        "former" => former::play(run),
        "twice" => twice::play(run),
        _ => Err(CannotRun(format!("no case `{case}`"))),
    });
    let _ = std::fs::remove_dir_all(&scratch);
    let (text, code) = match played {
        Ok(Ok(Verdict::Held)) => ("the rule held".to_owned(), 0),
        Ok(Ok(Verdict::Broken)) => ("the rule was broken".to_owned(), 1),
        Ok(Err(CannotRun(reason))) => (format!("the case could not run: {reason}"), 2),
        Err(_) => ("the case could not run: a stand-in failed".to_owned(), 2),
    };
    record.say(&text);
    record.flush();
    ExitCode::from(code)
}
