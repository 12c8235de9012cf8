//! Stand-ins and drivers of the cases `review/6` and on, with the standard library only.
//!
//! `drill CASE FOLDER` starts the project's program with the commands of `deploy/system.toml` as separate processes on
//! loopback addresses, plays one case, and writes `record.txt` in the folder. It exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case could not run. With `TROUBLE=0` it leaves the disruption out.

mod backend;
mod cases;
mod fleet;
mod http;
mod record;

use std::{env, path::PathBuf, process::exit, thread, time::Duration};

/// Longest time of a case.
const MAX_CASE: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: drill CASE FOLDER");
        exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(MAX_CASE);
        eprintln!("the case took too long");
        fleet::end_all();
        exit(2);
    });
    let record = record::Record::create(&PathBuf::from(folder));
    let result = match case.as_str() {
        "last-tenant" => cases::last_tenant(&record, has_trouble),
        "other-writer" => cases::other_writer(&record, has_trouble),
        "stale-relay" => cases::stale_relay(&record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    };
    fleet::end_all();
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(reason) => {
            record.line(&format!("the case could not run: {reason}"));
            2
        }
    };
    record.line(&format!("exit code {code}"));
    exit(code);
}
