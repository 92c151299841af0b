//! Stand-ins for the cases of the second review: clients, replicas and the platform of a small deployment.
//!
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod fleet;
mod http;
mod record;
mod replica;
mod slashes;
mod upgrade;

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    path::Path,
    process::exit,
    sync::Arc,
};

use record::Record;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &args[..] else {
        eprintln!("usage: upgrades CASE ROOT RECORD");
        exit(2);
    };
    let record = Arc::new(Record::create(Path::new(record)));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let root = Path::new(root);
    let run = match &**case {
        "upgrade" => upgrade::run,
        "slashes" => slashes::run,
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    // A panic ends the processes, and the case couldn't run.
    let run = AssertUnwindSafe(|| run(root, Arc::clone(&record), has_trouble));
    let Ok(is_broken) = catch_unwind(run) else { exit(2) };
    let verdict = if is_broken { "the rule was broken" } else { "the rule held" };
    record.line(verdict);
    println!("{verdict}");
    exit(i32::from(is_broken));
}
