//! Tests of the evaluation of a test bench journal.

use {
    hemlockford_tools::{
        JournalOptions, JournalReport, journal,
        journal::{Run, broken_rules, compare, distances, read, read_day_files},
    },
    std::{fs, path::Path},
};

const NOISE: f64 = 0.03;

/// Returns a day with a worth of 0.28 × 0.9 + 0.72 × 0.5 − 0.25 = 0.362.
fn day(name: &str, score: f64, rules: &str) -> String {
    let gate = rules.is_empty();
    format!(
        r#"{{"name": "{name}", "score": {score}, "G": 0.362, "naive": 0.2, "top": 0.6, "gate": {gate},
        "rules": {{{rules}}}, "troubles": ["srv_slow"], "seed": null, "new field": [{{}}],
        "parts": [["whole day", 0.28, 0.9], ["worst windows", 0.72, 0.5, "more"]],
        "prices": [["memory, GB x seconds", 3, 0.25], ["cloud calls", 0.0, -0.0]]}}"#
    )
}

fn run(at: &str, cmd: &str, site: &str, more: &str, days: &[String]) -> String {
    let (score, days) = (if cmd == "run" { "null" } else { "0.5" }, days.join(","));
    format!(
        r#"{{"v": 9, "at": ["2026-01-01T00:{at}Z", null], "cmd": "{cmd}", "site": "{site}", "head": "0123456789{at}",
        "score": {score}, "figures": null, "why": null{more}, "days": [{days}]}}"#
    )
    .replace(", null]", "]")
}

fn parse(texts: &[String]) -> Vec<Run> {
    texts.iter().map(|text| Run::parse("sample", text).expect("a run")).collect()
}

fn report(folder: &Path, files: &[(&str, String)], site: Option<&str>) -> JournalReport {
    for (name, text) in files {
        fs::write(folder.join(name), text).expect("a file");
    }
    let options = JournalOptions {
        dir: folder.into(),
        out: folder.join("out"),
        site: site.map(Into::into),
        ..JournalOptions::default()
    };
    journal(&options).expect("a report")
}

/// Guards against one corrupt file hiding the others, and against sorting runs by file name.
#[test]
fn unreadable_files_are_reported() {
    let folder = tempfile::tempdir().expect("a folder");
    fs::create_dir(folder.path().join("folder.json")).expect("a folder");
    fs::write(folder.path().join("letters.json"), [0xff, 0xfe]).expect("a file");
    let files = [
        ("1-late.json", run("09:00", "score", "north", "", &[])),
        ("2-early.json", run("08:00", "hunt", "north", "", &[])),
        ("cut.json", run("07:00", "score", "north", "", &[])[..60].into()),
        ("price.json", run("07:00", "score", "north", "", &[day("a", 1.0, "").replace("0.25]", "\"x\"]")])),
        ("list.json", "[]".into()),
        ("start.json", r#"{"at": [], "cmd": "run"}"#.into()),
        ("notes.txt", "not a run".into()),
    ];
    let report = report(folder.path(), &files, None);
    let read: Vec<_> = report.runs.iter().map(|run| &*run.file).collect();
    assert_eq!(read, ["2-early.json", "1-late.json"]);
    let skipped: Vec<_> = report.skipped.iter().map(|skipped| &*skipped.file).collect();
    assert_eq!(skipped, ["cut.json", "folder.json", "letters.json", "list.json", "price.json", "start.json"]);
    assert!(report.skipped.iter().all(|skipped| !skipped.reason.is_empty()), "{:?}", report.skipped);
}

/// Guards against columns shifted by a comma in a name, generated days among the standard ones, runs without a score
/// among the scored ones, and plots without a site, a day or a failed gate.
#[test]
fn tables_and_plots_contain_every_scored_run() {
    let folder = tempfile::tempdir().expect("a folder");
    let days = [day("quiet-1", 0.9, ""), day("trouble-1", 0.0, r#""CONFIG": 1"#), day("fresh-12ab", 1.0, "")];
    let files = [
        ("1.json", run("01:00", "score", "north", "", &days)),
        ("2.json", run("02:00", "score", "south", "", &days[..1])),
        ("3.json", run("03:00", "run", "north", "", &days)),
    ];
    let report = report(folder.path(), &files, None);
    assert_eq!((report.runs.len(), report.skipped.len()), (3, 0));
    let file = |name: &str| fs::read_to_string(folder.path().join("out").join(name)).expect("a file");
    for (name, rows) in [("scores", 2), ("days", 3), ("rules", 2), ("prices", 12)] {
        let mut reader =
            csv::Reader::from_path(folder.path().join(format!("out/journal-{name}.csv"))).expect("a table");
        let read: Vec<_> = reader.records().map(|row| row.expect("a row with as many columns as the header")).collect();
        assert_eq!(read.len(), rows, "{name}: {read:?}");
    }
    assert!(file("journal-scores.csv").contains(",north,0123456,false,0.5,failed,1,3,1.json\n"));
    assert!(!file("journal-days.csv").contains("fresh"));
    let plots = ["scores", "days", "prices"].map(|name| file(&format!("journal-{name}.svg")));
    assert!(plots.iter().all(|svg| svg.contains("north") && svg.contains("south")));
    assert!(plots[1..].iter().all(|svg| svg.contains("quiet-1") && svg.contains("trouble-1")));
    assert!(plots[2].contains("worst windows") && plots[2].contains("memory, GB x seconds"));
    // A cross consists of two lines of this width and colour, which differ from the lines of the axes.
    let crosses = |svg: &str| svg.matches(r##"stroke="#000000" stroke-width="2""##).count();
    let passed = [("1.json", run("01:00", "score", "north", "", &[day("quiet-1", 0.9, "")]))];
    let other = tempfile::tempdir().expect("a folder");
    self::report(other.path(), &passed, None);
    let without = fs::read_to_string(other.path().join("out/journal-scores.svg")).expect("a plot");
    assert_eq!((crosses(&plots[0]), crosses(&without)), (2, 0));
}

/// Guards against a report on one site that contains another, and against a failure without any run.
#[test]
fn a_report_can_be_limited_to_one_site() {
    let folder = tempfile::tempdir().expect("a folder");
    let files = ["north", "south"].map(|site| run("01:00", "score", site, "", &[day("quiet-1", 0.9, "")]));
    let [north, south] = files;
    let found = report(folder.path(), &[("1.json", north), ("2.json", south)], Some("south"));
    assert_eq!((found.runs.len(), found.not_compared()), (1, vec!["south"]));
    let plot = fs::read_to_string(folder.path().join("out/journal-days.svg")).expect("a plot");
    assert!(plot.contains("south") && !plot.contains("north"));
    assert!(report(folder.path(), &[], Some("west")).runs.is_empty());
}

/// Guards against reporting a regression because of noise, other sites, uncommitted changes, hunts or generated days,
/// and against missing a decrease just above the noise.
#[test]
fn only_the_last_two_clean_scored_runs_are_compared() {
    let days = |scores: [f64; 3]| {
        ["within", "above", "fresh-1"].iter().zip(scores).map(|(name, score)| day(name, score, "")).collect::<Vec<_>>()
    };
    let score = |at: &str, more: &str, scores| run(at, "score", "north", more, &days(scores));
    let runs = parse(&[
        score("01:00", "", [1.0, 1.0, 1.0]),
        score("02:00", "", [0.88, 0.8801, 0.9]),
        score("03:00", r#", "dirty": true"#, [0.1, 0.1, 0.1]),
        run("04:00", "hunt", "north", "", &days([0.2, 0.2, 0.2])),
        score("05:00", "", [0.85, 0.85, 0.9]),
        run("06:00", "score", "south", "", &days([0.2, 0.2, 0.2])),
    ]);
    let comparisons = compare(&runs, NOISE);
    assert_eq!(comparisons.len(), 1, "a site with a single run must not be compared");
    let regressions: Vec<_> = comparisons[0].regressions.iter().map(|regression| &*regression.day).collect();
    assert_eq!(regressions, ["above"]);
    assert_eq!(&*comparisons[0].before.1, "2026-01-01T00:02:00Z");
    assert_eq!(
        comparisons[0].regressions[0].spread, None,
        "runs of different commits must not contribute to the spread"
    );
    assert!(comparisons[0].to_string().contains("0.8801 to 0.8500 (-0.0301)"), "{}", comparisons[0]);
}

/// Guards against a spread that misses a commit with several runs, or that mixes commits, sites or runs with
/// uncommitted changes.
#[test]
fn a_regression_includes_the_spread_of_its_day() {
    let scored = |site: &str, commit: u32, dirty: bool, score: f64| {
        let more = format!(r#", "dirty": {dirty}"#);
        run("01:00", "score", site, &more, &[day("quiet-1", score, "")]).replace("012345678901:00", &commit.to_string())
    };
    let runs = parse(&[
        scored("north", 1, false, 0.7),
        scored("north", 1, false, 0.9),
        scored("north", 1, false, 0.8),
        scored("north", 2, false, 0.3),
        scored("north", 1, true, 0.1),
        scored("south", 1, false, 0.1),
        scored("north", 3, false, 0.25),
        scored("north", 3, false, 0.2),
    ]);
    let spread = compare(&runs, NOISE)[0].regressions[0].spread.expect("a spread");
    assert!((spread - 0.2).abs() < 1e-9, "{spread}");
}

/// Guards against counting a broken rule for another site or command, and against a wrong first or last run.
#[test]
fn broken_rules_have_a_first_and_a_last_run() {
    let broken = |at, cmd, site| run(at, cmd, site, "", &[day("a", 0.0, r#""CONFIG": 2"#), day("b", 1.0, "")]);
    let runs = parse(&[
        run("01:00", "hunt", "north", "", &[day("a", 1.0, "")]),
        broken("02:00", "score", "north"),
        broken("03:00", "hunt", "north"),
        broken("04:00", "run", "north"),
        run("05:00", "hunt", "south", "", &[day("a", 1.0, "")]),
    ]);
    let rows = broken_rules(&runs);
    let [north, south] = &rows[..] else { panic!("{rows:?}") };
    assert_eq!((north.hunts, north.hunted_days, north.hunted_days_broken, north.other_days_broken), (2, 3, 1, 2));
    assert_eq!((&*north.rule, &*north.first_run, &*north.last_run), ("CONFIG", runs[1].start(), runs[3].start()));
    assert_eq!((south.hunted_days, &*south.rule, &*south.first_run), (1, "", ""));
}

/// Guards against parts and prices that do not add up to the distance of the worth to 1, and against using an older
/// run.
#[test]
fn distances_add_up_to_the_distance_of_the_worth() {
    let days = [day("a", 0.405, "")];
    let runs =
        parse(&[run("01:00", "score", "north", "", &[day("old", 0.5, "")]), run("02:00", "score", "north", "", &days)]);
    let distances = distances(&runs);
    assert!(distances.iter().all(|distance| &*distance.day == "a"), "{distances:?}");
    let sum: f64 = distances.iter().map(|distance| distance.distance).sum();
    assert!((sum - (1.0 - 0.362)).abs() < 1e-6, "{distances:?}");
    let score: f64 = distances.iter().filter_map(|distance| distance.score_distance).sum();
    assert!((score - sum / (0.6 - 0.2)).abs() < 1e-3, "{distances:?}");
}

/// Guards against counts in the column of another file, lists that are not counted, and a corrupt file that ends the
/// count.
#[test]
fn kinds_are_counted_by_file() {
    let folder = tempfile::tempdir().expect("a folder");
    let write = |name: &str, text: &str| fs::write(folder.path().join(name), text).expect("a file");
    write("a.toml", "faults = [{ kind = \"cut\", at = 1.5 }]\nclosing = { kind = \"wipe\" }");
    write("b.toml", "faults = [");
    write("c.toml", "faults = [{ kind = \"slow\" }, { kind = \"cut\" }]\nplan = [{ kind = \"cut\" }, { at = 1 }]");
    let days = read_day_files(folder.path()).expect("counts");
    assert_eq!(days.files, ["a".into(), "c".into()]);
    assert_eq!(
        days.counts.iter().map(|(kind, counts)| (&**kind, &counts[..])).collect::<Vec<_>>(),
        [("cut", &[1, 2][..]), ("slow", &[0, 1][..])]
    );
    assert_eq!(&*days.skipped[0].file, "b");
    assert!(days.table().contains("75.0%"), "{}", days.table());
    assert_eq!(days.missing(&parse(&[run("01:00", "run", "north", "", &[day("a", 1.0, "")])])), ["srv_slow"]);
}

/// Guards against treating a missing folder as an empty journal.
#[test]
fn a_missing_folder_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder").path().join("none");
    assert!(read(&folder).is_err() && read_day_files(&folder).is_err());
}
