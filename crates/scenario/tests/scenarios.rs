//! Runs every script of tests/scenarios.

use {
    hemlockford_scenario::script,
    std::{fs, path::Path},
};

fn run(path: &Path) -> datatest_stable::Result<()> {
    let source = fs::read_to_string(path)?;
    script::run(&source).map_err(|e| format!("{}: {e}", path.display()).into())
}

datatest_stable::harness! { { test = run, root = "tests/scenarios", pattern = r"\.scn$" } }
