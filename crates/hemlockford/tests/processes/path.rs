//! The path of a call through one entry.

use {
    crate::{
        process::{Process, run},
        relay::Relay,
        system::{Servers, System, get},
    },
    std::{net::UdpSocket, time::Duration},
};

/// Guards against answers that are lost, cut off, mixed up or repeated in the quiet state, for every kind
/// of body framing.
#[test]
fn every_answer_is_whole_and_its_own() {
    let system = System::start();
    let servers = system.servers(&["--servers", "4", "--service-time", "exponential:2ms"]);
    for more in [
        &["--method", "get=3", "--method", "post=1", "--method", "put=1"][..],
        &["--method", "post", "--chunked", "--upload-bytes", "100000", "--answer-bytes", "300000"],
    ] {
        let mut arguments = vec!["--rate", "200", "--time", "1s", "--arrivals", "poisson", "--seed", "7"];
        arguments.extend(more);
        let (ended, summary) = system.load(&servers, &arguments);
        assert_eq!(ended.code, 0, "{summary}");
        assert_eq!(summary["total"]["good"], summary["planned"], "{summary}");
        assert_eq!(summary["verification"]["repeated"], 0, "{summary}");
    }
    servers.switch("all", "mode=chunked");
    let (ended, summary) = system.load(&servers, &["--rate", "200", "--time", "1s"]);
    assert_eq!((ended.code, &summary["total"]["good"]), (0, &summary["planned"]), "{summary}");
}

/// Guards against a load generator that takes calls for answered when nothing passes on a link.
#[test]
fn calls_over_a_cut_link_are_not_answered() {
    let servers = Servers::start(&["emulate", "--servers", "1", "--service-time", "1ms"]);
    let relay = Relay::tcp(servers.addresses[0].parse().expect("an address"));
    let address = relay.address().to_string();
    let load = |time: &str| {
        let mut load = Process::start(&[
            "load",
            "--json",
            "--direct",
            &address,
            "--rate",
            "100",
            "--timeout",
            "500ms",
            "--time",
            time,
        ]);
        let summary = load.json();
        (load.wait().0, summary)
    };
    let (code, summary) = load("300ms");
    assert_eq!((code, &summary["total"]["good"]), (0, &summary["planned"]), "{summary}");
    relay.cut();
    let (_, summary) = load("300ms");
    assert_eq!(summary["total"]["good"], 0, "{summary}");
    assert_eq!(summary["total"]["unknown"]["given-up"], summary["planned"], "{summary}");
    relay.heal();
    relay.reset();
    let (_, summary) = load("300ms");
    assert_eq!(summary["total"]["good"], summary["planned"], "{summary}");
}

/// Guards against a demonstration whose printed call does not work.
#[test]
fn the_call_that_demo_prints_works() {
    let mut demo = Process::start(&["demo", "--time", "20s"]);
    let url = loop {
        let line = demo.line();
        assert!(!line.is_empty(), "the output ended without a call to try");
        if let Some((_, url)) = line.split_once("curl -i http://") {
            break url.trim().to_owned();
        }
    };
    let (address, path) = url.split_once('/').expect("a path");
    let (status, body) = get(address, &format!("/{path}"));
    assert_eq!(status, 200, "{body}");
    demo.signal("TERM");
    assert_eq!(demo.wait().0, 0);
}

/// Guards against an instance that does not end with code 0 on SIGTERM.
#[test]
fn an_instance_ends_on_sigterm() {
    let mut system = System::start();
    system.entry.signal("TERM");
    assert_eq!(system.entry.wait().0, 0);
}

/// Guards against a relay that loses datagrams of a whole link or passes those of a cut one, which would
/// make tests of cut links prove nothing.
#[test]
fn the_relay_passes_datagrams_until_it_is_cut() {
    let bind = || {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        socket.set_read_timeout(Some(Duration::from_millis(300))).expect("a timeout");
        socket
    };
    let (one, other) = (bind(), bind());
    let relay = Relay::udp(other.local_addr().expect("an address"));
    let mut buf = [0; 16];
    one.send_to(b"there", relay.address()).expect("sent");
    let (length, from) = other.recv_from(&mut buf).expect("passed on");
    assert_eq!(&buf[..length], b"there");
    other.send_to(b"back", from).expect("sent");
    let (length, _) = one.recv_from(&mut buf).expect("passed back");
    assert_eq!(&buf[..length], b"back");
    relay.cut();
    one.send_to(b"lost", relay.address()).expect("sent");
    assert!(other.recv_from(&mut buf).is_err(), "a datagram passed a cut link");
}

/// Guards against a comparison that reports figures without calls behind them, in one process or between
/// processes.
#[test]
fn the_comparison_counts_both_paths() {
    let system = System::start();
    let servers = system.servers(&["--servers", "2", "--slots", "8", "--service-time", "0us"]);
    let csv = system.file("added.csv", "");
    let csv_path = csv.to_string_lossy();
    // The limit lets every round count, since a shared machine may be busy and no latency is judged here.
    let common = ["bench", "added", "--rate", "200", "--time", "300ms", "--rounds", "2", "--late-limit", "60s"];
    let addresses = ["--entry", &system.callers, "--server", &servers.addresses[0], "--server", &servers.addresses[1]];
    for between in [&addresses[..], &[]] {
        let ended = run(&[&common[..], between, &["--arrivals", "constant", "--csv", &csv_path]].concat());
        assert_eq!(ended.code, 0, "{ended:?}");
        let lines = std::fs::read_to_string(&csv).expect("the CSV");
        let (title, row) = lines.trim().split_once('\n').expect("a title and a row");
        let value = |name: &str| {
            let index = title.split(',').position(|column| column == name).expect("a column");
            row.split(',').nth(index).expect("a value").to_owned()
        };
        assert_eq!([value("rate"), value("direct_good"), value("through_good")], ["200", "120", "120"], "{lines}");
    }
}
