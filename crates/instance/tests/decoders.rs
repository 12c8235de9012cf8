//! Tests of the settings parser with corrupted and random input. They guard against panics, against memory use and time
//! out of proportion to the file size, and against accepted settings that cannot be used.

use {
    hemlockford_fuzz::{Fuzzer, check_linear_time},
    hemlockford_instance::Settings,
    std::time::Instant,
};

/// Maximum memory that the parser may allocate per byte of input, for keys, values and errors.
const SETTINGS_BYTES: u64 = 2_048;

const FILES: [&str; 2] = [
    "[instance]\nid = e1\ndata-centre = brno-1\ncallers = 10.0.0.1:8080\nadmin = 10.0.0.1:8081\n\
        listen = 10.0.0.1:8082\nworkers = 4\ndata = /var/lib/hemlockford\nnotice = 3s\n\n[peer e2]\n\
        address = 10.0.0.2:8082\nreplica = yes\n",
    "[instance]\nid = c1\ndata-centre = brno-1\nadmin = 10.0.0.1:8081\nlisten = 10.0.0.1:8082\n\
        data = /var/lib/hemlockford\n[fleet]\nrole = replica\ninterface = other\n\
        seeds = 10.0.0.1:8081, 10.0.0.2:8081\nfirst-start = true\ntolerate = 2\nretry-ratio = 0.25\n\
        retry-slack = 62\nretry-window = 9s\ngrace = 5s\ndata-centres = brno-1,brno-2\n\
         memory-mb = 112\ndescriptors = 2870\nlink-mbps = 3.8\n",
];

fn parse(input: &[u8]) -> Option<Settings> {
    Settings::parse(std::str::from_utf8(input).ok()?).ok()
}

#[test]
fn settings_are_parsed_safely() {
    let valid = FILES.map(|file| file.as_bytes().to_vec());
    Fuzzer::new("Settings", SETTINGS_BYTES).run(&valid, 6_000, parse, |_, settings| {
        assert!(settings.workers > 0 && !settings.id.is_empty());
        let fleet = settings.fleet.iter().flat_map(|fleet| [fleet.retry_window, fleet.grace_period]);
        for duration in fleet.chain([settings.shutdown_notice]) {
            assert!(Instant::now().checked_add(duration).is_some(), "{duration:?} is too long for a timer");
        }
    });
}

#[test]
fn settings_are_parsed_in_time_proportional_to_their_length() {
    let repeat = |line: &'static str| move |bytes: usize| line.repeat(bytes / line.len()).into_bytes();
    check_linear_time("keys", 4_000, repeat("key = value\n"), |input| drop(parse(input)));
    check_linear_time("sections", 4_000, repeat("[peer a]\n"), |input| drop(parse(input)));
    let peers = |bytes| {
        let peer = |number| format!("[peer {number}]\naddress = 10.0.0.1:{}\n", 1_000 + number);
        (0..bytes / 40).map(peer).collect::<String>().into_bytes()
    };
    check_linear_time("peers", 4_000, peers, |input| drop(parse(input)));
    let seeds = |bytes| [b"[fleet]\nseeds = ", &*b"a,".repeat(bytes / 2)].concat();
    check_linear_time("seeds", 4_000, seeds, |input| drop(parse(input)));
}
