//! Tests of the output of scaling measurements.

use {
    hemlockford_tools::{SlopesOptions, slopes, slopes::EntryRun},
    std::fs,
};

/// Guards against a table whose columns do not match its header, and against a plot without its lines.
#[test]
fn a_slope_is_written_as_table_and_plot() {
    let folder = std::env::temp_dir().join(format!("hemlockford-slopes-{}", std::process::id()));
    let runs = [(250.0, 40.0), (1_000.0, 90.0), (4_000.0, 240.0), (8_000.0, 400.0)];
    let entry = runs.map(|(rate, processor_ms)| EntryRun { rate, processor_ms, resident_kb: 9_000.0 }).to_vec();
    let only = vec!["datagram".into()];
    let measured = slopes(&SlopesOptions { out: folder.clone(), only, entry }).unwrap();
    let names: Vec<_> = measured.iter().map(|slope| slope.name).collect();
    assert_eq!(names, ["datagram", "entry"]);
    for slope in &measured {
        assert!(slope.rows.len() >= 4, "{} has too few points", slope.name);
        let csv = fs::read_to_string(folder.join(format!("{}.csv", slope.name))).unwrap();
        let columns: Vec<_> = csv.lines().map(|line| line.split(',').count()).collect();
        assert!(columns.iter().all(|count| *count == slope.quantities.len() + 2), "{csv}");
        let svg = fs::read_to_string(folder.join(format!("{}.svg", slope.name))).unwrap();
        assert!(svg.contains(slope.title) && slope.quantities.iter().all(|measure| svg.contains(measure)), "{svg}");
        assert!(slope.lines().iter().all(|line| svg.contains(line)), "a line has no label in the plot");
    }
    fs::remove_dir_all(folder).unwrap();
}

/// Guards against a misspelt name that silently measures nothing.
#[test]
fn an_unknown_slope_is_rejected() {
    let options = SlopesOptions { out: std::env::temp_dir(), only: vec!["chioce".into()], entry: Vec::new() };
    assert!(slopes(&options).is_err());
}
