//! Injects defects to show that the checks of the scenarios detect them.
//!
//! Guards against checks that always pass.

use {
    hemlockford_core::{
        control::{PeerMessage, Reply},
        dispatch::ServerState,
        ledger::{ClaimKey, ClaimOutcome, ContentDigest, LedgerOutcome},
        registry::Record,
    },
    hemlockford_scenario::script::{MessageKind, Rule, RuleEffect, TamperFn, World, WorldOptions, sample_config},
    std::time::Duration,
};

const SEED: u64 = 31;

fn set_up() -> World {
    let mut world = World::new(WorldOptions { instances: 5, replicas: 3, seed: SEED });
    (0..5).for_each(|node| world.start(node));
    world.run(Duration::from_secs(3)).expect("start");
    world.submit(3, &sample_config(1, "stock"));
    world.run(Duration::from_secs(1)).expect("first change");
    world
}

fn set_tamper(world: &mut World, tamper: impl FnMut(usize, &mut PeerMessage) + 'static) {
    world.tamper = Some(Box::new(tamper) as TamperFn);
}

#[test]
fn two_holders_of_a_claim_are_detected() {
    let mut world = set_up();
    set_tamper(&mut world, |_, message| {
        if let PeerMessage::Reply { reply: Reply::Outcome(LedgerOutcome::Claim(outcome)), .. } = message {
            *outcome = ClaimOutcome::Granted;
        }
    });
    let key = ClaimKey { service: "stock".into(), customer: "kovar".into(), key: "k1".into() };
    world.claim(3, &key, "same", Duration::from_secs(2));
    world.claim(4, &key, "same", Duration::from_secs(2));
    let error = world.run(Duration::from_secs(2)).expect_err("two holders");
    assert!(error.contains("claim k1 granted to"), "{error}");
}

#[test]
fn a_stale_configuration_is_detected() {
    let mut world = set_up();
    let rule =
        Rule { from: None, to: Some(4), kind: Some(MessageKind::Install), effect: RuleEffect::Drop, percent: 100 };
    world.network.rules.push(rule);
    set_tamper(&mut world, |to, message| {
        if let (4, PeerMessage::Heartbeat(heartbeat)) = (to, message) {
            heartbeat.status.installed = heartbeat.status.installed.min(1);
        }
    });
    world.submit(3, &sample_config(2, "stock"));
    let error = world.run(Duration::from_secs(5)).expect_err("stale configuration");
    assert!(error.contains("e5: serves with change 1 ") && error.contains("after change 2 was accepted"), "{error}");
}

#[test]
fn a_lost_accepted_change_is_detected() {
    let mut world = set_up();
    let rule = Rule { from: None, to: None, kind: Some(MessageKind::Log), effect: RuleEffect::Drop, percent: 100 };
    world.network.rules.push(rule);
    world.submit(3, &sample_config(2, "stock"));
    let digest = ContentDigest::of(sample_config(2, "stock").as_bytes());
    set_tamper(&mut world, move |_, message| {
        if let PeerMessage::Reply { reply, .. } = message {
            *reply = Reply::Accepted { digest, everywhere: true };
        }
    });
    let ended = world.run(Duration::from_secs(3)).and_then(|()| {
        world.tamper = None;
        (0..5).for_each(|node| world.kill(node));
        world.heal_everything();
        world.run(Duration::from_secs(10))?;
        world.check_final()
    });
    let error = ended.expect_err("lost change");
    assert!(error.contains("after change 2 was accepted") || error.contains("but change 2 was accepted"), "{error}");
}

#[test]
fn a_restored_server_is_detected() {
    let mut world = set_up();
    world.announce("s1", "stock", 4, ServerState::Ready);
    world.run(Duration::from_secs(2)).expect("announce");
    world.leave("s1", None);
    let mut tampered = 0;
    set_tamper(&mut world, move |_, message| {
        let PeerMessage::Relay { records, .. } = message else { return };
        for record in records {
            if let Record::Full { announcement, age_ms, .. } = record {
                tampered += 1;
                *age_ms = 0;
                announcement.state = ServerState::Ready;
                announcement.sequence += tampered;
                announcement.uptime_ms += 1_000 * tampered;
            }
        }
    });
    let error = world.run(Duration::from_secs(6)).expect_err("restored server");
    assert!(error.contains("s1 is usable"), "{error}");
}
