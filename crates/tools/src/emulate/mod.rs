//! Stand-in servers that announce themselves and count what they run.

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
    behaviour::{Behaviour, Cut, Report},
    emulation::{Emulation, EmulationAddresses, ServerAddress},
    executions::{ExecutionReport, Executions},
    interface::ServerInterface,
    options::EmulateOptions,
    service_time::ServiceTime,
    shared_state::ServerReport,
};
