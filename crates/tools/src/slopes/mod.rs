//! Scaling measurements ("slopes"): how time, memory and messages grow with the size of the system.
//!
//! The measurements run the state machines and codecs of the instances in one process, without a network. See
//! docs/notes/capacity-method.md for the method and its errors.

mod balance;
mod clock;
mod configs;
mod control;
mod control_group;
mod datagrams;
mod dispatcher_group;
mod durable;
mod entry;
mod event_queue;
mod memory;
mod memory_disk;
mod plot;
mod slope;
mod wire;

pub use {
    entry::EntryRun,
    slope::{Row, Slope},
};

use {
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, invalid_input},
    std::{fs, path::PathBuf},
};

/// Name and function of a measurement.
type Measurement = (&'static str, fn() -> Result<Slope>);

/// All measurements in the order in which they run. Memory comes first, while the process is still small.
const MEASUREMENTS: [Measurement; 11] = [
    ("memory", memory::memory),
    ("choice", balance::choice),
    ("heartbeat", control::heartbeat),
    ("relay", control::relay),
    ("relay-target", control::relay_target),
    ("slots", balance::slots),
    ("slots-target", balance::slots_target),
    ("change", control::change),
    ("restart", durable::restart),
    ("claims", durable::claims),
    ("datagram", datagrams::datagram),
];

/// Options of the scaling measurements.
#[derive(Clone, Debug)]
pub struct SlopesOptions {
    /// Output folder, with a CSV file and a plot for each slope.
    pub out: PathBuf,
    /// Names of the slopes to measure. If there are neither names nor runs of an entry, all slopes are measured.
    pub only: Vec<Box<str>>,
    /// Measured runs of an entry process under load, which make up the slope `entry`.
    pub entry: Vec<EntryRun>,
}

/// Measures slopes, writes each of them as CSV and SVG, and returns them.
pub fn slopes(options: &SlopesOptions) -> Result<Vec<Slope>> {
    if let Some(unknown) = options.only.iter().find(|name| !MEASUREMENTS.iter().any(|known| *known.0 == ***name)) {
        let known: Vec<_> = MEASUREMENTS.iter().map(|known| known.0).collect();
        return Err(invalid_input(format!("unknown slope '{unknown}'; expected one of {}", known.join(", "))));
    }
    let create_error = || format!("cannot create {}", options.out.display());
    fs::create_dir_all(&options.out).change_context(ErrorKind::Io).attach_with(create_error)?;
    let is_all = options.only.is_empty() && options.entry.is_empty();
    let mut measured = Vec::new();
    for (name, measure) in MEASUREMENTS {
        if is_all || options.only.iter().any(|only| **only == *name) {
            let slope = measure().attach_with(|| format!("cannot measure slope {name}"))?;
            save(slope, options, &mut measured)?;
        }
    }
    if !options.entry.is_empty() {
        save(entry::slope(&options.entry), options, &mut measured)?;
    }
    Ok(measured)
}

/// Writes a slope immediately, so that it is not lost if a later measurement fails.
fn save(slope: Slope, options: &SlopesOptions, measured: &mut Vec<Slope>) -> Result<()> {
    slope.write(&options.out)?;
    plot::plot(&slope, &options.out)?;
    measured.push(slope);
    Ok(())
}
