//! The cases.

use crate::{
    backend::{Backend, Profile, Run, other_writer as send_other_heartbeats},
    fleet::{Fleet, SIGCONT, SIGSTOP, configuration, submit, with_tenants},
    http,
    record::Record,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const DEADLINE_MS: u64 = 1_500;

/// An answered request of a client.
#[derive(Clone, Debug)]
struct Sent {
    attempt: String,
    at: f64,
    result: Result<u16, String>,
    body: String,
}

fn sleep(seconds: f64) {
    if seconds > 0.0 {
        thread::sleep(Duration::from_secs_f64(seconds));
    }
}

fn sleep_until(record: &Record, at: f64) {
    sleep(at - record.now());
}

/// Sends an order and records its answer.
fn order(record: &Record, front: SocketAddr, attempt: &str) -> Sent {
    order_with(record, front, attempt, &[])
}

/// Sends an order with further headers and records its answer.
fn order_with(record: &Record, front: SocketAddr, attempt: &str, further: &[(&str, &str)]) -> Sent {
    let at = record.now();
    let deadline = DEADLINE_MS.to_string();
    let mut headers = vec![("Host", "orders.example"), ("Attempt-Id", attempt), ("Deadline-Ms", deadline.as_str())];
    headers.extend_from_slice(further);
    let limit = Duration::from_millis(DEADLINE_MS + 200);
    let answer = http::call(front, "POST", &format!("/orders/{attempt}"), &headers, b"one kit", limit);
    let body = answer.as_ref().map_or(String::new(), |answer| String::from_utf8_lossy(&answer.body).trim().to_owned());
    let signature = answer.as_ref().ok().and_then(|answer| answer.header("response-signature").map(str::to_owned));
    let result = answer.map(|answer| answer.status);
    record.line(&format!(
        "client: {attempt} sent to {front} at {at:.3}{}: {result:?}, signature {}, {body}",
        further.iter().map(|(name, value)| format!(", {name}: {value}")).collect::<String>(),
        signature.as_deref().unwrap_or("none")
    ));
    Sent { attempt: attempt.into(), at, result, body }
}

fn backend(
    record: &Record,
    fleet: &Fleet,
    place: usize,
    service: &str,
    runs: &Arc<Mutex<Vec<Run>>>,
) -> Result<Backend, String> {
    let profile = Profile {
        id: format!("i-{service}{place}"),
        service: service.into(),
        zone: ["zone-a", "zone-b", "zone-c"][place % 3].into(),
        address: SocketAddr::new(fleet.backends[place], 8185),
        work: Duration::from_millis(50),
    };
    Backend::start(profile, fleet.control(), runs.clone(), record)
}

/// An entry that was frozen while a configuration moved a route gets a request from an entry that is in touch.
pub fn stale_relay(record: &Record, has_trouble: bool) -> Result<bool, String> {
    const FREEZE: f64 = 4.9;
    const APPLY: f64 = 2.0;
    const ROLLBACK_SLACK: f64 = 0.25;
    let mut fleet = Fleet::new(10, record)?;
    let runs = Arc::<Mutex<Vec<Run>>>::default();
    for node in fleet.replicas.iter_mut().chain(&mut fleet.entries) {
        node.start(true)?;
    }
    sleep(0.5);
    let mut old = Vec::new();
    for place in [0, 2, 3] {
        old.push(backend(record, &fleet, place, "old", &runs)?);
    }
    // The new service has its backends in one zone, which has no others.
    let new = [backend(record, &fleet, 1, "new", &runs)?, backend(record, &fleet, 4, "new", &runs)?];
    let control = fleet.control();
    let services = ["old", "new"];
    submit(record, &control, 3, &configuration(3, "unsafe", "old", &services), Duration::from_secs(10))
        .ok_or("the first configuration was not acknowledged")?;
    fleet.wait_until_ready(Duration::from_secs(15))?;
    // The machines are in touch three seconds after their start.
    sleep(4.0);
    let fronts: Vec<_> = fleet.entries.iter().map(|entry| entry.front()).collect();
    for (place, front) in fronts.iter().enumerate() {
        order(record, *front, &format!("before{place}"));
    }
    let frozen = record.now();
    if has_trouble {
        fleet.entries[1].signal(SIGSTOP);
    }
    sleep_until(record, frozen + 2.6);
    let acknowledged =
        submit(record, &control, 7, &configuration(7, "unsafe", "new", &services), Duration::from_secs(4))
            .ok_or("the second configuration was not acknowledged")?;
    // The entry that stays in touch obeys the new version: its requests run at the new service.
    sleep(0.5);
    for turn in 0..3 {
        order(record, fronts[0], &format!("effect{turn}"));
    }
    sleep_until(record, frozen + 4.0);
    if has_trouble {
        new.iter().for_each(Backend::crash);
    }
    // Requests to the entry in touch only, from `config_apply_s` after the acknowledgement on.
    let mut clients = Vec::new();
    for turn in 0..12 {
        let (record, front) = (record.clone(), fronts[0]);
        let at = acknowledged + APPLY + 0.02 + 0.02 * f64::from(turn);
        clients.push(thread::spawn(move || {
            sleep_until(&record, at);
            order(&record, front, &format!("late{turn:02}"))
        }));
    }
    sleep_until(record, frozen + FREEZE);
    if has_trouble {
        fleet.entries[1].signal(SIGCONT);
    }
    let sent: Vec<Sent> = clients.into_iter().map(|client| client.join().expect("a client does not fail")).collect();
    sleep(1.0);
    let runs = runs.lock().unwrap().clone();
    let run_of = |attempt: &str| runs.iter().find(|run| run.attempt == attempt);
    let effect = (0..3).filter_map(|turn| run_of(&format!("effect{turn}"))).find(|run| run.service == "new");
    let Some(effect) = effect else { return Err("the new version had no effect at the first entry".into()) };
    let mut broken = 0;
    for request in &sent {
        let Some(run) = run_of(&request.attempt).filter(|run| run.service == "old") else { continue };
        let is_late = request.at > acknowledged + APPLY && request.at > effect.at + ROLLBACK_SLACK;
        broken += usize::from(is_late);
        record.line(&format!(
            "{}: sent {:.3} s after the acknowledgement and {:.3} s after a backend saw the effect, run by the old service \
             {:.3} s after the acknowledgement; the client got {:?}, {}",
            request.attempt,
            request.at - acknowledged,
            request.at - effect.at,
            run.at - acknowledged,
            request.result,
            request.body
        ));
    }
    record.line(&format!("{broken} of {} requests were handled as only the older version allows", sent.len()));
    Ok(broken > 0)
}

/// The keys of the last tenant are taken away.
pub fn last_tenant(record: &Record, has_trouble: bool) -> Result<bool, String> {
    /// Longer than `config_apply_s` (2) and `revoke_s` (5) after the acknowledgement.
    const IN_FORCE: f64 = 6.0;
    let mut fleet = Fleet::new(2, record)?;
    let runs = Arc::<Mutex<Vec<Run>>>::default();
    for node in fleet.replicas.iter_mut().chain(&mut fleet.entries) {
        node.start(true)?;
    }
    sleep(0.5);
    let mut backends = Vec::new();
    for place in 0..3 {
        backends.push(backend(record, &fleet, place, "kits", &runs)?);
    }
    let control = fleet.control();
    let configure = |version: u64, tenants: &[(&str, &str)]| {
        let body = with_tenants(&configuration(version, "unsafe", "kits", &["kits"]), tenants);
        submit(record, &control, version, &body, Duration::from_secs(10))
            .ok_or(format!("version {version} was not acknowledged"))
    };
    let (school, club) = (("school", "key-of-school"), ("club", "key-of-club"));
    configure(3, &[school, club])?;
    fleet.wait_until_ready(Duration::from_secs(15))?;
    sleep(4.0);
    let fronts: Vec<_> = fleet.entries.iter().map(|entry| entry.front()).collect();
    let ask = |name: &str| {
        for (place, front) in fronts.iter().enumerate() {
            order_with(record, *front, &format!("{name}-school{place}"), &[("Credential", school.1)]);
            order_with(record, *front, &format!("{name}-club{place}"), &[("Credential", club.1)]);
            order_with(record, *front, &format!("{name}-guess{place}"), &[("Credential", "key-that-never-was")]);
            let claim = [("Credential", "key-of-nobody"), ("Tenant", school.0)];
            order_with(record, *front, &format!("{name}-claim{place}"), &claim);
        }
    };
    ask("both");
    configure(5, &[school])?;
    sleep(IN_FORCE);
    ask("one");
    // Without the disruption the school keeps its key.
    let left: &[(&str, &str)] = if has_trouble { &[] } else { &[school] };
    configure(7, left)?;
    sleep(IN_FORCE);
    ask("last");
    let limit = Duration::from_secs(2);
    if let Ok(answer) = http::call(control[0], "GET", "/v1/Config.Read", &[], &[], limit) {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let contains = text.contains("\"tenants\"");
        record.line(&format!("operator: Config.Read: {}, contains tenants: {contains}", answer.status));
    }
    let mut broken = 0;
    for run in runs.lock().unwrap().iter() {
        let (version, caller) = run.attempt.split_once('-').unwrap_or_default();
        let caller = caller.trim_end_matches(|c: char| c.is_ascii_digit());
        let may_run = match (version, caller) {
            ("both", "school" | "club") | ("one", "school") => true,
            ("last", "school") => !has_trouble,
            _ => false,
        };
        if run.credential.is_some() || !may_run || run.tenant.as_deref() != Some(caller) {
            broken += 1;
            let key = match caller {
                "guess" | "claim" => "with a key that no configuration ever held",
                _ if may_run => "with a key that is held",
                _ => "with a key that was taken away",
            };
            record.line(&format!(
                "{} ran {key}; Credential at the backend: {}; Tenant at the backend: {}",
                run.attempt,
                run.credential.as_deref().unwrap_or("none"),
                run.tenant.as_deref().unwrap_or("none")
            ));
        }
    }
    record.line(&format!("{broken} requests ran against the rules on keys"));
    Ok(broken > 0)
}

/// Another writer sends heartbeats in which a field is missing, from the final fault on.
pub fn other_writer(record: &Record, has_trouble: bool) -> Result<bool, String> {
    const RECOVERY: f64 = 15.0;
    let mut fleet = Fleet::new(2, record)?;
    let runs = Arc::<Mutex<Vec<Run>>>::default();
    for node in fleet.replicas.iter_mut().chain(&mut fleet.entries) {
        node.start(true)?;
    }
    sleep(0.5);
    let mut backends = Vec::new();
    for place in 0..3 {
        backends.push(backend(record, &fleet, place, "kits", &runs)?);
    }
    let control = fleet.control();
    let configure = |version: u64| {
        let body = configuration(version, "unsafe", "kits", &["kits"]);
        submit(record, &control, version, &body, Duration::from_secs(10))
            .ok_or(format!("version {version} was not acknowledged"))
    };
    configure(3)?;
    fleet.wait_until_ready(Duration::from_secs(15))?;
    sleep(4.0);
    let fronts: Vec<_> = fleet.entries.iter().map(|entry| entry.front()).collect();
    let ask = |name: &str, seconds: f64| {
        let begin = record.now();
        let mut served = (0, 0);
        while record.now() < begin + seconds {
            for (place, front) in fronts.iter().enumerate() {
                let sent = order(record, *front, &format!("{name}{place}-{:03}", served.0));
                served = (served.0 + 1, served.1 + usize::from(sent.result == Ok(200)));
            }
            sleep(0.3);
        }
        served
    };
    let before = ask("before", 4.0);
    // The final fault: all processes are killed right after an acknowledgement.
    configure(5)?;
    for node in fleet.replicas.iter_mut().chain(&mut fleet.entries) {
        node.kill();
    }
    sleep(0.9);
    for node in fleet.replicas.iter_mut().chain(&mut fleet.entries) {
        node.start(false)?;
    }
    let back = record.now();
    if has_trouble {
        let (addresses, record) = (backends.iter().map(Backend::address).collect(), record.clone());
        let control = control.clone();
        thread::spawn(move || send_other_heartbeats("kits".into(), addresses, control, record));
    }
    sleep_until(record, back + RECOVERY);
    let after = ask("after", 10.0);
    record.line(&format!("before the final fault {} of {} requests were served", before.1, before.0));
    record.line(&format!("later than {RECOVERY} s after the processes were back: {} of {}", after.1, after.0));
    if 4 * before.1 < before.0 {
        return Err("less than a quarter was served before the final fault".into());
    }
    Ok(4 * after.1 < after.0)
}
