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

/// Prints the runs and the days with a lower score than before, and writes tables and plots.
pub(crate) fn report(arguments: JournalArguments) -> Result<Exit> {
    if let Some(days) = &arguments.days {
        return print_kinds(days, &arguments.dir);
    }
    let options = JournalOptions {
        dir: arguments.dir,
        site: arguments.site.map(Into::into),
        out: arguments.out,
        ..JournalOptions::default()
    };
    let report = journal(&options)?;
    print_skipped(&report.skipped);
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

/// Prints the kinds of days in the day files, and those that occur only in runs of the journal.
fn print_kinds(days: &Path, journal_folder: &Path) -> Result<Exit> {
    let files = read_day_files(days)?;
    let (runs, skipped) = read(journal_folder)?;
    print_skipped(&files.skipped);
    print_skipped(&skipped);
    println!("{}", files.table());
    println!(
        "{} kinds. In days of the journal, but in no file: {}",
        files.counts.len(),
        files.missing(&runs).join(" ")
    );
    Ok(Exit::Ok)
}

fn print_skipped(skipped: &[SkippedFile]) {
    for SkippedFile { file, reason } in skipped {
        eprintln!("hemlockford: skipped {file}: {reason}");
    }
}
