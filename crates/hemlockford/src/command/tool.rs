//! Arguments of the commands for experiments and tests.

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
    #[options(help = "service that the servers run", default = "catalogue")]
    pub(crate) service: String,
    #[options(help = "first part of the servers' names (the service by default)", no_short)]
    pub(crate) prefix: Option<String>,
    #[options(help = "data centre of the servers", default = "local", no_short)]
    pub(crate) data_centre: String,
    #[options(help = "number of servers", default = "4", no_short)]
    pub(crate) servers: usize,
    #[options(help = "slots of each server", default = "2", no_short)]
    pub(crate) slots: u32,
    #[options(help = "connections that each server accepts", default = "250", no_short)]
    pub(crate) connections: u32,
    #[options(help = "5ms, exponential:5ms or lognormal:5ms:0.5", default = "5ms", no_short, meta = "TIME")]
    pub(crate) service_time: ServiceTime,
    #[options(
        help = "time that a new connection takes",
        default = "0us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) connect_time: Duration,
    #[options(
        help = "time of a slot that GET /probe takes",
        default = "0us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) probe_time: Duration,
    #[options(
        help = "time after the start during which calls are slower",
        default = "0us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) cold_time: Duration,
    #[options(help = "factor of the service time at a cold start", default = "5", no_short)]
    pub(crate) cold_factor: f64,
    #[options(help = "bytes of an answer whose request asks for none", default = "1000", no_short)]
    pub(crate) answer_bytes: usize,
    #[options(
        help = "mode of all servers from the start, such as mode=straggler&factor=10; may be repeated",
        no_short,
        meta = "QUERY"
    )]
    pub(crate) mode: Vec<String>,
    #[options(
        help = "interface that the servers imitate, such as request-id=x-id&queue=4; may be repeated",
        no_short,
        meta = "QUERY"
    )]
    pub(crate) interface: Vec<String>,
    #[options(help = "admin address of an entry; may be repeated", meta = "ADDRESS")]
    pub(crate) entry: Vec<SocketAddr>,
    #[options(help = "address to listen on", default = "127.0.0.1", no_short)]
    pub(crate) bind: IpAddr,
    #[options(help = "threads that run the servers", default = "1", no_short)]
    pub(crate) threads: usize,
    #[options(help = "seed of the service times", default = "1", no_short)]
    pub(crate) seed: u64,
    #[options(
        help = "time between announcing to leave and stopping, on SIGTERM",
        default = "4s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) linger: Duration,
    #[options(help = "form of the log: json or term", default = "term", meta = "FORM")]
    pub(crate) log: LogFormat,
}

#[derive(Debug, Options)]
pub(crate) struct LoadArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "caller address of an entry; may be repeated, used in turn", meta = "ADDRESS")]
    pub(crate) target: Vec<SocketAddr>,
    #[options(help = "address of a server, instead of entries; may be repeated", no_short, meta = "ADDRESS")]
    pub(crate) direct: Vec<SocketAddr>,
    #[options(help = "service that is called", default = "catalogue")]
    pub(crate) service: String,
    #[options(help = "calls a second, without a customer", no_short)]
    pub(crate) rate: Option<f64>,
    #[options(help = "customer with its calls a second; may be repeated", meta = "NAME=RATE")]
    pub(crate) customer: Vec<CustomerLoad>,
    #[options(help = "constant or poisson", default = "constant", no_short)]
    pub(crate) arrivals: Arrivals,
    #[options(help = "method with its weight; may be repeated", meta = "METHOD=WEIGHT")]
    pub(crate) method: Vec<MethodShare>,
    #[options(help = "bytes of an upload", default = "1000", no_short)]
    pub(crate) upload_bytes: usize,
    #[options(help = "send uploads in chunks", no_short)]
    pub(crate) chunked: bool,
    #[options(help = "bytes of an answer", default = "1000", no_short)]
    pub(crate) answer_bytes: usize,
    #[options(help = "deadline that calls state", no_short, meta = "TIME", parse(try_from_str = "parse_time"))]
    pub(crate) deadline: Option<Duration>,
    #[options(
        help = "time after which a call is given up",
        default = "10s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) timeout: Duration,
    #[options(help = "send an idempotency key with calls that are not idempotent", no_short)]
    pub(crate) keys: bool,
    #[options(help = "length of the run", default = "5s", no_short, meta = "TIME", parse(try_from_str = "parse_time"))]
    pub(crate) time: Duration,
    #[options(help = "largest number of calls", default = "10000000", no_short)]
    pub(crate) calls: u64,
    #[options(help = "calls in flight above which a call is not sent", default = "10000", no_short)]
    pub(crate) in_flight: usize,
    #[options(help = "threads that send", default = "2", no_short)]
    pub(crate) threads: usize,
    #[options(help = "seed of the arrival times", default = "1", no_short)]
    pub(crate) seed: u64,
    #[options(help = "control address of the stand-in servers, to check what ran", no_short, meta = "ADDRESS")]
    pub(crate) control: Option<SocketAddr>,
    #[options(help = "print JSON")]
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
    #[options(help = "form of the log: json or term", default = "term", meta = "FORM")]
    pub(crate) log: LogFormat,
}

#[derive(Debug, Options)]
pub(crate) struct BenchArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) bench: Option<Bench>,
}

/// The measurements.
#[derive(Debug, Options)]
pub(crate) enum Bench {
    #[options(help = "latency that an entry adds to direct calls")]
    Added(AddedArguments),
    #[options(help = "time, memory and messages against what the system holds")]
    Slopes(SlopesArguments),
}

#[derive(Debug, Options)]
pub(crate) struct SlopesArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "folder that takes a CSV file and a plot for each slope", required, meta = "FOLDER")]
    pub(crate) out: PathBuf,
    #[options(help = "name of a slope to measure; may be repeated", no_short, meta = "NAME")]
    pub(crate) only: Vec<String>,
    #[options(
        help = "calls/s, processor ms a second and resident KB of a run of an entry under load; may be repeated",
        no_short,
        meta = "RATE:MS:KB"
    )]
    pub(crate) entry: Vec<EntryRun>,
}

#[derive(Debug, Options)]
pub(crate) struct AddedArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "caller address of an entry; without any, all parts run in this process", meta = "ADDRESS")]
    pub(crate) entry: Vec<SocketAddr>,
    #[options(help = "address of a server; may be repeated", no_short, meta = "ADDRESS")]
    pub(crate) server: Vec<SocketAddr>,
    #[options(help = "service that is called", default = "catalogue", no_short)]
    pub(crate) service: String,
    #[options(help = "calls a second; may be repeated (1000, 4000 and 8000 by default)", meta = "RATE")]
    pub(crate) rate: Vec<f64>,
    #[options(
        help = "length of each part",
        default = "2s",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) time: Duration,
    #[options(help = "rounds of one part direct and one through", default = "2", no_short)]
    pub(crate) rounds: usize,
    #[options(
        help = "lateness of starts at p99 above which a round counts as disturbed and is repeated",
        default = "500us",
        no_short,
        meta = "TIME",
        parse(try_from_str = "parse_time")
    )]
    pub(crate) late_limit: Duration,
    #[options(help = "constant or poisson", default = "poisson", no_short)]
    pub(crate) arrivals: Arrivals,
    #[options(help = "bytes of an answer", default = "1000", no_short)]
    pub(crate) answer_bytes: usize,
    #[options(help = "threads that send", default = "2", no_short)]
    pub(crate) threads: usize,
    #[options(help = "seed of the arrival times", default = "1", no_short)]
    pub(crate) seed: u64,
    #[options(help = "file that the result is written to as CSV", no_short, meta = "FILE")]
    pub(crate) csv: Option<PathBuf>,
}

#[derive(Debug, Options)]
pub(crate) struct JournalArguments {
    #[options(help = "print this help")]
    pub(crate) help: bool,
    #[options(help = "folder with one JSON file for each run", default = "journal", no_short, meta = "FOLDER")]
    pub(crate) dir: PathBuf,
    #[options(help = "the only site to report on", no_short, meta = "NAME")]
    pub(crate) site: Option<String>,
    #[options(
        help = "folder that takes the CSV files and the plots",
        default = "docs/measurements",
        no_short,
        meta = "FOLDER"
    )]
    pub(crate) out: PathBuf,
    #[options(help = "count the kinds in the day files of this folder instead", no_short, meta = "FOLDER")]
    pub(crate) days: Option<PathBuf>,
    #[options(help = "end with 1 if the score of a day fell", no_short)]
    pub(crate) fail_on_regression: bool,
}
