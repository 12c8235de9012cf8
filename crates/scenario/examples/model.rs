//! Searches small groups of the replicated log: `model --steps 40 --timers 2 --crashes 1`; `model --help` lists all.

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
    #[options(no_short, help = "longest path", default = "1000")]
    steps: u32,
    #[options(no_short, help = "states after which the search is cut off", default = "1000000")]
    states: usize,
    #[options(no_short, help = "changes submitted")]
    changes: u64,
    #[options(no_short, help = "reads")]
    reads: u64,
    #[options(no_short, help = "timers that fire")]
    timers: u32,
    #[options(no_short, help = "crashes")]
    crashes: u32,
    #[options(no_short, help = "folders lost")]
    losses: u32,
    #[options(no_short, help = "messages lost")]
    drops: u32,
    #[options(no_short, help = "messages that arrive before an older one")]
    overtakes: u32,
    #[options(no_short, help = "times that messages to one replica are held back")]
    delays: u32,
    #[options(no_short, help = "other steps while messages are on their way")]
    interrupts: u32,
    #[options(no_short, help = "writes that become durable after later events")]
    slow: u32,
    #[options(no_short, help = "planned stops")]
    stops: u32,
    #[options(no_short, help = "entries between two snapshots", default = "256")]
    snapshot: usize,
    #[options(no_short, help = "voters aimed at", default = "3")]
    voters: usize,
    #[options(no_short, help = "begin: settled, empty, silent or late-vote", default = "settled")]
    start: String,
    #[options(no_short, help = "seeds of the replacement name only replicas that are gone")]
    gone: bool,
    #[options(no_short, help = "check that a leader is elected without one process")]
    progress: bool,
    #[options(
        no_short,
        help = "rule broken on purpose: fsync, votes, vote-twice, incarnation, acknowledgement, one-change, number, \
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
            eprintln!("unknown rule: {name}");
            return ExitCode::FAILURE;
        }
    };
    let start = match args.start.as_str() {
        "settled" => Start::Settled,
        "empty" => Start::Empty,
        "silent" => Start::Silent,
        "late-vote" => Start::LateVote,
        name => {
            eprintln!("unknown start: {name}");
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
    println!("{:?}, voters {}, {:?}, broken: {:?}", options.start, options.voters, options.seeds, options.defect);
    let report = search(options);
    println!("{report}");
    if report.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
