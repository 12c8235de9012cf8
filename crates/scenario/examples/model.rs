//! Explores the states of small consensus groups: `model --steps 40 --timers 2 --crashes 1`; `model --help` lists all
//! options.

use {
    gumdrop::Options,
    hemlockford_scenario::{
        fakes::{LostWrites, Tampering},
        model::{Bounds, Defect, ModelOptions, Seeds, Start, search},
    },
    std::process::ExitCode,
};

/// Bounds and settings of a search.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(no_short, help = "maximum number of steps in a path", default = "1000")]
    steps: u32,
    #[options(no_short, help = "maximum number of states to explore", default = "1000000")]
    states: usize,
    #[options(no_short, help = "maximum number of submitted changes")]
    changes: u64,
    #[options(no_short, help = "maximum number of reads")]
    reads: u64,
    #[options(no_short, help = "maximum number of timers that fire")]
    timers: u32,
    #[options(no_short, help = "maximum number of crashes")]
    crashes: u32,
    #[options(no_short, help = "maximum number of lost data folders")]
    losses: u32,
    #[options(no_short, help = "maximum number of lost messages")]
    drops: u32,
    #[options(no_short, help = "maximum number of messages delivered before an older one")]
    overtakes: u32,
    #[options(no_short, help = "maximum number of times that messages to one replica are delayed")]
    delays: u32,
    #[options(no_short, help = "maximum number of other steps while messages are in flight")]
    interrupts: u32,
    #[options(no_short, help = "maximum number of writes that become durable after later events")]
    slow: u32,
    #[options(no_short, help = "maximum number of planned stops")]
    stops: u32,
    #[options(no_short, help = "log entries between snapshots", default = "256")]
    snapshot: usize,
    #[options(no_short, help = "target number of voters", default = "3")]
    voters: usize,
    #[options(no_short, help = "initial state: settled, empty, silent or late-vote", default = "settled")]
    start: String,
    #[options(no_short, help = "give the replacement only seeds that no longer exist")]
    gone: bool,
    #[options(no_short, help = "check that a leader is elected while one process is down")]
    progress: bool,
    #[options(
        no_short,
        help = "defect to inject: fsync, votes, vote-twice, incarnation, acknowledgement, one-change, number, \
                read, removal, founding"
    )]
    broken: Option<String>,
}

fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let defect = match args.broken.as_deref() {
        None => Defect::None,
        Some("fsync") => Defect::Disk(LostWrites::All),
        Some("votes") => Defect::Disk(LostWrites::Votes),
        Some("vote-twice") => Defect::Net(Tampering::Vote),
        Some("incarnation") => Defect::Incarnation,
        Some("acknowledgement") => Defect::Net(Tampering::Acknowledgement),
        Some("one-change") => Defect::OneChange,
        Some("number") => Defect::Number,
        Some("read") => Defect::Read,
        Some("removal") => Defect::Removal,
        Some("founding") => Defect::Formation,
        Some(name) => {
            eprintln!("unknown defect: {name}");
            return ExitCode::FAILURE;
        }
    };
    let start = match args.start.as_str() {
        "settled" => Start::Settled,
        "empty" => Start::Empty,
        "silent" => Start::Silent,
        "late-vote" => Start::LateVote,
        name => {
            eprintln!("unknown initial state: {name}");
            return ExitCode::FAILURE;
        }
    };
    let options = ModelOptions {
        start,
        voters: args.voters,
        snapshot_entries: args.snapshot,
        seeds: if args.gone { Seeds::Gone } else { Seeds::Founders },
        defect,
        check_progress: args.progress,
        bounds: Bounds {
            steps: args.steps,
            states: args.states,
            changes: args.changes,
            reads: args.reads,
            timers: args.timers,
            crashes: args.crashes,
            losses: args.losses,
            drops: args.drops,
            overtakes: args.overtakes,
            delays: args.delays,
            interrupts: args.interrupts,
            slow: args.slow,
            stops: args.stops,
        },
    };
    println!(
        "{:?}, voters {}, {:?}, injected defect: {:?}",
        options.start, options.voters, options.seeds, options.defect
    );
    let report = search(options);
    println!("{report}");
    if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
