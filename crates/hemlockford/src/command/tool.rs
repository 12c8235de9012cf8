//! Command-line arguments of the commands for experiments and tests.

use {
    crate::log::LogFormat,
    gumdrop::Options,
    hemlockford_tools::{
        ServiceTime,
        load::{Arrivals, CustomerLoad, MethodShare},
        parse_time,
        slopes::EntryRun,
    },
    std::{
        net::{IpAddr, SocketAddr},
        path::PathBuf,
        time::Duration,
    },
};

#[derive(Debug, Options)]
pub(crate) struct EmulateArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "service that the servers provide", default = "catalogue")]
    pub(crate) service: String,
    #[options(help = "prefix of the servers' names (the service by default)", no_short)]
    pub(crate) prefix: Option<String>,
    #[options(help = "data centre of the servers", default = "local", no_short)]
    pub(crate) data_centre: String,
    #[options(help = "number of servers", default = "4", no_short)]
    pub(crate) servers: usize,
    #[options(help = "slots of each server", default = "2", no_short)]
    pub(crate) slots: u32,
    #[options(help = "maximum number of connections of each server", default = "250", no_short)]
    pub(crate) connections: u32,
    #[options(
        help = "service time distribution: 5ms, exponential:5ms or lognormal:5ms:0.5",
        default = "5ms",
        no_short,
        meta = "TIME"
    )]
    pub(crate) service_time: ServiceTime,
    #[options(
        help = "delay before the first request on a new connection is read",
        default = "0us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) connect_time: Duration,
    #[options(
        help = "time for which GET /probe occupies a slot",
        default = "0us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) probe_time: Duration,
    #[options(
        help = "time after a start during which calls are slower",
        default = "0us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) cold_time: Duration,
    #[options(
        help = "initial factor of the service time after a start; it falls to 1 over the cold time",
        default = "5",
        no_short
    )]
    pub(crate) cold_factor: f64,
    #[options(help = "size of an answer in bytes if the request does not specify one", default = "1000", no_short)]
    pub(crate) answer_bytes: usize,
    #[options(
        help = "initial mode of all servers, such as mode=straggler&factor=10; may be repeated",
        no_short,
        meta = "QUERY"
    )]
    pub(crate) mode: Vec<String>,
    #[options(
        help = "interface that the servers emulate, such as request-id=x-id&queue=4; may be repeated",
        no_short,
        meta = "QUERY"
    )]
    pub(crate) interface: Vec<String>,
    #[options(help = "admin address of an entry; may be repeated", meta = "ADDRESS")]
    pub(crate) entry: Vec<SocketAddr>,
    #[options(help = "address to listen on", default = "127.0.0.1", no_short)]
    pub(crate) bind: IpAddr,
    #[options(help = "number of threads that run the servers", default = "1", no_short)]
    pub(crate) threads: usize,
    #[options(help = "random seed of the service times", default = "1", no_short)]
    pub(crate) seed: u64,
    #[options(
        help = "time between announcing the departure and stopping on SIGTERM",
        default = "4s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) linger: Duration,
    #[options(help = "format of the log: json or term", default = "term", meta = "FORM")]
    pub(crate) log: LogFormat,
}

#[derive(Debug, Options)]
pub(crate) struct LoadArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "caller address of an entry; may be repeated, addresses are used in turn", meta = "ADDRESS")]
    pub(crate) target: Vec<SocketAddr>,
    #[options(help = "address of a server, instead of entries; may be repeated", no_short, meta = "ADDRESS")]
    pub(crate) direct: Vec<SocketAddr>,
    #[options(help = "service to call", default = "catalogue")]
    pub(crate) service: String,
    #[options(help = "calls per second without a customer", no_short)]
    pub(crate) rate: Option<f64>,
    #[options(help = "customer and its calls per second; may be repeated", meta = "NAME=RATE")]
    pub(crate) customer: Vec<CustomerLoad>,
    #[options(help = "arrival process: constant or poisson", default = "constant", no_short)]
    pub(crate) arrivals: Arrivals,
    #[options(help = "method and its weight; may be repeated", meta = "METHOD=WEIGHT")]
    pub(crate) method: Vec<MethodShare>,
    #[options(help = "size of an upload in bytes", default = "1000", no_short)]
    pub(crate) upload_bytes: usize,
    #[options(help = "send uploads with chunked encoding", no_short)]
    pub(crate) chunked: bool,
    #[options(help = "size of an answer in bytes", default = "1000", no_short)]
    pub(crate) answer_bytes: usize,
    #[options(help = "deadline of the calls", no_short, meta = "TIME", parse(try_from_str = "parse_time"))]
    pub(crate) deadline: Option<Duration>,
    #[options(
        help = "timeout of a call",
        default = "10s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) timeout: Duration,
    #[options(help = "send an idempotency key with calls that are not idempotent", no_short)]
    pub(crate) keys: bool,
    #[options(
        help = "duration of the run",
        default = "5s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) time: Duration,
    #[options(help = "maximum number of calls", default = "10000000", no_short)]
    pub(crate) calls: u64,
    #[options(help = "maximum number of calls in flight; further calls are not sent", default = "10000", no_short)]
    pub(crate) in_flight: usize,
    #[options(help = "maximum number of GET calls on one connection without an answer", default = "1", no_short)]
    pub(crate) pipeline: usize,
    #[options(help = "number of sending threads", default = "2", no_short)]
    pub(crate) threads: usize,
    #[options(help = "random seed of the arrival times", default = "1", no_short)]
    pub(crate) seed: u64,
    #[options(
        help = "control address of the stand-in servers, for checking which calls ran",
        no_short,
        meta = "ADDRESS"
    )]
    pub(crate) control: Option<SocketAddr>,
    #[options(help = "print the result as JSON")]
    pub(crate) json: bool,
}

#[derive(Debug, Options)]
pub(crate) struct DemoArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "number of stand-in servers", default = "3", no_short)]
    pub(crate) servers: usize,
    #[options(
        help = "stop after this time instead of on a signal",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) time: Option<Duration>,
    #[options(help = "format of the log: json or term", default = "term", meta = "FORM")]
    pub(crate) log: LogFormat,
}

#[derive(Debug, Options)]
pub(crate) struct BenchArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) bench: Option<Bench>,
}

/// Measurements of the command `bench`.
#[derive(Debug, Options)]
pub(crate) enum Bench {
    #[options(help = "latency that an entry adds to direct calls")]
    Added(AddedArguments),
    #[options(help = "growth of time, memory and messages with the size of the system")]
    Slopes(SlopesArguments),
}

#[derive(Debug, Options)]
pub(crate) struct SlopesArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "folder for a CSV file and a plot of each slope", required, meta = "FOLDER")]
    pub(crate) out: PathBuf,
    #[options(help = "name of a slope to measure; may be repeated", no_short, meta = "NAME")]
    pub(crate) only: Vec<String>,
    #[options(
        help = "calls/s, processor ms per second and resident KB of an entry run under load; may be repeated",
        no_short,
        meta = "RATE:MS:KB"
    )]
    pub(crate) entry: Vec<EntryRun>,
}

#[derive(Debug, Options)]
pub(crate) struct AddedArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(
        help = "caller address of an entry; if none is given, the entry and the servers run in this process",
        meta = "ADDRESS"
    )]
    pub(crate) entry: Vec<SocketAddr>,
    #[options(help = "address of a server; may be repeated", no_short, meta = "ADDRESS")]
    pub(crate) server: Vec<SocketAddr>,
    #[options(help = "service to call", default = "catalogue", no_short)]
    pub(crate) service: String,
    #[options(help = "calls per second; may be repeated (1000, 4000 and 8000 by default)", meta = "RATE")]
    pub(crate) rate: Vec<f64>,
    #[options(
        help = "duration of each measurement",
        default = "2s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) time: Duration,
    #[options(help = "rounds, each with one direct measurement and one through the entry", default = "2", no_short)]
    pub(crate) rounds: usize,
    #[options(
        help = "p99 of the call start delay above which a round counts as disturbed and is repeated",
        default = "500us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) late_limit: Duration,
    #[options(help = "arrival process: constant or poisson", default = "poisson", no_short)]
    pub(crate) arrivals: Arrivals,
    #[options(help = "size of an answer in bytes", default = "1000", no_short)]
    pub(crate) answer_bytes: usize,
    #[options(help = "number of sending threads", default = "2", no_short)]
    pub(crate) threads: usize,
    #[options(help = "random seed of the arrival times", default = "1", no_short)]
    pub(crate) seed: u64,
    #[options(help = "CSV file to write the results to", no_short, meta = "FILE")]
    pub(crate) csv: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct JournalArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "folder with one JSON file per run", default = "journal", no_short, meta = "FOLDER")]
    pub(crate) dir: PathBuf,
    #[options(help = "report only on this site", no_short, meta = "NAME")]
    pub(crate) site: Option<String>,
    #[options(
        help = "folder for the CSV files and the plots",
        default = "docs/measurements",
        no_short,
        meta = "FOLDER"
    )]
    pub(crate) out: PathBuf,
    #[options(
        help = "count the kinds of disruptions in the day files of this folder instead",
        no_short,
        meta = "FOLDER"
    )]
    pub(crate) days: Option<PathBuf>,
    #[options(help = "exit with code 1 if the score of a day fell", no_short)]
    pub(crate) fail_on_regression: bool,
}
