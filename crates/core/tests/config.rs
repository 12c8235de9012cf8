//! Errors in the configuration and the lines at which they are reported.

use {
    hemlockford_core::config::{Configuration, MAX_CONFIG_BYTES},
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom},
};

const KINDS: usize = 14;
/// Errors that concern a whole line and do not have a key.
const LINE_ERRORS: [&str; 2] = ["expected [section]", "a backslash"];

/// Lines of a section, each with the start of the error message that it is expected to cause.
type Section = Vec<(String, Option<&'static str>)>;

fn section(lines: &[&str]) -> Section {
    // A line that causes an error has the form `line @ message`.
    let split = |line: &'static str| match line.split_once(" @ ") {
        Some((line, message)) => (line.to_string(), Some(message)),
        None => (line.to_string(), None),
    };
    lines.iter().map(|line| split(line.to_string().leak())).collect()
}

/// Returns sections that contain one error of the given kind.
fn invalid_sections(kind: usize, rng: &mut SmallRng) -> Vec<Section> {
    let sections: &[&[&str]] = match kind {
        0 => &[&["[bogus] @ unknown section"]],
        1 => &[&["[service key]", "colour = red @ unknown key"]],
        2 => &[&["[service gap]", "deadline = 1s", "depends = base, nowhere @ no service named 'nowhere'"]],
        3 => &[&["[service ring-a]", "depends = ring-b @ cycle"], &["[service ring-b]", "depends = ring-a"]],
        4 => return deep_chain(),
        5 => &[&["[service hasty]", "depends = base", "deadline = 100ms @ 100 ms is not longer"]],
        6 => &[&["[service full]", "queue = 0 @ expected a whole number above 0"]],
        7 => &[&["[service nobody] @ the shares", "share.kovar = 0"]],
        8 => &[&["[service twice]", "queue = 5", "queue = 6 @ given twice"]],
        9 => &[&["[service noise]", "queue 5 @ expected [section]", "policy = random\\ @ a backslash"]],
        10 => &[&["[claims]", "retention = 15 @ expected a duration"]],
        11 => &[&["[measure]", "server-share = 0.5 @ expected a share"]],
        12 => &[&["[service \u{e9}] @ expected a name", "queue = 5"]],
        _ => {
            let units = [
                "deadline = 800 @ expected a duration",
                "deadline = 800sec @ expected a duration",
                "deadline = 99999999999h @ expected a duration",
                "objective = 99.9 in 250ms @ expected an objective",
                "objective = 99.9% in 0ms @ expected an objective",
                "retry-budget = 110% @ expected a share",
                "policy = best @ expected one of",
                "policy = 'random' @ expected one of",
                "queue = -1 @ expected a whole number",
                "share.kovar = much @ expected a whole number",
            ];
            return vec![section(&["[service units]", units[rng.random_range(0..units.len())]])];
        }
    };
    sections.iter().map(|lines| section(lines)).collect()
}

fn deep_chain() -> Vec<Section> {
    let service = |depth: u32| {
        let [header, deadline] = [format!("[service deep{depth}]"), format!("deadline = {depth}s")];
        let error = if depth == 25 { " @ chain of 25 services" } else { "" };
        let depends = format!("depends = deep{}{error}", depth - 1);
        if depth == 1 { section(&[&header, &deadline]) } else { section(&[&header, &deadline, &depends]) }
    };
    (1..=25).map(service).collect()
}

/// Formats a line in one of several equivalent forms.
fn vary(line: &str, rng: &mut SmallRng) -> String {
    let mut line = line.to_string();
    if rng.random_bool(0.3) {
        line = line.replacen(" = ", ["=", ":", " : ", "  =\t"][rng.random_range(0..4)], 1);
    }
    if line.starts_with('[') && rng.random_bool(0.3) {
        line = line.replace('[', "[ ").replacen(' ', "  ", 1);
    }
    format!("{}{line}{}", " ".repeat(rng.random_range(0..3)), " ".repeat(rng.random_range(0..3)))
}

/// Guards against errors that are missed, reported at the wrong location or accompanied by false errors.
#[test]
fn every_error_is_reported_at_its_line() {
    for seed in 0..700 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut kinds: Vec<_> =
            (0..KINDS).filter(|kind| *kind == seed as usize % KINDS || rng.random_bool(0.15)).collect();
        kinds.shuffle(&mut rng);
        let number = ["number = 7", "number = 0 @ expected a whole number above 0", ""][rng.random_range(0..3)];
        let change = if number.is_empty() { "[change] @ missing" } else { "[change]" };
        let mut sections = vec![
            section(&[change, number]),
            section(&["[customer kovar]", "weight = 3"]),
            section(&["[service base]", "deadline = 100ms", "share.kovar = 2"]),
        ];
        kinds.iter().for_each(|kind| sections.extend(invalid_sections(*kind, &mut rng)));
        sections.shuffle(&mut rng);

        let (mut source, mut expected) = (Vec::new(), Vec::new());
        for lines in &sections {
            let header = lines[0].0.trim_matches(['[', ']']);
            for (line, message) in lines {
                for _ in 0..rng.random_range(0..3) {
                    source.push(["", "  # x = 1", "; [service y]", "\t"][rng.random_range(0..4)].to_string());
                }
                source.push(vary(line, &mut rng));
                let has_key = !line.starts_with('[') && !message.is_some_and(|message| LINE_ERRORS.contains(&message));
                let key = match message {
                    Some("missing") => "number",
                    _ if has_key => line.split(" = ").next().unwrap_or_default(),
                    _ => "",
                };
                expected.extend(message.map(|message| (source.len(), header, key, message)));
            }
        }
        let source = source.join(["\n", "\r\n"][rng.random_range(0..2)]);
        let errors = Configuration::parse(&source).err().unwrap_or_default();
        let is_same = errors.len() == expected.len()
            && errors.iter().zip(&expected).all(|(error, (line, section, key, message))| {
                let location = (error.line, &*error.section, &*error.key);
                location == (*line, *section, *key) && error.message.starts_with(message)
            });
        assert!(is_same, "seed {seed}, expected {expected:?}, got {errors:#?} in\n{source}");
    }
}

/// Guards against panics, and against line numbers beyond the end of the source.
#[test]
fn arbitrary_bytes_never_panic() {
    const PIECES: [&str; 16] = [
        "[",
        "]",
        "=",
        ":",
        "\n",
        "\r",
        ";",
        "#",
        "\"",
        "'",
        "\\",
        "\u{feff}",
        "service a",
        "depends",
        "number",
        "1ms",
    ];
    for seed in 0..20_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut bytes = b"[change]\nnumber = 1\n[service a]\ndepends = b\n[service b]\nqueue = 1\n".to_vec();
        for _ in 0..rng.random_range(0..30) {
            let at = rng.random_range(0..=bytes.len());
            let to = bytes.len().min(at + rng.random_range(0..4));
            let piece = PIECES[rng.random_range(0..PIECES.len())].as_bytes();
            let random: [u8; 3] = rng.random();
            bytes.splice(at..to, if rng.random_bool(0.7) { piece } else { &random }.iter().copied());
        }
        let source = String::from_utf8_lossy(&bytes);
        let lines = source.lines().count();
        for error in Configuration::parse(&source).err().unwrap_or_default() {
            assert!(error.line <= lines, "seed {seed}: {error} in {lines} lines");
        }
    }
}

/// Guards against a stack overflow: a configuration of the permitted size can contain chains and cycles of many thousand
/// services.
#[test]
fn long_chains_and_cycles_are_errors() {
    let service = |number: u32, next: u32| format!("[service s{number}]\ndepends = s{next}\n");
    for last in [20_000, 0] {
        let chain: String =
            (0..20_000).map(|number| service(number, if number == 19_999 { last } else { number + 1 })).collect();
        let source = format!("[change]\nnumber = 1\n{chain}");
        assert!(source.len() < MAX_CONFIG_BYTES);
        let errors = Configuration::parse(&source).unwrap_err();
        let is_cycle = errors.iter().any(|error| error.message.starts_with("cycle"));
        assert_eq!(is_cycle, last == 0);
    }
}
