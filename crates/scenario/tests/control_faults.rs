//! Fault matrix of the control plane: every fault at every message of an exchange, and random pairs of faults.
//!
//! Guards against states that the scripts do not cover: a lost, late or duplicated message, a crash before or after the
//! sync, a freeze or a cut at a message where it matters.

use {
    hemlockford_core::{
        control::{Answer, ClaimAnswer, SubmitAnswer},
        dispatch::ServerState,
        ledger::ClaimKey,
    },
    hemlockford_scenario::script::{Fault, MessageKind, Trigger, World, WorldOptions, sample_config},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const SEED: u64 = 20_261_204;
const PAIRS: usize = 100;
/// Maximum number of messages at which faults are injected; every exchange has fewer.
const MESSAGES: u64 = 100;

#[derive(Clone, Copy, Debug)]
enum Exchange {
    Submit,
    Announce,
    Leave,
    Claim,
    Stop,
}

impl Exchange {
    /// Message kinds of the exchange.
    fn kinds(self) -> &'static [MessageKind] {
        match self {
            Self::Submit => &[MessageKind::Log, MessageKind::Request, MessageKind::Install],
            Self::Announce | Self::Leave => &[MessageKind::Relay],
            Self::Claim | Self::Stop => &[MessageKind::Log, MessageKind::Request],
        }
    }
}

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn key() -> ClaimKey {
    ClaimKey { service: "stock".into(), customer: "kovar".into(), key: "k1".into() }
}

fn answer(world: &World, (node, request): (usize, u64)) -> Option<Answer> {
    world.nodes[node].answers.get(&request).cloned()
}

/// Submits a change until it is accepted, as an operator does whose submission has an unknown result.
fn submit(world: &mut World, node: usize, number: u64, service: &str) -> Result<(), String> {
    for _ in 0..3 {
        let request = world.submit(node, &sample_config(number, service));
        world.run_for(secs(11), |world| answer(world, (node, request)).is_some())?;
        match answer(world, (node, request)) {
            Some(Answer::Submit { answer: SubmitAnswer::Accepted { .. }, .. }) => return Ok(()),
            Some(Answer::Submit { answer: SubmitAnswer::Unknown | SubmitAnswer::NotAccepted, .. }) => {}
            other => return Err(format!("change {number}: {other:?}")),
        }
    }
    Err(format!("change {number} was not accepted in three attempts"))
}

/// Starts a system with one accepted change and one server.
fn set_up(seed: u64) -> Result<World, String> {
    let mut world = World::new(WorldOptions { instances: 5, replicas: 3, seed });
    (0..5).for_each(|node| world.start(node));
    submit(&mut world, 3, 1, "stock")?;
    world.announce("s1", "stock", 3, ServerState::Ready);
    world.run(secs(2))?;
    Ok(world)
}

/// Runs the exchange while faults are triggered.
fn run_exchange(world: &mut World, exchange: Exchange) -> Result<(), String> {
    match exchange {
        Exchange::Submit => {
            world.submit(3, &sample_config(2, "a"));
            world.submit(4, &sample_config(2, "b"));
        }
        Exchange::Announce => world.announce("s2", "stock", 4, ServerState::Ready),
        Exchange::Leave => {
            world.leave("s1", None);
        }
        Exchange::Claim => {
            let requests = [3, 4].map(|node| (node, world.claim(node, &key(), "same", secs(2))));
            let is_answered = |world: &World, at| answer(world, at).is_some();
            world.run_for(secs(3), |world| requests.iter().all(|at| is_answered(world, *at)))?;
            world.run(Duration::from_millis(20))?;
            for (node, _) in requests {
                world.settle(node, &key(), 201);
            }
        }
        Exchange::Stop => {
            let leader = world.leader().ok_or("no leader")?;
            world.handle_event(leader, hemlockford_core::control::ControlEvent::Stop);
            world.claim(4, &key(), "same", secs(2));
        }
    }
    world.run(secs(6))
}

/// Checks that the system has recovered: it accepts a change and a claim, and every instance has the expected servers.
fn finish(world: &mut World, exchange: Exchange) -> Result<(), String> {
    if let Exchange::Stop = exchange {
        // The process that completed its planned stop exits.
        (0..5).filter(|node| world.nodes[*node].is_stopped).collect::<Vec<_>>().into_iter().for_each(|n| world.kill(n));
    }
    world.heal_everything();
    world.run(secs(4))?;
    if world.lost_folders.len() > 1 {
        // Two of three data folders are lost, so no majority has the log: no replica may become leader again, and only
        // the invariants remain to be checked.
        return match world.leader() {
            Some(leader) => Err(format!("e{} is leader without a majority", leader + 1)),
            None => world.run(secs(4)),
        };
    }
    submit(world, 4, 9, "stock")?;
    world.run(secs(2))?;
    world.check_final()?;
    let now = world.now();
    for node in 0..5 {
        let Some(control) = &world.nodes[node].control else { return Err("an instance is down".into()) };
        control.may_serve(now).map_err(|e| format!("e{} does not serve: {e}", node + 1))?;
        let views = control.registry().views(now, "stock");
        let names: Vec<&str> = views.iter().map(|view| &*view.id).collect();
        let expected: &[&str] = match exchange {
            Exchange::Announce => &["s1", "s2"],
            Exchange::Leave => &[],
            _ => &["s1"],
        };
        if names != expected {
            return Err(format!("e{} has servers {names:?}", node + 1));
        }
    }
    let request = world.claim(3, &key(), "same", secs(3));
    world.run_for(secs(4), |world| answer(world, (3, request)).is_some())?;
    match answer(world, (3, request)) {
        Some(Answer::Claim { answer: ClaimAnswer::NotRecorded, .. }) | None => Err("claims are not recorded".into()),
        _ => Ok(()),
    }
}

/// Runs one case and returns the number of messages of the exchange.
fn run_case(exchange: Exchange, seed: u64, triggers: Vec<Trigger>) -> Result<u64, String> {
    let mut world = set_up(seed)?;
    world.arm(exchange.kinds(), triggers);
    run_exchange(&mut world, exchange)?;
    let messages = world.disarm();
    finish(&mut world, exchange)?;
    Ok(messages)
}

fn run_matrix(exchange: Exchange) {
    let all = run_case(exchange, SEED, Vec::new()).expect("exchange without a fault");
    let messages = all.min(MESSAGES);
    println!("{exchange:?}: injecting faults at {messages} of {all} messages, seed {SEED}");
    let mut cases: Vec<Vec<Trigger>> = Vec::new();
    for message in 0..messages {
        cases.extend(Fault::ALL.map(|fault| vec![Trigger { message, fault }]));
    }
    let mut rng = SmallRng::seed_from_u64(SEED);
    for _ in 0..PAIRS {
        let mut trigger = || Trigger {
            message: rng.random_range(0..messages),
            fault: Fault::ALL[rng.random_range(0..Fault::ALL.len())],
        };
        cases.push(vec![trigger(), trigger()]);
    }
    let mut failed = Vec::new();
    for (number, triggers) in cases.iter().enumerate() {
        let seed = SEED + number as u64 % 7;
        if let Err(error) = run_case(exchange, seed, triggers.clone()) {
            failed.push(format!("seed {seed}, {triggers:?}: {error}"));
        }
    }
    println!("{exchange:?}: {} cases, {} failed", cases.len(), failed.len());
    assert!(failed.is_empty(), "{exchange:?}:\n{}", failed.join("\n"));
}

#[test]
fn submit_survives_every_fault() {
    run_matrix(Exchange::Submit);
}

#[test]
fn announce_survives_every_fault() {
    run_matrix(Exchange::Announce);
}

#[test]
fn leave_survives_every_fault() {
    run_matrix(Exchange::Leave);
}

#[test]
fn claim_survives_every_fault() {
    run_matrix(Exchange::Claim);
}

#[test]
fn planned_stop_survives_every_fault() {
    run_matrix(Exchange::Stop);
}
