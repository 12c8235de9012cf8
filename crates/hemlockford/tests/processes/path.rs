//! Calls through one entry, and the load generator and the relay that test them.

use {
    crate::{
        process::{Process, run},
        relay::Relay,
        system::{StandInServers, TestEntry, get},
    },
    std::{net::UdpSocket, time::Duration},
};

/// Guards against answers that are lost, truncated, mixed up or repeated without any fault, for every kind of body
/// framing.
#[test]
fn every_answer_is_whole_and_its_own() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&["--servers", "4", "--service-time", "exponential:2ms"]);
    for options in [
        &["--method", "get=3", "--method", "post=1", "--method", "put=1"][..],
        &["--pipeline", "8", "--method", "get=4", "--method", "post=1"],
        &["--method", "post", "--chunked", "--upload-bytes", "100000", "--answer-bytes", "300000"],
    ] {
        let mut arguments = vec!["--rate", "200", "--time", "1s", "--arrivals", "poisson", "--seed", "7"];
        arguments.extend(options);
        let (output, summary) = entry.run_load(&servers, &arguments);
        assert_eq!(output.code, 0, "{summary}");
        assert_eq!(summary["total"]["good"], summary["planned"], "{summary}");
        assert_eq!(summary["verification"]["repeated"], 0, "{summary}");
    }
    servers.set_mode("all", "mode=chunked");
    let (output, summary) = entry.run_load(&servers, &["--rate", "200", "--time", "1s"]);
    assert_eq!((output.code, &summary["total"]["good"]), (0, &summary["planned"]), "{summary}");
}

/// Guards against a load generator that counts calls as answered although the link is cut.
#[test]
fn calls_over_a_cut_link_are_not_answered() {
    let servers = StandInServers::start(&["emulate", "--servers", "1", "--service-time", "1ms"]);
    let relay = Relay::tcp(servers.addresses[0].parse().expect("an address"));
    let address = relay.address().to_string();
    let run_load = |duration: &str| {
        let mut process = Process::start(&[
            "load",
            "--json",
            "--direct",
            &address,
            "--rate",
            "100",
            "--timeout",
            "500ms",
            "--time",
            duration,
        ]);
        let summary = process.read_json_line();
        (process.wait_for_exit().0, summary)
    };
    let (code, summary) = run_load("300ms");
    assert_eq!((code, &summary["total"]["good"]), (0, &summary["planned"]), "{summary}");
    relay.cut();
    let (_, summary) = run_load("300ms");
    assert_eq!(summary["total"]["good"], 0, "{summary}");
    assert_eq!(summary["total"]["unknown"]["given-up"], summary["planned"], "{summary}");
    relay.heal();
    relay.reset();
    let (_, summary) = run_load("300ms");
    assert_eq!(summary["total"]["good"], summary["planned"], "{summary}");
}

/// Guards against a `demo` whose printed example call does not work.
#[test]
fn the_call_that_demo_prints_works() {
    let mut demo = Process::start(&["demo", "--time", "20s"]);
    let url = loop {
        let line = demo.read_line();
        assert!(!line.is_empty(), "the output does not contain an example call");
        if let Some((_, url)) = line.split_once("curl -i http://") {
            break url.trim().to_owned();
        }
    };
    let (address, path) = url.split_once('/').expect("a path");
    let (status, body) = get(address, &format!("/{path}"));
    assert_eq!(status, 200, "{body}");
    demo.signal("TERM");
    assert_eq!(demo.wait_for_exit().0, 0);
}

/// Guards against an instance that does not exit with code 0 on SIGTERM.
#[test]
fn an_instance_exits_on_sigterm() {
    let mut entry = TestEntry::start();
    entry.process.signal("TERM");
    assert_eq!(entry.process.wait_for_exit().0, 0);
}

/// Guards against a relay that drops datagrams of an intact link or forwards those of a cut one, which would make tests
/// of cut links meaningless.
#[test]
fn the_relay_forwards_datagrams_until_it_is_cut() {
    let bind = || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        socket.set_read_timeout(Some(Duration::from_millis(300))).expect("a timeout");
        socket
    };
    let (client, server) = (bind(), bind());
    let relay = Relay::udp(server.local_addr().expect("an address"));
    let mut buf = [0; 16];
    client.send_to(b"there", relay.address()).expect("the datagram is sent");
    let (length, from) = server.recv_from(&mut buf).expect("the datagram is forwarded");
    assert_eq!(&buf[..length], b"there");
    server.send_to(b"back", from).expect("the datagram is sent");
    let (length, _) = client.recv_from(&mut buf).expect("the reply is forwarded");
    assert_eq!(&buf[..length], b"back");
    relay.cut();
    client.send_to(b"lost", relay.address()).expect("the datagram is sent");
    assert!(server.recv_from(&mut buf).is_err(), "a datagram was forwarded over a cut link");
}

/// Guards against `bench added` reporting latencies without having made the calls, within one process and between
/// processes.
#[test]
fn bench_added_makes_calls_on_both_paths() {
    let entry = TestEntry::start();
    let servers = entry.start_servers_and_wait(&["--servers", "2", "--slots", "8", "--service-time", "0us"]);
    let csv = entry.write_file("added.csv", "");
    let csv_path = csv.to_string_lossy();
    // The limit makes every round count, because a shared machine may be busy and the latency is not checked here.
    let common = ["bench", "added", "--rate", "200", "--time", "300ms", "--rounds", "2", "--late-limit", "60s"];
    let addresses =
        ["--entry", &entry.caller_address, "--server", &servers.addresses[0], "--server", &servers.addresses[1]];
    for address_options in [&addresses[..], &[]] {
        let output = run(&[&common[..], address_options, &["--arrivals", "constant", "--csv", &csv_path]].concat());
        assert_eq!(output.code, 0, "{output:?}");
        let lines = std::fs::read_to_string(&csv).expect("the CSV");
        let (title, row) = lines.trim().split_once('\n').expect("a title and a row");
        let value = |name: &str| {
            let index = title.split(',').position(|column| column == name).expect("a column");
            row.split(',').nth(index).expect("a value").to_owned()
        };
        assert_eq!([value("rate"), value("direct_good"), value("through_good")], ["200", "120", "120"], "{lines}");
    }
}
