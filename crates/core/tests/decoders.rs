//! Decoders of messages, commands and saved state, and the configuration parser, with corrupted and random inputs.
//! Guards against panics, memory that is allocated for a forged length, and values that change when they are encoded
//! again.

use {
    hemlockford_core::{
        config::Configuration,
        consensus::{Entry, HardState, Members, Message, Recovered, Snapshot},
        control::PeerMessage,
        fleet::{FleetMessage, ReceivedRecord, Replica, ReplicaEvent, ReplicaOptions},
        ids::InstanceId,
        ledger::{Command, Ledger},
        slots::{SlotMessage, Slots},
    },
    hemlockford_fuzz::{Fuzzer, SEED, check_linear_time, check_postcard_decoder, valid_encodings},
    rand::{SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Maximum memory of a decoded message per encoded byte. The largest list element, a server record, takes about
/// 200 bytes, and a growing list reserves up to twice the memory that it needs.
const MESSAGE_BYTES: u64 = 512;
/// Maximum memory of a parsed configuration per byte of its source. Each line becomes a key, a value and their location.
const CONFIG_BYTES: u64 = 2_048;

const SOURCES: [&str; 3] = [
    "[change]\nnumber = 7\n\n[customer kovar]\nweight = 3\n\n[service stock]\ndeadline = 100ms\n\n[service catalogue]\n\
        depends = stock\ndeadline = 850ms\nobjective = 99.5% in 260ms\npolicy = random\nretry-budget = 7%\n\
        queue = 150\nshare.kovar = 3\nhealth = /h\nconnections = 260\n",
    "[change]\nnumber = 8\n[service a]\n[service b]\n[route look-ups]\nhost = fit.example\nprefix = /slots/\n\
        kind = idempotent\ntimeout = 1200ms\nobjective = 400ms\npriority = 1\nattempts = 2\nsplit = a:90, b:10\n",
    "; a comment\n[change]\nnumber = 18446744073709551615\n[measure]\nserver-share = 0.4%\nentry-share = 0.6%\n\
        bytes = 20000\n[claims]\nretention = 20m\n[limits]\nheader-bytes = 16000\nbody-bytes = 67000000\n\
        header-timeout = 4s\nidle-timeout = 16s\n",
];

#[test]
fn messages_are_decoded_safely() {
    check_postcard_decoder::<SlotMessage>("SlotMessage", 2, MESSAGE_BYTES, 4_000);
    check_postcard_decoder::<PeerMessage>("PeerMessage", 8, MESSAGE_BYTES, 4_000);
    check_postcard_decoder::<Message>("consensus::Message", 1, MESSAGE_BYTES, 4_000);
    check_postcard_decoder::<FleetMessage>("FleetMessage", 11, MESSAGE_BYTES, 4_000);
}

#[test]
fn saved_state_is_decoded_safely() {
    check_postcard_decoder::<Entry>("consensus::Entry", 1, MESSAGE_BYTES, 2_000);
    check_postcard_decoder::<HardState>("consensus::Vote", 1, MESSAGE_BYTES, 2_000);
    check_postcard_decoder::<Members>("consensus::Members", 1, MESSAGE_BYTES, 2_000);
    check_postcard_decoder::<Snapshot>("consensus::Snapshot", 1, MESSAGE_BYTES, 2_000);
    check_postcard_decoder::<(u8, Vec<ReceivedRecord>)>("directory", 1, MESSAGE_BYTES, 2_000);
}

#[test]
fn commands_are_decoded_safely() {
    let valid: Vec<_> = valid_encodings::<Command>().into_iter().map(|command| [vec![1], command].concat()).collect();
    let decode = |input: &[u8]| Command::decode(input).ok();
    Fuzzer::new("Command", MESSAGE_BYTES).run(&valid, 4_000, decode, |_, command| {
        // Applying the log again must yield the same state.
        assert_eq!(Command::decode(&command.encode().expect("encoded")).expect("decoded"), command);
        Ledger::default().apply(1, command);
    });
}

/// A corrupted snapshot with a valid checksum is either an error or a usable state.
#[test]
fn snapshots_are_restored_safely() {
    let mut ledger = Ledger::default();
    for (index, command) in (1..).zip(valid_encodings::<Command>()) {
        ledger.apply(index, postcard::from_bytes(&command).expect("decoded"));
    }
    let valid = [ledger.snapshot().expect("encoded"), Ledger::default().snapshot().expect("encoded")];
    let decode = |input: &[u8]| Ledger::restore(input).ok();
    Fuzzer::new("Ledger", MESSAGE_BYTES).run(&valid, 2_000, decode, |_, mut ledger| {
        let again = Ledger::restore(&ledger.snapshot().expect("encoded")).expect("restored");
        assert_eq!(again, ledger);
        ledger.apply(u64::MAX, Command::Noop { at: u64::MAX });
    });
}

/// An accepted configuration is parsed as the same after it is written; the platform adapter relies on that.
#[test]
fn configurations_are_parsed_safely() {
    let valid = SOURCES.map(|source| source.as_bytes().to_vec());
    let parse = |input: &[u8]| Configuration::parse(std::str::from_utf8(input).ok()?).ok();
    Fuzzer::new("Configuration", CONFIG_BYTES).run(&valid, 6_000, parse, |_, config| {
        assert_eq!(Configuration::parse(&config.to_ini()), Ok(config));
    });
}

#[test]
fn configurations_are_parsed_in_linear_time() {
    let parse = |input: &[u8]| drop(Configuration::parse(std::str::from_utf8(input).expect("text")));
    let repeat = |line: &'static str| move |bytes: usize| line.repeat(bytes / line.len()).into_bytes();
    check_linear_time("sections", 4_000, repeat("[service a]\n"), parse);
    check_linear_time("keys", 4_000, repeat("key = value\n"), parse);
    check_linear_time("brackets", 4_000, repeat("["), parse);
    check_linear_time("list", 4_000, |bytes| [b"[service a]\ndepends = ", &*b"a, ".repeat(bytes / 3)].concat(), parse);
    let services =
        |bytes| (0..bytes / 20).map(|number| format!("[service {number}]\n")).collect::<String>().into_bytes();
    check_linear_time("services", 4_000, services, parse);
}

/// A replica starts with any saved directory, and takes the end of the warm-up of each server from it.
#[test]
fn saved_directories_are_restored_safely() {
    let now = Instant::now();
    let decode = |input: &[u8]| {
        let (id, seeds) = (InstanceId::from("10.0.0.1:1"), vec!["10.0.0.1:1".into()]);
        let options = ReplicaOptions { id, seeds, directory: input.to_vec(), ..ReplicaOptions::default() };
        let mut out = Vec::new();
        let mut replica = Replica::new(now, options, Recovered::default(), SmallRng::seed_from_u64(SEED), &mut out);
        replica.handle(now + Duration::from_secs(4), ReplicaEvent::Tick, &mut out);
        Some(())
    };
    let valid = valid_encodings::<(u8, Vec<ReceivedRecord>)>();
    let mut valid: Vec<_> = valid.into_iter().map(|saved| [&[1], &saved[1..]].concat()).collect();
    // The longest warm-up that a heartbeat can contain.
    let mut saved = valid.iter().filter_map(|saved| postcard::from_bytes::<(u8, Vec<ReceivedRecord>)>(saved).ok());
    let mut longest = saved.find(|saved| saved.1.iter().any(|received| received.record.is_valid())).expect("a record");
    longest.1.iter_mut().for_each(|received| received.record.warm_up = Duration::MAX);
    valid.push(postcard::to_stdvec(&longest).expect("encoded"));
    // A replica uses about 20 KB in addition.
    Fuzzer::new("saved directory", 2 * MESSAGE_BYTES + 64 * 1024).run(&valid, 500, decode, |_, ()| ());
}

/// A replica handles messages of a peer with arbitrary values.
#[test]
fn messages_of_a_fleet_are_handled_safely() {
    let valid = valid_encodings::<FleetMessage>();
    let (mut now, mut out) = (Instant::now(), Vec::new());
    let (id, seeds) = (InstanceId::from("10.0.0.1:1"), vec!["10.0.0.1:1".into(), "10.0.0.2:1".into()]);
    let options = ReplicaOptions { id, seeds, ..ReplicaOptions::default() };
    let mut replica = Replica::new(now, options, Recovered::default(), SmallRng::seed_from_u64(SEED), &mut out);
    let decode = |input: &[u8]| postcard::from_bytes::<FleetMessage>(input).ok();
    Fuzzer::new("FleetMessage at a replica", MESSAGE_BYTES).run(&valid, 4_000, decode, |_, message| {
        now += Duration::from_millis(1);
        let from = "10.0.0.2:1".into();
        replica.handle(now, ReplicaEvent::Receive { from, incarnation: 1, message }, &mut out);
        replica.handle(now, ReplicaEvent::Tick, &mut out);
        out.clear();
    });
}

#[test]
fn slot_messages_are_handled_safely() {
    let valid = valid_encodings::<SlotMessage>();
    let mut now = Instant::now();
    let mut slots = Slots::new("a".into(), 1, 2, SmallRng::seed_from_u64(SEED));
    slots.set_peers(now, vec!["b".into()]);
    // Services and servers that the messages refer to.
    (0..16).for_each(|service| slots.set_servers(now, service, (0..4).map(|server| (server, 2)).collect()));
    let decode = |input: &[u8]| postcard::from_bytes::<SlotMessage>(input).ok();
    Fuzzer::new("SlotMessage at an entry", MESSAGE_BYTES).run(&valid, 4_000, decode, |_, message| {
        now += Duration::from_millis(1);
        slots.begin_event(now);
        slots.receive(now, &"b".into(), &message);
        slots.tick(now);
        slots.flush(now, &|_| Vec::new(), &mut Vec::new());
    });
}
