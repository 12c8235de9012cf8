//! Arguments of each command.

use {
    gumdrop::Options,
    std::{net::SocketAddr, path::PathBuf},
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
    #[options(help = "run stand-in servers")]
    Emulate(EmulateArguments),
    #[options(help = "send open-loop load")]
    Load(LoadArguments),
}

#[derive(Debug, Options)]
pub(crate) struct RunArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "settings of the instance", required, meta = "FILE")]
    pub(crate) settings: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct CheckArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(free, required, help = "text to check")]
    pub(crate) text: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct SubmitArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "admin address of an instance", required, meta = "ADDRESS")]
    pub(crate) to: Option<SocketAddr>,
    #[options(free, required, help = "text to submit")]
    pub(crate) text: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct EmulateArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "service that the servers run", default = "catalogue")]
    pub(crate) service: String,
    #[options(help = "number of servers", default = "4", no_short)]
    pub(crate) servers: usize,
    #[options(help = "slots of each server", default = "2", no_short)]
    pub(crate) slots: u32,
    #[options(help = "service time in microseconds", default = "5000", no_short)]
    pub(crate) service_time_us: u64,
    #[options(help = "admin address of an entry; may be repeated", meta = "ADDRESS")]
    pub(crate) entry: Vec<SocketAddr>,
}

#[derive(Debug, Options)]
pub(crate) struct LoadArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "where the calls are sent", required, meta = "ADDRESS")]
    pub(crate) target: Option<SocketAddr>,
    #[options(help = "service that is called", default = "catalogue")]
    pub(crate) service: String,
    #[options(help = "calls a second", default = "100")]
    pub(crate) rate: f64,
    #[options(help = "length of the run in seconds", default = "5", no_short)]
    pub(crate) seconds: u64,
}
