//! Stand-in servers for tests and experiments, which announce themselves and count the calls that they execute.

mod announcer;
mod behaviour;
mod connection;
mod control;
mod emulation;
mod executions;
mod interface;
mod options;
mod pace;
mod reply;
mod server;
mod service_time;
mod shared_state;

pub(crate) use service_time::exponential;
pub use {
    behaviour::{Behaviour, LoadReporting, Truncation},
    emulation::{Emulation, EmulationAddresses, ServerAddress},
    executions::{ExecutionReport, Executions},
    interface::ServerInterface,
    options::EmulateOptions,
    service_time::ServiceTime,
    shared_state::ServerReport,
};
