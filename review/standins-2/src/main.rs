//! Scripts of the review: each case starts the processes under test, brings one disruption about and checks one rule.
//!
//! Exit code 0: the rule held. 1: it was broken. 2: the case couldn't run.

mod caller;
mod cases;
mod engine;
mod fleet;
mod http;
mod plain;
mod platform;
mod record;

use std::{path::PathBuf, process::ExitCode, time::Duration};

use record::Record;

/// The outcome of a case.
pub enum Verdict {
    Held,
    Broken(String),
    CannotRun(String),
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    fleet::watch_time();
    record.line(format!("case {case}, trouble: {has_trouble}"));
    let run = cases::run(&case, &record, has_trouble);
    let verdict = match tokio::time::timeout(Duration::from_secs(105), run).await {
        Ok(verdict) => verdict,
        Err(_) => Verdict::CannotRun("the case took too long".into()),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(what) => {
            record.say(format!("broken: {what}"));
            ExitCode::from(1)
        }
        Verdict::CannotRun(why) => {
            record.say(format!("cannot run: {why}"));
            ExitCode::from(2)
        }
    }
}
