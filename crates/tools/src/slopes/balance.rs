//! Slopes of the dispatcher: a choice, a tick, and slot messages.

use {
    super::{
        Slope, clock,
        dispatcher_group::{DispatcherGroup, GroupOptions, SLOTS, WORK},
    },
    hemlockford_core::errors::Result,
    std::time::Duration,
};

const SERVERS: [usize; 6] = [20, 58, 120, 380, 950, 1_900];
/// Share of all slots in use.
const LOAD: f64 = 0.6;
/// Time in which coordinators take up their role and permits spread.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Runs of which the mean is taken at most.
const MAX_ROUNDS: usize = 200;
/// Calls a second in the comparisons that vary something else.
const RATE: f64 = 14_400.0;
const MEASURED: Duration = Duration::from_secs(2);
/// The same at the design target, where a second has as many calls as ten seconds otherwise.
const MEASURED_TARGET: Duration = Duration::from_millis(500);

/// Processor time of a call's two decisions (its choice and its end) and of ticks, against servers known.
pub(super) fn choice() -> Result<Slope> {
    let mut slope = Slope::new(
        "choice",
        "Dispatcher of one entry against servers known",
        "servers",
        &["processor us of one call (choice and end)", "processor us of one tick without calls"],
    );
    for (line, services) in [("1 service", 1), ("58 services", 58)] {
        for servers in SERVERS.into_iter().filter(|servers| *servers >= services) {
            let options = GroupOptions { entries: 1, services, servers, rate: 0.0 };
            let (tick, _) = time_of(options, 1_000)?;
            let rate = LOAD * (servers * SLOTS) as f64 / WORK.as_secs_f64();
            // The calls share one tick each millisecond, whose own time is taken off.
            let seconds = (30_000.0 / rate).clamp(0.1, 3.0);
            let ticks = (seconds * 1e3) as usize;
            let (busy, calls) = time_of(GroupOptions { rate, ..options }, ticks)?;
            slope.push(line, servers as f64, &[(busy - tick) * ticks as f64 / calls * 1e6, tick * 1e6]);
        }
    }
    Ok(slope)
}

/// Returns the processor time of a tick with all that happens in the millisecond, and the calls of all ticks.
fn time_of(options: GroupOptions, ticks: usize) -> Result<(f64, f64)> {
    let mut group = DispatcherGroup::new(options)?;
    group.run(WARM_UP)?;
    let (start, before) = (clock::processor_time()?, group.calls);
    for rounds in 1.. {
        group.run(Duration::from_millis(ticks as u64))?;
        let taken = clock::processor_time()? - start;
        if taken >= clock::ENOUGH || rounds == MAX_ROUNDS {
            let rounds = rounds as f64;
            return Ok((taken / rounds / ticks as f64, (group.calls - before) as f64 / rounds));
        }
    }
    Ok((0.0, 0.0))
}

/// Slot messages of an entry against entries, services and calls.
pub(super) fn slots() -> Result<Slope> {
    let mut slope = Slope::new(
        "slots",
        "Slot messages at 60% load",
        "entries or services or calls/s",
        &[
            "bytes/s sent by an entry",
            "messages/s sent by an entry",
            "bytes of all entries for a call",
            "processor us of all dispatchers for a call",
        ],
    );
    let servers_for = |rate: f64| (rate * WORK.as_secs_f64() / (LOAD * SLOTS as f64)).ceil() as usize;
    let servers = servers_for(RATE);
    for entries in [2, 3, 6, 12, 24, 48] {
        let options = GroupOptions { entries, services: 3, servers, rate: RATE };
        push(&mut slope, "entries (3 services 14400 calls/s)", entries as f64, options)?;
    }
    for services in [1, 3, 6, 12, 24, 40] {
        let options = GroupOptions { entries: 6, services, servers, rate: RATE };
        push(&mut slope, "services (6 entries 14400 calls/s)", services as f64, options)?;
    }
    for rate in [600.0, 1_200.0, 2_400.0, 4_800.0, 9_600.0, 19_200.0] {
        let options = GroupOptions { entries: 6, services: 3, servers: servers_for(rate), rate };
        push(&mut slope, "calls/s (6 entries 3 services)", rate, options)?;
    }
    Ok(slope)
}

/// Slot messages and processor time at the design target, against entries.
pub(super) fn slots_target() -> Result<Slope> {
    let mut slope = Slope::new(
        "slots-target",
        "Slot messages with 1900 servers of 58 services and 150000 calls/s",
        "entries",
        &[
            "bytes/s sent by an entry",
            "messages/s sent by an entry",
            "bytes of all entries for a call",
            "processor us of all dispatchers for a call",
        ],
    );
    for entries in [7, 12, 24, 48] {
        let options = GroupOptions { entries, services: 58, servers: 1_900, rate: 150_000.0 };
        push(&mut slope, "every entry uses every server", entries as f64, options)?;
        // A part of six entries has its share of the servers, of all services or of some of them.
        let parts = entries / 6;
        if entries % 6 == 0 {
            let (servers, rate) = (1_900 / parts, 150_000.0 / parts as f64);
            let options = GroupOptions { entries: 6, services: 58, servers, rate };
            push(&mut slope, "parts of 6 entries with their own servers", entries as f64, options)?;
            let services = 58_usize.div_ceil(parts);
            let options = GroupOptions { entries: 6, services, servers, rate };
            push(&mut slope, "parts of 6 entries with their own services", entries as f64, options)?;
        }
    }
    Ok(slope)
}

fn push(slope: &mut Slope, line: &str, x: f64, options: GroupOptions) -> Result<()> {
    let measured = if options.rate > RATE { MEASURED_TARGET } else { MEASURED };
    let mut group = DispatcherGroup::new(options)?;
    group.run(WARM_UP)?;
    let start = clock::processor_time()?;
    let (messages, bytes, answered) = (group.messages, group.bytes, group.answered);
    group.run(measured)?;
    let per_entry = measured.as_secs_f64() * options.entries as f64;
    let answered = (group.answered - answered).max(1) as f64;
    let bytes = (group.bytes - bytes) as f64;
    let processor = (clock::processor_time()? - start) / answered * 1e6;
    let messages = (group.messages - messages) as f64 / per_entry;
    slope.push(line, x, &[bytes / per_entry, messages, bytes / answered, processor]);
    Ok(())
}
