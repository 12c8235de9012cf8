//! Arguments of each command.

mod operator;
mod tool;

use gumdrop::Options;
pub(crate) use {
    operator::{CheckArguments, ReadArguments, RunArguments, SubmitArguments},
    tool::{
        AddedArguments, Bench, BenchArguments, DemoArguments, EmulateArguments, JournalArguments, LoadArguments,
        SlopesArguments,
    },
};

/// Arguments of the program.
#[derive(Debug, Options)]
pub(crate) struct Arguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub(crate) enum Command {
    #[options(help = "run one instance")]
    Run(RunArguments),
    #[options(help = "check a text without any instance")]
    Check(CheckArguments),
    #[options(help = "submit a text")]
    Submit(SubmitArguments),
    #[options(help = "print what instances say of themselves")]
    Status(ReadArguments),
    #[options(help = "print service-level burn as instances see it")]
    Report(ReadArguments),
    #[options(help = "run an entry and stand-in servers in one process")]
    Demo(DemoArguments),
    #[options(help = "run stand-in servers")]
    Emulate(EmulateArguments),
    #[options(help = "send open-loop load")]
    Load(LoadArguments),
    #[options(help = "measure")]
    Bench(BenchArguments),
    #[options(help = "report on the runs of the test bench")]
    Journal(JournalArguments),
}

/// Text after the usage of the program.
pub(crate) const EXIT_CODES: &str = "\
Exit codes:
  0  ok
  1  failure or wrong use
  2  refused
  3  conflict with what was accepted earlier
  4  unknown; sending the same again is safe";
