//! Scaling of the control component: heartbeats, announcements and configuration changes.

use {
    super::{
        Slope, clock, configs,
        control_group::{ControlGroup, GroupOptions, Traffic, announcement, service_count},
    },
    error_stack::ResultExt,
    hemlockford_core::{
        config::Configuration,
        errors::{ErrorKind, Result},
    },
    std::time::Duration,
};

/// Time in which the group forms and elects a leader.
const FORMATION_TIME: Duration = Duration::from_secs(3);
/// Time in which every server announces itself at least twice. The first record of a server is longer than the others.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(2);
/// Virtual time of one round of a measurement.
const ROUND_TIME: Duration = Duration::from_secs(4);
/// Maximum number of rounds of a measurement.
const MAX_ROUNDS: usize = 50;
/// Time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// Number of changes that are averaged.
const CHANGE_COUNT: u64 = 40;

const RELAY_QUANTITIES: [&str; 5] = [
    "relay bytes/s sent by a node",
    "relay datagrams/s sent by a node",
    "control part: share of a core in %",
    "dispatcher updates: share of a core in %",
    "bytes/s of announcements at a node",
];

/// Heartbeats, by the number of instances.
pub(super) fn heartbeat() -> Result<Slope> {
    let mut slope = Slope::new(
        "heartbeat",
        "Heartbeats without servers",
        "instances",
        &["heartbeat bytes/s sent by a node", "share of a core of a node in %", "replication bytes/s of the leader"],
    );
    for instances in [3, 5, 7, 14, 25, 36, 50] {
        let mut group = start_group(GroupOptions { instances, servers: 0, with_dispatcher: false }, 3)?;
        let (processor, traffic) = measure(&mut group)?;
        let leader = group.leader().unwrap_or_default();
        let before = group.sent[leader].other_bytes;
        group.run(ROUND_TIME)?;
        let replication = (group.sent[leader].other_bytes - before) / ROUND_TIME.as_secs_f64();
        let nodes = instances as f64;
        let values = [traffic.heartbeat_bytes / nodes, processor / nodes * 100.0, replication];
        slope.push("3 control replicas", nodes, &values);
    }
    Ok(slope)
}

/// Announcements and their relay, by the numbers of servers and entries.
pub(super) fn relay() -> Result<Slope> {
    let mut slope = Slope::new(
        "relay",
        "Announcements each 800 ms and their relay to all entries",
        "servers or entries",
        &RELAY_QUANTITIES,
    );
    for servers in [36, 120, 400, 900, 1_900] {
        push_relay(&mut slope, "servers (7 entries)", servers as f64, 7, servers)?;
    }
    for entries in [3, 7, 14, 28] {
        push_relay(&mut slope, "entries (400 servers)", entries as f64, entries, 400)?;
    }
    Ok(slope)
}

/// Announcements and their relay at the design target, by the number of entries.
pub(super) fn relay_target() -> Result<Slope> {
    let mut slope = Slope::new("relay-target", "Announcements of 1900 servers", "entries", &RELAY_QUANTITIES);
    for entries in [3, 5, 7, 14] {
        push_relay(&mut slope, "1900 servers of 58 services", entries as f64, entries, 1_900)?;
    }
    Ok(slope)
}

fn push_relay(slope: &mut Slope, line: &str, x: f64, instances: usize, servers: usize) -> Result<()> {
    let services = service_count(servers);
    let mut results = Vec::new();
    for (servers, with_dispatcher) in [(0, false), (servers, false), (servers, true)] {
        let mut group = start_group(GroupOptions { instances, servers, with_dispatcher }, services)?;
        group.run(ANNOUNCEMENT_TIME)?;
        if group.known_servers() != servers {
            return Err(hemlockford_core::errors::unavailable("the first instance does not know every server"));
        }
        results.push(measure(&mut group)?);
    }
    let nodes = instances as f64;
    let core_percent = |with: usize, without: usize| (results[with].0 - results[without].0).max(0.0) / nodes * 100.0;
    let traffic = results[1].1;
    let body = serde_json::to_vec(&announcement(0, services)).change_context(ErrorKind::InvalidInput)?;
    let announced_bytes = announcement_bytes(body.len()) * servers as f64 / 0.8 / nodes;
    let (bytes, messages) = (traffic.relay_bytes / nodes, traffic.relay_messages / nodes);
    slope.push(line, x, &[bytes, messages, core_percent(1, 0), core_percent(2, 1), announced_bytes]);
    Ok(())
}

/// Returns the bytes on the wire, in both directions, of one announcement by `POST` over an open connection.
fn announcement_bytes(body: usize) -> f64 {
    let request = format!(
        "POST /announce HTTP/1.1\r\nhost: 10.0.0.1:8081\r\ncontent-type: application/json\r\n\
         accept-encoding: \r\ndate: Thu, 03 Dec 2026 10:00:00 GMT\r\ncontent-length: {body}\r\n\r\n"
    );
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\ndate: Thu, 03 Dec 2026 10:00:00 GMT\r\n\r\n";
    // The answer also acknowledges the request, and one further segment acknowledges the answer.
    (request.len() + body + answer.len() + 3 * 52) as f64
}

/// A configuration change, by the size of the configuration and by the number of instances.
pub(super) fn change() -> Result<Slope> {
    let mut slope = Slope::new(
        "change",
        "One change: 1 ms between instances and 2 ms for an fsync (virtual time)",
        "services or instances",
        &[
            "bytes of the text",
            "bytes sent by the leader for a change",
            "ms until in force on every instance",
            "us to parse and check the text (least)",
            "processor ms of a node for a change",
        ],
    );
    for services in [3, 15, 60, 120, 240] {
        push_change(&mut slope, "services (7 instances)", services as f64, 7, services)?;
    }
    for instances in [3, 7, 14, 28, 50] {
        push_change(&mut slope, "instances (60 services)", instances as f64, instances, 60)?;
    }
    Ok(slope)
}

fn push_change(slope: &mut Slope, line: &str, x: f64, instances: usize, services: usize) -> Result<()> {
    let mut group = start_group(GroupOptions { instances, servers: 0, with_dispatcher: false }, services)?;
    let idle_processor = measure(&mut group)?.0;
    let leader = group.leader().unwrap_or_default();
    let (start, bytes, begin) = (clock::processor_time()?, group.sent[leader].other_bytes, group.now());
    let mut slowest_change = Duration::ZERO;
    for number in 0..CHANGE_COUNT {
        slowest_change =
            slowest_change.max(group.submit(instances - 1, 2 + number, configs::config(2 + number, services))?);
        group.run(CHANGE_INTERVAL)?;
    }
    let elapsed = (group.now() - begin).as_secs_f64();
    let processor = (clock::processor_time()? - start - idle_processor * elapsed).max(0.0)
        / (CHANGE_COUNT * instances as u64) as f64;
    let bytes = (group.sent[leader].other_bytes - bytes) / CHANGE_COUNT as f64;
    let config = configs::config(9, services);
    let (parse, _) = clock::time_runs(100, || drop(Configuration::parse(&config)));
    let in_force = slowest_change.as_secs_f64() * 1e3;
    slope.push(line, x, &[config.len() as f64, bytes, in_force, parse * 1e6, processor * 1e3]);
    Ok(())
}

fn start_group(options: GroupOptions, services: usize) -> Result<ControlGroup> {
    let mut group = ControlGroup::new(options);
    group.run(FORMATION_TIME)?;
    group.submit(0, 1, configs::config(1, services))?;
    Ok(group)
}

/// Returns the processor time and the traffic of all instances per second of virtual time.
fn measure(group: &mut ControlGroup) -> Result<(f64, Traffic)> {
    let (start, begin, before) = (clock::processor_time()?, group.now(), group.total());
    for _ in 0..MAX_ROUNDS {
        group.run(ROUND_TIME)?;
        if clock::processor_time()? - start >= clock::MIN_PROCESSOR_TIME {
            break;
        }
    }
    let (processor, after) = (clock::processor_time()? - start, group.total());
    let seconds = (group.now() - begin).as_secs_f64();
    let traffic = Traffic {
        heartbeat_bytes: (after.heartbeat_bytes - before.heartbeat_bytes) / seconds,
        relay_bytes: (after.relay_bytes - before.relay_bytes) / seconds,
        relay_messages: (after.relay_messages - before.relay_messages) / seconds,
        other_bytes: (after.other_bytes - before.other_bytes) / seconds,
    };
    Ok((processor / seconds, traffic))
}
