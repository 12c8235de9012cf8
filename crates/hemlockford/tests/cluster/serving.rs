//! Behaviour of entries that are isolated, frozen, stopped or killed.

use {
    crate::{
        cluster::{APPLY_LIMIT, Cluster},
        process::run,
        system::{StandInServers, get},
    },
    serde_json::Value,
    std::{thread, time::Duration},
};

/// Specified time after which a leaving server gets no new calls.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);

fn run_load(cluster: &Cluster, members: &[usize], servers: &StandInServers, options: &[&str]) -> (i32, Value) {
    let mut arguments = vec!["load", "--json", "--control", &servers.control_address];
    for member in members {
        arguments.extend(["--target", &cluster.members[*member].caller_address]);
    }
    arguments.extend(options);
    let output = run(&arguments);
    let summary =
        serde_json::from_str(&output.stdout).unwrap_or_else(|e| panic!("the summary is not JSON: {e}: {output:?}"));
    (output.code, summary)
}

/// Guards against an isolated entry that keeps serving with an old configuration.
#[test]
fn an_isolated_entry_stops_serving_and_returns_with_the_current_configuration() {
    let cluster = Cluster::start(5, 3);
    let servers = cluster.start_servers(&["--servers", "2", "--service-time", "1ms"]);
    cluster.isolate(4);
    cluster.wait_until(APPLY_LIMIT, "the isolated entry is not ready", |cluster| !cluster.members[4].is_ready());
    assert_eq!(get(&cluster.members[4].caller_address, "/catalogue/cut").0, 503);
    let output = cluster.submit_until_final(0, 2, "", Duration::from_secs(15));
    assert_eq!(output.code, 0, "{output:?}");
    assert!(cluster.members[..4].iter().all(|member| member.is_ready()));
    assert_eq!(cluster.members[4].change_number(), 1);
    cluster.heal(4);
    cluster.wait_until(APPLY_LIMIT, "the entry is ready and applies the change", |cluster| {
        cluster.members[4].is_ready() && cluster.members[4].change_number() == 2
    });
    let (status, body) = get(&cluster.members[4].caller_address, "/catalogue/back");
    assert_eq!(status, 200, "the entry was ready before it knew a server: {body}");
    drop(servers);
}

/// Guards against a frozen entry that serves calls with its old configuration when it resumes.
#[test]
fn a_resumed_entry_serves_nothing_with_its_old_configuration() {
    let cluster = Cluster::start(5, 3);
    let extra_lines = "[service retired]\n";
    let output = cluster.submit_until_final(0, 2, extra_lines, Duration::from_secs(15));
    assert_eq!(output.code, 0, "{output:?}");
    let servers = cluster.start_servers(&["--servers", "2", "--service", "retired", "--service-time", "1ms"]);
    cluster.members[4].signal("STOP");
    thread::sleep(Duration::from_secs(3));
    let output = cluster.submit_until_final(0, 3, "", Duration::from_secs(15));
    assert_eq!(output.code, 0, "{output:?}");
    // The call waits in the socket of the frozen entry, which reads it first when it resumes.
    let callers = cluster.members[4].caller_address.clone();
    let call = thread::spawn(move || get(&callers, "/retired/late"));
    thread::sleep(Duration::from_millis(200));
    cluster.members[4].signal("CONT");
    let (status, body) = call.join().expect("the calling thread does not panic");
    assert_ne!(status, 200, "served with the old configuration: {body}");
    cluster.wait_until(APPLY_LIMIT, "the entry applies the change", |cluster| cluster.members[4].change_number() == 3);
    drop(servers);
}

/// Guards against a planned stop that truncates answers or answers calls with an unknown outcome.
#[test]
fn a_planned_stop_under_load_cuts_nothing_off() {
    let mut cluster = Cluster::start(5, 3);
    let servers = cluster.start_servers(&["--servers", "6", "--service-time", "exponential:20ms"]);
    let leader = cluster.leader_index();
    let (code, summary) = thread::scope(|scope| {
        let (cluster, servers) = (&cluster, &servers);
        let options = ["--rate", "300", "--time", "5s", "--method", "get=1", "--method", "post=1"];
        let load = scope.spawn(move || run_load(cluster, &[0, 1, 2, 3, 4], servers, &options));
        thread::sleep(Duration::from_secs(1));
        cluster.members[leader].signal("TERM");
        load.join().expect("the load generator does not panic")
    });
    assert_eq!(code, 0, "{summary}");
    assert_eq!(summary["total"]["unknown"], serde_json::json!({}), "{summary}");
    let (code, _) = cluster.members[leader].process.as_mut().expect("the instance has a process").wait_for_exit();
    assert_eq!(code, 0, "exit code of the planned stop");
}

/// Guards against calls that are answered with a false outcome or run twice when an entry and the leader are killed.
#[test]
fn a_killed_entry_repeats_nothing() {
    let mut cluster = Cluster::start(5, 3);
    let servers = cluster.start_servers(&["--servers", "6", "--service-time", "exponential:20ms"]);
    let targets: Vec<_> = cluster.members.iter().map(|member| member.caller_address.clone()).collect();
    let control = servers.control_address.clone();
    let load = thread::spawn(move || {
        let mut arguments = vec!["load", "--json", "--control", &control];
        arguments.extend(targets.iter().flat_map(|target| ["--target", target]));
        arguments.extend(["--rate", "300", "--time", "5s", "--method", "get=1", "--method", "post=1"]);
        run(&arguments)
    });
    thread::sleep(Duration::from_secs(1));
    cluster.members[3].kill();
    thread::sleep(Duration::from_secs(1));
    let leader = cluster.leader_index();
    cluster.members[leader].kill();
    let output = load.join().expect("the load generator does not panic");
    assert_eq!(output.code, 0, "{output:?}");
}

/// Guards against new calls to a leaving server when the only entry that received its announcement is killed.
#[test]
fn a_leaving_server_gets_no_new_calls_after_the_entry_that_it_announced_to_was_killed() {
    let mut cluster = Cluster::start(5, 3);
    let staying = cluster.start_servers(&["--servers", "3", "--service-time", "5ms", "--prefix", "stays"]);
    // The leaving server announces itself to one entry only.
    let announced_to = cluster.members[4].admin_address.clone();
    let leaving = StandInServers::start(&[
        "emulate",
        "--entry",
        &announced_to,
        "--service-time",
        "5ms",
        "--servers",
        "2",
        "--prefix",
        "leaves",
    ]);
    cluster.wait_until(APPLY_LIMIT, "every instance knows all servers", |cluster| {
        cluster.members.iter().all(|member| member.status()["servers"].as_array().is_some_and(|all| all.len() == 5))
    });
    let (code, summary) = thread::scope(|scope| {
        let (cluster, staying) = (&cluster, &staying);
        let load = scope.spawn(move || run_load(cluster, &[0, 1, 2, 3], staying, &["--rate", "200", "--time", "7s"]));
        thread::sleep(Duration::from_secs(1));
        leaving.set_mode("leaves-0", "mode=leaving");
        // Whether or not the entry has received the announcement, it can no longer forward it.
        cluster.members[4].signal("KILL");
        load.join().expect("the load generator does not panic")
    });
    cluster.members[4].kill();
    assert_eq!(code, 0, "{summary}");
    let server = leaving.server_counts("leaves-0");
    let time =
        |key: &str| Duration::from_millis(server[key].as_u64().unwrap_or_else(|| panic!("no count {key} in {server}")));
    let after = time("last_started_ms").saturating_sub(time("leaving_since_ms"));
    println!("last new call {after:?} after the server started leaving");
    assert!(after <= LEAVE_LIMIT, "a new call {after:?} after the server started leaving: {server}");
}
