//! A replica is killed while the deployment starts for the first time, and is started again by the platform. Does the
//! operator's first configuration get an acknowledgement?

use crate::{
    harness::{config, trouble, Fleet, Record},
    Outcome,
};
use std::{thread, time::Duration};

/// The largest time between the starts of two machines at the first start.
const SPREAD: Duration = Duration::from_millis(300);
/// When the first replica is killed, counted from its start.
const KILL_AFTER: Duration = Duration::from_millis(200);
/// Time until the platform starts it again.
const DOWN: Duration = Duration::from_millis(500);
/// `contact_s`.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which the operator sends the configuration; `ack_s` is 4 s.
const PATIENCE: Duration = Duration::from_secs(40);

pub fn run(record: &Record) -> Outcome {
    let mut fleet = Fleet::prepare(record, 3, 1, &[]);
    for index in [0, 1] {
        fleet.start_replica(index);
    }
    fleet.start_entry(0);
    thread::sleep(KILL_AFTER);
    if trouble() {
        fleet.replicas[0].kill();
        record.line("core-1 is killed (SIGKILL)");
    }
    thread::sleep(SPREAD - KILL_AFTER);
    fleet.start_replica(2);
    if trouble() {
        thread::sleep(DOWN - (SPREAD - KILL_AFTER));
        // The system has started, so that this is not the first start any more. The disk is as it was.
        fleet.settle(0);
        fleet.start_replica(0);
    }
    thread::sleep(CONTACT);
    record.line("the core is stable: all replicas run, and the last start was contact_s ago");
    let body = config(1, &["katalog"], &[("lookup", "/lookup/", "safe", "katalog", 1.2)]);
    let is_acknowledged = fleet.order("/v1/Config.Replace", &body, PATIENCE);
    for index in 0..fleet.replicas.len() {
        if let Some(status) = fleet.replicas[index].ended() {
            return Err(format!("{} has ended: {status}", fleet.replicas[index].name));
        }
    }
    for name in ["core-1", "core-2", "core-3"] {
        for line in fleet.log(name).lines() {
            record.line(format!("log of {name}: {line}"));
        }
    }
    record.line(match is_acknowledged {
        true => "the first configuration was acknowledged",
        false => "BROKEN: all replicas run undisturbed, and none has acknowledged the first configuration within 40 s",
    });
    Ok(!is_acknowledged)
}
