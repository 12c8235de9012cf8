//! The command `journal`.

use {
    crate::{command::JournalArguments, exit::Exit},
    hemlockford_core::errors::Result,
    hemlockford_tools::{JournalOptions, journal, journal::table},
};

/// Prints the runs and the days whose score fell, and writes tables and plots.
pub(crate) fn report(arguments: JournalArguments) -> Result<Exit> {
    let options = JournalOptions {
        dir: arguments.dir,
        site: arguments.site.map(Into::into),
        out: arguments.out,
        ..JournalOptions::default()
    };
    let report = journal(&options)?;
    for skipped in &report.skipped {
        eprintln!("hemlockford: {} was left out: {}", skipped.file, skipped.reason);
    }
    println!("{}", table(&report.runs));
    println!("Days whose score fell by more than {} between the last two scored runs of clean commits:", options.noise);
    for comparison in &report.comparisons {
        println!("{comparison}");
    }
    if report.comparisons.is_empty() {
        println!("no site has two such runs");
    }
    Ok(Exit::from_success(!(arguments.fail_on_regression && report.has_regression())))
}
