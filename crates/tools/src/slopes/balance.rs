//! Scaling of the dispatcher: cost of a call, of a tick and of slot messages.

use {
    super::{
        Slope, clock,
        dispatcher_group::{DispatcherGroup, GroupOptions, MEAN_SERVICE_TIME, SLOTS_PER_SERVER},
    },
    hemlockford_core::errors::Result,
    std::time::Duration,
};

const SERVER_COUNTS: [usize; 6] = [20, 58, 120, 380, 950, 1_900];
/// Share of all slots that are in use.
const UTILIZATION: f64 = 0.6;
/// Time in which coordinators assume their role and permits are distributed.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Maximum number of runs that are averaged.
const MAX_ROUNDS: usize = 200;
/// Rate in calls per second while another quantity is varied.
const DEFAULT_RATE: f64 = 14_400.0;
/// Virtual time that is measured.
const MEASURED_TIME: Duration = Duration::from_secs(2);
/// Virtual time that is measured at the design target, where a second has as many calls as ten seconds otherwise.
const MEASURED_TIME_AT_TARGET: Duration = Duration::from_millis(500);

/// Processor time of a call (choice of the server and end of the call) and of a tick, by the number of known servers.
pub(super) fn choice() -> Result<Slope> {
    let mut slope = Slope::new(
        "choice",
        "Dispatcher of one entry against servers known",
        "servers",
        &["processor us of one call (choice and end)", "processor us of one tick without calls"],
    );
    for (line, services) in [("1 service", 1), ("58 services", 58)] {
        for servers in SERVER_COUNTS.into_iter().filter(|servers| *servers >= services) {
            let options = GroupOptions { entries: 1, services, servers, rate: 0.0 };
            let (tick, _) = measure_ticks(options, 1_000)?;
            let rate = UTILIZATION * (servers * SLOTS_PER_SERVER) as f64 / MEAN_SERVICE_TIME.as_secs_f64();
            // The calls of a millisecond share one tick, whose own time is subtracted.
            let seconds = (30_000.0 / rate).clamp(0.1, 3.0);
            let ticks = (seconds * 1e3) as usize;
            let (busy, calls) = measure_ticks(GroupOptions { rate, ..options }, ticks)?;
            slope.push(line, servers as f64, &[(busy - tick) * ticks as f64 / calls * 1e6, tick * 1e6]);
        }
    }
    Ok(slope)
}

/// Returns the mean processor time of a tick with all events of its millisecond, and the number of calls in all ticks.
fn measure_ticks(options: GroupOptions, ticks: usize) -> Result<(f64, f64)> {
    let mut group = DispatcherGroup::new(options)?;
    group.run(WARM_UP)?;
    let (start, before) = (clock::processor_time()?, group.calls);
    for rounds in 1.. {
        group.run(Duration::from_millis(ticks as u64))?;
        let elapsed = clock::processor_time()? - start;
        if elapsed >= clock::MIN_PROCESSOR_TIME || rounds == MAX_ROUNDS {
            let rounds = rounds as f64;
            return Ok((elapsed / rounds / ticks as f64, (group.calls - before) as f64 / rounds));
        }
    }
    Ok((0.0, 0.0))
}

/// Slot messages of an entry, by the numbers of entries, services and calls.
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
    let servers_for =
        |rate: f64| (rate * MEAN_SERVICE_TIME.as_secs_f64() / (UTILIZATION * SLOTS_PER_SERVER as f64)).ceil() as usize;
    let servers = servers_for(DEFAULT_RATE);
    for entries in [2, 3, 6, 12, 24, 48] {
        let options = GroupOptions { entries, services: 3, servers, rate: DEFAULT_RATE };
        push_point(&mut slope, "entries (3 services 14400 calls/s)", entries as f64, options)?;
    }
    for services in [1, 3, 6, 12, 24, 40] {
        let options = GroupOptions { entries: 6, services, servers, rate: DEFAULT_RATE };
        push_point(&mut slope, "services (6 entries 14400 calls/s)", services as f64, options)?;
    }
    for rate in [600.0, 1_200.0, 2_400.0, 4_800.0, 9_600.0, 19_200.0] {
        let options = GroupOptions { entries: 6, services: 3, servers: servers_for(rate), rate };
        push_point(&mut slope, "calls/s (6 entries 3 services)", rate, options)?;
    }
    Ok(slope)
}

/// Slot messages and processor time at the design target, by the number of entries.
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
        push_point(&mut slope, "every entry uses every server", entries as f64, options)?;
        // Each part of six entries has its own share of the servers, either of all services or of some of them.
        let parts = entries / 6;
        if entries % 6 == 0 {
            let (servers, rate) = (1_900 / parts, 150_000.0 / parts as f64);
            let options = GroupOptions { entries: 6, services: 58, servers, rate };
            push_point(&mut slope, "parts of 6 entries with their own servers", entries as f64, options)?;
            let services = 58_usize.div_ceil(parts);
            let options = GroupOptions { entries: 6, services, servers, rate };
            push_point(&mut slope, "parts of 6 entries with their own services", entries as f64, options)?;
        }
    }
    Ok(slope)
}

fn push_point(slope: &mut Slope, line: &str, x: f64, options: GroupOptions) -> Result<()> {
    let measured_time = if options.rate > DEFAULT_RATE { MEASURED_TIME_AT_TARGET } else { MEASURED_TIME };
    let mut group = DispatcherGroup::new(options)?;
    group.run(WARM_UP)?;
    let start = clock::processor_time()?;
    let (messages, bytes, answered) = (group.messages, group.bytes, group.answered);
    group.run(measured_time)?;
    let entry_seconds = measured_time.as_secs_f64() * options.entries as f64;
    let answered = (group.answered - answered).max(1) as f64;
    let bytes = (group.bytes - bytes) as f64;
    let processor = (clock::processor_time()? - start) / answered * 1e6;
    let messages = (group.messages - messages) as f64 / entry_seconds;
    slope.push(line, x, &[bytes / entry_seconds, messages, bytes / answered, processor]);
    Ok(())
}
