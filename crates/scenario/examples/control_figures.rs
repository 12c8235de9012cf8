//! Measures the control plane in simulated time: 7 instances, 3 replicas, message latency of 1 to 3 ms, fsync of 2 ms.

use {
    hemlockford_core::{
        control::Answer,
        dispatch::ServerState,
        ledger::{ClaimKey, Command, ContentDigest, Holder, Ledger, MAX_CLAIMS, SettledOutcome},
    },
    hemlockford_scenario::script::{World, WorldOptions, sample_config},
    std::time::{Duration, Instant},
};

/// Size of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;
const SERVERS: usize = 36;
const ROUNDS: usize = 50;
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);

fn main() -> Result<(), String> {
    let mut world = World::new(WorldOptions { instances: 7, replicas: 3, seed: 1 });
    (0..7).for_each(|node| world.start(node));
    let mut durations = Durations::default();
    durations.submits(&mut world)?;
    println!("time from submit to answer, {ROUNDS} changes: {}", durations.summarize());
    durations.installs(&mut world)?;
    println!("time from submit until installed on 7 entries, {ROUNDS} changes: {}", durations.summarize());
    durations.claims(&mut world)?;
    println!("time from claim to answer at an entry that is not a replica, {ROUNDS} claims: {}", durations.summarize());
    let idle = bytes_per_second(&mut world)?;
    for server in 0..SERVERS {
        let service =
            ["catalogue", "supplier-orders", "intake"][if server < 20 { 0 } else { 1 + usize::from(server >= 30) }];
        world.announce(&format!("server-{server:02}"), service, server % 7, ServerState::Ready);
        world.run(Duration::from_millis(37))?;
    }
    world.run(Duration::from_secs(3))?;
    let busy = bytes_per_second(&mut world)?;
    println!(
        "bytes received per node and second, including headers: {idle} without servers, {busy} with {SERVERS} servers"
    );
    durations.leaves(&mut world)?;
    println!("time from leaving until removed on 7 entries, 20 servers: {}", durations.summarize());
    for claims in [1_000, MAX_CLAIMS] {
        print_snapshot_cost(claims);
    }
    Ok(())
}

/// Prints the size and encoding time of a ledger snapshot whose claims are each settled with 256 bytes.
fn print_snapshot_cost(claims: usize) {
    let mut ledger = Ledger::default();
    for number in 0..claims as u64 {
        let key = ClaimKey { service: "stock".into(), customer: "kovar".into(), key: format!("order-{number}").into() };
        let holder = Holder { instance: "e1".into(), incarnation: 1, sequence: number };
        let request_digest = ContentDigest::of(b"request");
        let claim =
            Command::Claim { key: key.clone(), holder: holder.clone(), request_digest, retention_ms: 900_000, at: 0 };
        ledger.apply(2 * number + 1, claim);
        let outcome = SettledOutcome::new(200, None, Some(&[7; 256]));
        ledger.apply(2 * number + 2, Command::Settle { key, holder, outcome, at: 0 });
    }
    let started = Instant::now();
    let bytes = ledger.snapshot().map_or(0, |bytes| bytes.len());
    println!("snapshot of a ledger with {claims} claims: {bytes} bytes in {:?}", started.elapsed());
}

/// Highest rate at which any node receives bytes, including headers, averaged over `MEASUREMENT_TIME`.
fn bytes_per_second(world: &mut World) -> Result<u64, String> {
    let before = world.received.clone();
    let started = Instant::now();
    world.run(MEASUREMENT_TIME)?;
    println!("simulating 20 s for 7 instances took {:?}", started.elapsed());
    let received = world.received.iter().zip(before).map(|(now, was)| now.1 - was.1 + HEADER_BYTES * (now.0 - was.0));
    Ok(received.max().unwrap_or(0) / MEASUREMENT_TIME.as_secs())
}

#[derive(Default)]
struct Durations(Vec<u64>);

impl Durations {
    fn measure(&mut self, world: &mut World, is_done: impl Fn(&World) -> bool) -> Result<(), String> {
        let started = world.now_ms();
        match world.run_for(Duration::from_secs(11), is_done)? {
            true => self.0.push(world.now_ms() - started),
            false => return Err("operation did not complete within 11 s".into()),
        }
        // Shifts the next measurement relative to the heartbeat interval.
        world.run(Duration::from_millis(1_013))
    }

    fn submits(&mut self, world: &mut World) -> Result<(), String> {
        world.run(Duration::from_secs(3))?;
        for number in 1..=ROUNDS as u64 {
            let request = world.submit(5, &sample_config(number, "stock"));
            self.measure(world, |world| world.nodes[5].answers.contains_key(&request))?;
        }
        Ok(())
    }

    fn installs(&mut self, world: &mut World) -> Result<(), String> {
        for number in ROUNDS as u64 + 1..=2 * ROUNDS as u64 {
            world.submit(5, &sample_config(number, "stock"));
            let is_installed = |world: &World, node: usize| {
                world.nodes[node].control.as_ref().is_some_and(|control| control.installed() == number)
            };
            self.measure(world, |world| (0..7).all(|node| is_installed(world, node)))?;
        }
        Ok(())
    }

    fn claims(&mut self, world: &mut World) -> Result<(), String> {
        for number in 0..ROUNDS {
            let key = ClaimKey { service: "stock".into(), customer: "kovar".into(), key: format!("k{number}").into() };
            let request = world.claim(5, &key, "same", Duration::from_secs(3));
            self.measure(world, |world| world.nodes[5].answers.contains_key(&request))?;
            match &world.nodes[5].answers[&request] {
                Answer::Claim { .. } => world.settle(5, &key, 200),
                Answer::Submit { .. } => return Err("claim request got a submit answer".into()),
            };
        }
        Ok(())
    }

    fn leaves(&mut self, world: &mut World) -> Result<(), String> {
        for server in 0..20 {
            let id = format!("server-{server:02}");
            world.leave(&id, None);
            let is_gone = |world: &World, node: usize| {
                let control = world.nodes[node].control.as_ref();
                control.is_some_and(|c| c.registry().views(world.now(), "catalogue").iter().all(|view| *view.id != *id))
            };
            self.measure(world, |world| (0..7).all(|node| is_gone(world, node)))?;
        }
        Ok(())
    }

    fn summarize(&mut self) -> String {
        let mut durations = std::mem::take(&mut self.0);
        durations.sort_unstable();
        format!("median {} ms, maximum {} ms", durations[durations.len() / 2], durations[durations.len() - 1])
    }
}
