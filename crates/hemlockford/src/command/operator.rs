//! Arguments of the commands for operators.

use {
    crate::log::LogFormat,
    gumdrop::Options,
    hemlockford_tools::parse_time,
    std::{net::SocketAddr, path::PathBuf, time::Duration},
};

#[derive(Debug, Options)]
pub(crate) struct RunArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "settings file of the instance", required, meta = "FILE")]
    pub(crate) settings: PathBuf,
    #[options(help = "format of the log: json or term", default = "term", meta = "FORM")]
    pub(crate) log: LogFormat,
}

#[derive(Debug, Options)]
pub(crate) struct CheckArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "print the errors as JSON")]
    pub(crate) json: bool,
    #[options(free, required, help = "configuration file to check")]
    pub(crate) text: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct SubmitArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "admin address of an instance; may be repeated, the next is tried if one is unavailable or gives no clear answer",
        meta = "ADDRESS"
    )]
    pub(crate) to: Vec<SocketAddr>,
    #[options(
        help = "timeout for the answer of one instance",
        default = "10s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) timeout: Duration,
    #[options(free, required, help = "configuration file to submit")]
    pub(crate) text: PathBuf,
}

#[derive(Debug, Options)]
pub(crate) struct ReadArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "admin address of an instance; may be repeated", meta = "ADDRESS")]
    pub(crate) from: Vec<SocketAddr>,
    #[options(help = "print one JSON object")]
    pub(crate) json: bool,
    #[options(
        help = "timeout for the answer of one instance",
        default = "2s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) timeout: Duration,
    #[options(free, help = "further admin addresses")]
    pub(crate) more: Vec<SocketAddr>,
}
