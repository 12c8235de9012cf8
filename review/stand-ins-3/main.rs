//! Cases of the third review that are scripts. Usage: `cases CASE RECORD`. Ends with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run.

mod first_start;
mod foreign_beat;
mod harness;
mod late_end;
mod saved_error;

use harness::Record;
use std::{env, path::Path, process::exit, time::Duration};

/// Result of a case: whether the rule was broken, or why the case could not run.
pub type Outcome = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: cases CASE RECORD");
        exit(2);
    };
    harness::guard(Duration::from_secs(110));
    let record = Record::create(Path::new(path));
    let outcome = match case.as_str() {
        "first-start" => first_start::run(&record),
        "foreign-beat" => foreign_beat::run(&record),
        "late-end" => late_end::run(&record),
        "saved-error" => saved_error::run(&record),
        _ => Err(format!("there is no case {case}")),
    };
    match &outcome {
        Ok(true) => record.line("result: the rule was broken"),
        Ok(false) => record.line("result: the rule held"),
        Err(reason) => record.line(format!("result: the case could not run: {reason}")),
    }
    println!("{case}: {outcome:?}");
    exit(match outcome {
        Ok(broken) => i32::from(broken),
        Err(_) => 2,
    });
}
