//! Messages and stored state of the version before, 1210964, whose instances run beside those of this one during an
//! upgrade.
//!
//! `data/shapes-1210964.txt` and `data/encodings-1210964.txt` were written by that version. They stay as long as instances
//! of it may run; the next released version adds its own.

use {
    hemlockford_core::{
        consensus::{Entry, HardState, Snapshot},
        fleet::{FleetMessage, ReceivedRecord},
        ledger::{Command, Ledger},
    },
    hemlockford_fuzz::{shape, valid_encodings},
    serde::{Serialize, de::DeserializeOwned},
    std::collections::BTreeMap,
};

const SHAPES: &str = include_str!("data/shapes-1210964.txt");
const ENCODINGS: &str = include_str!("data/encodings-1210964.txt");

/// What this version added. The former version skips a message with such a part as a whole, as it cannot read it; a
/// command or a configuration with one is proposed only once all instances state that they read it.
const ADDED: [&str; 12] = [
    "command: Command 6 Evacuate = { data_centre: text, is_active: bool, at: u64 }",
    "message: FleetMessage 13 CreditRequest = (CreditRequest)",
    "message: FleetMessage 14 CreditResponse = (CreditResponse)",
    "message: FleetMessage 15 Capabilities = { level: u32 }",
    "message: Reply 6 Evacuated = ",
    "message: Reply 7 Unavailable = ",
    "message: Request 3 Evacuate = { data_centre: text, is_active: bool, known: u64, wall_ms: u64 }",
    "message: Acknowledgement = { session: u32, number: u64 }",
    "message: CreditDemand = { customer: u64, demand: u32, waiting: u32, credit: u32, queued: u32, returned: u32 }",
    "message: CreditGrant = { customer: u64, lent: u32, target: u32, is_exceeded: bool }",
    "message: CreditRequest = { number: u64, acknowledged: Acknowledgement?, entries: u32, customers: [CreditDemand] }",
    "message: CreditResponse = { echo: u64, leader: text?, session: u32, entries: u32, customers: [CreditGrant] }",
];

/// Returns the shape of a type as lines that begin with its name.
fn lines_of<T: DeserializeOwned>(name: &str) -> Vec<String> {
    shape::<T>().into_iter().map(|line| format!("{name}: {line}")).collect()
}

fn shapes() -> Vec<String> {
    [
        lines_of::<FleetMessage>("message"),
        lines_of::<Command>("command"),
        lines_of::<Ledger>("ledger"),
        lines_of::<Entry>("entry"),
        lines_of::<HardState>("hard state"),
        lines_of::<Snapshot>("snapshot"),
        lines_of::<(u8, Vec<ReceivedRecord>)>("directory"),
    ]
    .concat()
}

fn encodings_of<T: Serialize + DeserializeOwned>(name: &str) -> Vec<String> {
    let hex = |bytes: Vec<u8>| bytes.iter().map(|byte| format!("{byte:02x}")).collect::<String>();
    valid_encodings::<T>().into_iter().map(|encoding| format!("{name}: {}", hex(encoding))).collect()
}

fn encodings() -> Vec<String> {
    [
        encodings_of::<FleetMessage>("message"),
        encodings_of::<Command>("command"),
        encodings_of::<Ledger>("ledger"),
        encodings_of::<Entry>("entry"),
        encodings_of::<HardState>("hard state"),
        encodings_of::<Snapshot>("snapshot"),
        encodings_of::<(u8, Vec<ReceivedRecord>)>("directory"),
    ]
    .concat()
}

/// Returns whether an encoding is read completely and written again as it was.
fn is_kept<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> bool {
    let read = postcard::take_from_bytes::<T>(bytes);
    read.is_ok_and(|(value, rest)| rest.is_empty() && postcard::to_stdvec(&value).is_ok_and(|written| written == bytes))
}

/// Guards against a field or variant that is added, moved, removed or changed in place, so that instances of the former
/// version cannot read what this one writes, or read it as something else.
#[test]
fn shapes_are_those_of_the_former_version() {
    let former: Vec<_> = SHAPES.lines().collect();
    let former_by_name: BTreeMap<_, _> = former.iter().map(|line| (line.split('=').next(), line)).collect();
    let (added, kept): (Vec<_>, Vec<_>) = shapes().into_iter().partition(|line| ADDED.contains(&line.as_str()));
    assert_eq!(added.len(), ADDED.len(), "an added part is missing or has another shape");
    for line in &kept {
        let former = former_by_name.get(&line.split('=').next()).map(|line| **line);
        assert_eq!(Some(line.as_str()), former, "the former version reads something else");
    }
    assert_eq!(kept.len(), former.len(), "the former version has parts that are missing");
}

/// Returns the name of a line's enum and the number of the variant, if the line describes one.
fn variant(line: &str) -> Option<(&str, usize)> {
    let mut words = line.split('=').next()?.split_whitespace().skip(1);
    Some((words.next()?, words.next()?.parse().ok()?))
}

/// Guards against an added variant whose number the former version takes for another one, so that it reads a part of the
/// message as the whole instead of skipping it.
#[test]
fn added_variants_are_unknown_to_the_former_version() {
    // The structs among the added parts occur in added variants only.
    for (added, (name, number)) in ADDED.iter().filter_map(|added| Some((added, variant(added)?))) {
        let former = SHAPES.lines().filter_map(variant).filter(|(former, _)| *former == name);
        let highest = former.map(|(_, number)| number).max().expect("an enum of the former version");
        assert!(number > highest, "{added}");
    }
}

/// Guards against encodings of the former version that are not read, or are written in another way.
#[test]
fn encodings_of_the_former_version_are_kept() {
    let mut count = 0;
    for line in ENCODINGS.lines() {
        let (name, hex) = line.split_once(": ").expect("a name");
        let bytes: Vec<u8> =
            (0..hex.len()).step_by(2).map(|at| u8::from_str_radix(&hex[at..at + 2], 16).expect("a byte")).collect();
        let is_kept = match name {
            "message" => is_kept::<FleetMessage>(&bytes),
            "command" => is_kept::<Command>(&bytes) && Command::decode(&[&[1], &bytes[..]].concat()).is_ok(),
            "ledger" => is_kept::<Ledger>(&bytes) && Ledger::restore(&[&[2], &bytes[..]].concat()).is_ok(),
            "entry" => is_kept::<Entry>(&bytes),
            "hard state" => is_kept::<HardState>(&bytes),
            "snapshot" => is_kept::<Snapshot>(&bytes),
            "directory" => is_kept::<(u8, Vec<ReceivedRecord>)>(&bytes),
            _ => false,
        };
        assert!(is_kept, "{line}");
        count += 1;
    }
    assert!(count > 100, "{count}");
}

/// Writes the files for the next released version, in the directory that FORMER_VERSION_DATA names.
#[test]
fn current_encodings_can_be_written() {
    let (shapes, encodings) = (shapes().join("\n"), encodings().join("\n"));
    assert!(!shapes.is_empty() && !encodings.is_empty());
    if let Some(folder) = std::env::var_os("FORMER_VERSION_DATA") {
        let folder = std::path::Path::new(&folder);
        std::fs::write(folder.join("shapes.txt"), shapes).expect("written");
        std::fs::write(folder.join("encodings.txt"), encodings).expect("written");
    }
}
