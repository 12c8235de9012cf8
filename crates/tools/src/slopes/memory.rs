//! Memory of what an instance holds.

use {
    super::{Slope, clock, configs, control_group::announcement, wire::INCARNATION},
    hemlockford_core::{
        burn::BurnCounter,
        config::Configuration,
        dispatch::{Call, CallOptions, DispatchEvent, DispatchOptions, Dispatcher, ServerState, ServerView},
        errors::Result,
        ledger::{ClaimKey, Command, ContentDigest, Holder, Ledger, SettledOutcome},
        registry::{Registry, RegistryEvent, RegistryOptions},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        any::Any,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Copies of state that a node holds too little of for a difference of pages to be exact.
const COPIES: usize = 8;
/// Bytes of the body of an answer that a claim keeps.
pub(super) const BODY_BYTES: usize = 200;

/// Resident memory of one more of each kind.
///
/// Everything is held until the end, so that no part uses memory that another one gave back.
pub(super) fn memory() -> Result<Slope> {
    let mut slope = Slope::new(
        "memory",
        "Resident memory of what an instance holds",
        "number held",
        &["bytes each", "bytes in all"],
    );
    let now = Instant::now();
    let mut held = Vec::<Box<dyn Any>>::new();
    for servers in [58, 240, 950, 1_900] {
        let mut make = || Box::new(registry(now, servers)) as Box<dyn Any>;
        push(&mut slope, &mut held, "server in the registry", servers, COPIES, &mut make)?;
    }
    for servers in [58, 240, 950, 1_900] {
        let mut make = || Box::new(dispatcher(now, servers, 0)) as Box<dyn Any>;
        push(&mut slope, &mut held, "server in the dispatcher", servers, COPIES, &mut make)?;
    }
    for calls in [1_250, 2_500, 5_000, 9_000] {
        let mut make = || Box::new(dispatcher(now, 100, calls)) as Box<dyn Any>;
        push(&mut slope, &mut held, "call that waits", calls, COPIES, &mut make)?;
    }
    for services in [15, 58, 120, 240] {
        let source = configs::config(1, services);
        let mut make = || Box::new((source.clone(), Configuration::parse(&source).unwrap_or_default())) as Box<dyn Any>;
        push(&mut slope, &mut held, "service in a text with its source", services, COPIES * 8, &mut make)?;
    }
    for customers in [100, 300, 600, 1_000] {
        let mut make = || Box::new(burn(now, customers)) as Box<dyn Any>;
        push(&mut slope, &mut held, "customer of a service in the burn counts", customers, COPIES, &mut make)?;
    }
    for claims in [4_000, 8_000, 16_000, 32_000] {
        let mut make = || Box::new(ledger(claims, BODY_BYTES)) as Box<dyn Any>;
        push(&mut slope, &mut held, "claim settled with a body of 200 bytes", claims, 1, &mut make)?;
    }
    drop(held);
    Ok(slope)
}

fn push(
    slope: &mut Slope,
    held: &mut Vec<Box<dyn Any>>,
    line: &str,
    number: usize,
    copies: usize,
    make: &mut dyn FnMut() -> Box<dyn Any>,
) -> Result<()> {
    // What the first copy makes the allocator ask for beyond its need is left out.
    held.push(make());
    let before = clock::resident()?;
    held.extend((0..copies).map(|_| make()));
    let all = (clock::resident()? - before) / copies as f64;
    slope.push(line, number as f64, &[all / number as f64, all]);
    Ok(())
}

fn registry(now: Instant, servers: usize) -> Registry {
    let mut registry = Registry::new(RegistryOptions::default(), now);
    for index in 0..servers {
        registry.handle(now, RegistryEvent::Announce(announcement(index, 58)), &mut Vec::new());
    }
    registry
}

fn dispatcher(now: Instant, servers: usize, calls: usize) -> Dispatcher {
    let options = DispatchOptions { id: "entry-00".into(), incarnation: INCARNATION, roster: 7, ..Default::default() };
    let mut dispatcher = Dispatcher::new(options, SmallRng::seed_from_u64(1));
    let services = 58;
    let text = Configuration::parse(&configs::config(1, services)).unwrap_or_default();
    let mut actions = Vec::new();
    dispatcher.handle(now, DispatchEvent::Configure(Arc::new(text)), &mut actions);
    for service in 0..services {
        let views = (0..servers).filter(|index| index % services == service).map(|index| view(now, index)).collect();
        dispatcher.handle(now, DispatchEvent::Servers(configs::service(service).into(), views), &mut actions);
    }
    // No coordinator answers, so that every call waits.
    for id in 0..calls as u64 {
        let call = Call {
            id,
            service: configs::service(id as usize % services).into(),
            customer: format!("customer-{}", id % 24).into(),
            idempotent: true,
            replayable: true,
            deadline: now + Duration::from_secs(60),
            depth: 0,
            retry_allowance: false,
            upload: false,
            options: CallOptions::default(),
        };
        dispatcher.handle(now, DispatchEvent::Arrive(call), &mut actions);
        actions.clear();
    }
    dispatcher
}

fn view(now: Instant, index: usize) -> ServerView {
    let announcement = announcement(index, 58);
    ServerView {
        id: announcement.server,
        address: announcement.address,
        data_centre: announcement.data_centre,
        slots: announcement.slots,
        connections: announcement.connections,
        state: ServerState::Ready,
        lease_end: now + Duration::from_secs(60),
        ready_since: now,
    }
}

fn burn(now: Instant, customers: usize) -> BurnCounter {
    let mut burn = BurnCounter::new(now);
    burn.configure(&Configuration::parse(&configs::config(1, 3)).unwrap_or_default());
    for customer in 0..customers {
        let name = format!("customer-{customer:05}");
        burn.record(now, &configs::service(0), &name, Duration::from_millis(5), true);
    }
    burn
}

/// Returns a ledger with settled claims.
pub(super) fn ledger(claims: usize, body: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let outcome = SettledOutcome::new(201, Some("application/json".into()), Some(&vec![b'x'; body]));
    for number in 0..claims as u64 {
        let (key, holder) = claim(number);
        let at = 1;
        let request_digest = ContentDigest::of(&number.to_le_bytes());
        let claim =
            Command::Claim { key: key.clone(), holder: holder.clone(), request_digest, retention_ms: 900_000, at };
        ledger.apply(2 * number + 1, claim);
        ledger.apply(2 * number + 2, Command::Settle { key, holder, outcome: outcome.clone(), at });
    }
    ledger
}

/// Returns the key of a claim, as long as a UUID, and its holder.
pub(super) fn claim(number: u64) -> (ClaimKey, Holder) {
    let key = ClaimKey {
        service: configs::service(number as usize % 58).into(),
        customer: format!("customer-{}", number % 24).into(),
        key: format!("{number:08x}-1d2c-4f6e-8a9b-{number:012x}").into(),
    };
    (key, Holder { instance: "entry-00".into(), incarnation: INCARNATION, sequence: number })
}
