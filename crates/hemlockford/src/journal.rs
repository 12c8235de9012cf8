//! The command `journal`.

use {
    crate::{command::JournalArguments, exit::Exit},
    hemlockford_core::errors::Result,
    hemlockford_tools::{
        JournalOptions, journal,
        journal::{SkippedFile, read, read_day_files, table},
    },
    std::path::Path,
};

/// Prints the runs and the days whose score fell, and writes tables and plots.
pub(crate) fn report(arguments: JournalArguments) -> Result<Exit> {
    if let Some(days) = &arguments.days {
        return count_kinds(days, &arguments.dir);
    }
    let options = JournalOptions {
        dir: arguments.dir,
        site: arguments.site.map(Into::into),
        out: arguments.out,
        ..JournalOptions::default()
    };
    let report = journal(&options)?;
    name_skipped(&report.skipped);
    println!("{}", table(&report.runs));
    println!("Days whose score fell by more than {} between the last two scored runs of clean commits:", options.noise);
    for comparison in &report.comparisons {
        println!("{comparison}");
    }
    for site in report.not_compared() {
        println!("{site}: not compared, fewer than two such runs");
    }
    Ok(Exit::from_success(!(arguments.fail_on_regression && report.has_regression())))
}

/// Prints the kinds of the day files, and those that the runs of the journal had beyond them.
fn count_kinds(days: &Path, journal: &Path) -> Result<Exit> {
    let files = read_day_files(days)?;
    let (runs, skipped) = read(journal)?;
    name_skipped(&files.skipped);
    name_skipped(&skipped);
    println!("{}", files.table());
    println!(
        "{} kinds. In days of the journal, but in no file: {}",
        files.counts.len(),
        files.missing(&runs).join(" ")
    );
    Ok(Exit::Ok)
}

fn name_skipped(skipped: &[SkippedFile]) {
    for SkippedFile { file, reason } in skipped {
        eprintln!("hemlockford: {file} was left out: {reason}");
    }
}
