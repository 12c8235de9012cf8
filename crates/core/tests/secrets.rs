//! API keys do not occur in the text forms of values that may get into logs, errors and crash reports.

use {
    hemlockford_core::{
        config::{CheckedConfig, Configuration},
        consensus::{ConsensusEvent, Entry, Members, Message, MessageBody, Payload, Snapshot},
        control::{self, ControlEvent, PeerMessage},
        fleet::{self, ConfigUpdate, FleetMessage, ReplicaAnswer},
        ledger::{Command, Ledger},
    },
    std::fmt::Debug,
};

const KEY: &str = "nirth5mgQ8";

fn text() -> Box<str> {
    format!("[change]\nnumber = 7\n\n[customer kovar]\nkeys = k1 {KEY}\n\n[service catalogue]\n").into()
}

/// Checks the text form of a value for the key, as text and as a list of bytes.
fn assert_hidden(value: &impl Debug) {
    let bytes = format!("{:?}", KEY.as_bytes());
    for shown in [format!("{value:?}"), format!("{value:#?}").split_whitespace().collect()] {
        assert!(!shown.contains(KEY) && !shown.contains(bytes.trim_matches(['[', ']'])), "{shown}");
        assert!(!shown.contains(&bytes.trim_matches(['[', ']']).replace(' ', "")), "{shown}");
    }
}

/// Guards against keys in the text form of a configuration and of what carries it.
#[test]
fn configurations_hide_their_keys() {
    let config = Configuration::parse(&text()).unwrap();
    assert_hidden(&config);
    assert_hidden(&CheckedConfig::parse(text()).unwrap());
    assert_hidden(&ConfigUpdate::between((0, ""), (7, &text())));
    assert_hidden(&ReplicaAnswer::Current { number: 7, text: text() });
}

/// Guards against keys in the text form of messages between instances.
#[test]
fn messages_hide_keys() {
    assert_hidden(&fleet::Request::Submit { number: 7, text: text() });
    assert_hidden(&fleet::Reply::Current { number: 7, text: text() });
    assert_hidden(&FleetMessage::Install(ConfigUpdate::between((0, ""), (7, &text()))));
    let submit = control::Request::Submit { number: 7, text: text() };
    assert_hidden(&submit);
    assert_hidden(&PeerMessage::Install { number: 7, text: text() });
    assert_hidden(&ControlEvent::Submit { request: 1, text: text() });
}

/// Guards against keys in the text form of the replicated log, of snapshots and of their messages.
#[test]
fn the_log_hides_keys() {
    let command = Command::Submit { number: 7, text: text() };
    assert_hidden(&command);
    let bytes: std::sync::Arc<[u8]> = command.encode().unwrap().into();
    let entry = Entry { index: 1, term: 1, payload: Payload::Command(bytes.clone()) };
    assert_hidden(&entry);
    let append = MessageBody::Append { round: 1, prev_index: 0, prev_term: 0, entries: vec![entry], commit: 0 };
    assert_hidden(&FleetMessage::Consensus(Message { term: 1, incarnation: 1, admitted: true, body: append }));
    assert_hidden(&ConsensusEvent::Propose { id: 1, command: bytes });
    let mut ledger = Ledger::default();
    ledger.apply(1, command);
    assert_hidden(&ledger);
    let snapshot = Snapshot { index: 1, term: 1, members: Members::default(), data: text().as_bytes().into() };
    assert_hidden(&snapshot);
    assert_hidden(&MessageBody::SnapshotPiece {
        round: 1,
        index: 1,
        term: 1,
        members: Members::default(),
        total: 100,
        offset: 0,
        piece: text().as_bytes().into(),
    });
}

/// Guards against parser errors that quote a key.
#[test]
fn errors_do_not_quote_keys() {
    let invalid = [
        format!("keys = {KEY}\u{e9}"),
        format!("keys = {KEY}\nkeys = {KEY}"),
        format!("keys = {KEY} {KEY}"),
        format!("keys = {KEY}, {KEY}"),
        format!("keys = {}{KEY}", "k".repeat(300)),
        format!("keys = {KEY}\n[customer lunt]\nkeys = {KEY}"),
        format!("keys = k1\n  {KEY}"),
    ];
    for fields in invalid {
        let errors = Configuration::parse(&format!("[change]\nnumber = 7\n[customer kovar]\n{fields}\n")).unwrap_err();
        assert!(!errors.is_empty(), "{fields}");
        for error in errors {
            assert!(!format!("{error} {error:?}").contains(KEY), "{error}");
        }
    }
}
