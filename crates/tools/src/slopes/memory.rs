//! Memory usage of the state of an instance.

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

/// Number of copies of a state that is too small to be measured accurately in pages.
const COPIES: usize = 8;
/// Length of the answer body stored with a claim.
pub(super) const BODY_BYTES: usize = 200;

/// Resident memory per item of each kind of state.
///
/// All state is kept until the end, so that no measurement reuses memory freed by an earlier one.
pub(super) fn memory() -> Result<Slope> {
    let mut slope = Slope::new(
        "memory",
        "Resident memory of what an instance holds",
        "number held",
        &["bytes each", "bytes in all"],
    );
    let now = Instant::now();
    let mut retained = Vec::<Box<dyn Any>>::new();
    for servers in [58, 240, 950, 1_900] {
        let mut create = || Box::new(build_registry(now, servers)) as Box<dyn Any>;
        push_point(&mut slope, &mut retained, "server in the registry", servers, COPIES, &mut create)?;
    }
    for servers in [58, 240, 950, 1_900] {
        let mut create = || Box::new(build_dispatcher(now, servers, 0)) as Box<dyn Any>;
        push_point(&mut slope, &mut retained, "server in the dispatcher", servers, COPIES, &mut create)?;
    }
    for calls in [1_250, 2_500, 5_000, 9_000] {
        let mut create = || Box::new(build_dispatcher(now, 100, calls)) as Box<dyn Any>;
        push_point(&mut slope, &mut retained, "call that waits", calls, COPIES, &mut create)?;
    }
    for services in [15, 58, 120, 240] {
        let source = configs::config(1, services);
        let mut create =
            || Box::new((source.clone(), Configuration::parse(&source).unwrap_or_default())) as Box<dyn Any>;
        push_point(&mut slope, &mut retained, "service in a text with its source", services, COPIES * 8, &mut create)?;
    }
    for customers in [100, 300, 600, 1_000] {
        let mut create = || Box::new(build_burn_counter(now, customers)) as Box<dyn Any>;
        push_point(
            &mut slope,
            &mut retained,
            "customer of a service in the burn counts",
            customers,
            COPIES,
            &mut create,
        )?;
    }
    for claims in [4_000, 8_000, 16_000, 32_000] {
        let mut create = || Box::new(build_ledger(claims, BODY_BYTES)) as Box<dyn Any>;
        push_point(&mut slope, &mut retained, "claim settled with a body of 200 bytes", claims, 1, &mut create)?;
    }
    drop(retained);
    Ok(slope)
}

fn push_point(
    slope: &mut Slope,
    retained: &mut Vec<Box<dyn Any>>,
    line: &str,
    number: usize,
    copies: usize,
    create: &mut dyn FnMut() -> Box<dyn Any>,
) -> Result<()> {
    // The first copy is not counted, because the allocator may request more memory for it than it needs.
    retained.push(create());
    let before = clock::resident_memory()?;
    retained.extend((0..copies).map(|_| create()));
    let total = (clock::resident_memory()? - before) / copies as f64;
    slope.push(line, number as f64, &[total / number as f64, total]);
    Ok(())
}

fn build_registry(now: Instant, servers: usize) -> Registry {
    let mut registry = Registry::new(RegistryOptions::default(), now);
    for index in 0..servers {
        registry.handle(now, RegistryEvent::Announce(announcement(index, 58)), &mut Vec::new());
    }
    registry
}

fn build_dispatcher(now: Instant, servers: usize, calls: usize) -> Dispatcher {
    let options = DispatchOptions { id: "entry-00".into(), incarnation: INCARNATION, roster: 7, ..Default::default() };
    let mut dispatcher = Dispatcher::new(options, SmallRng::seed_from_u64(1));
    let services = 58;
    let config = Configuration::parse(&configs::config(1, services)).unwrap_or_default();
    let mut actions = Vec::new();
    dispatcher.handle(now, DispatchEvent::Configure(Arc::new(config)), &mut actions);
    for service in 0..services {
        let views =
            (0..servers).filter(|index| index % services == service).map(|index| server_view(now, index)).collect();
        dispatcher.handle(now, DispatchEvent::Servers(configs::service_name(service).into(), views), &mut actions);
    }
    // There is no coordinator to answer, so every call waits.
    for id in 0..calls as u64 {
        let call = Call {
            id,
            service: configs::service_name(id as usize % services).into(),
            customer: format!("customer-{}", id % 24).into(),
            idempotent: true,
            replayable: true,
            deadline: now + Duration::from_secs(60),
            depth: 0,
            retry_allowance: false,
            upload: false,
            fingerprint: None,
            relayed: false,
            options: CallOptions::default(),
        };
        dispatcher.handle(now, DispatchEvent::Arrive(call), &mut actions);
        actions.clear();
    }
    dispatcher
}

fn server_view(now: Instant, index: usize) -> ServerView {
    let announcement = announcement(index, 58);
    ServerView {
        id: announcement.server,
        incarnation: announcement.incarnation,
        address: announcement.address,
        data_centre: announcement.data_centre,
        slots: announcement.slots,
        connections: announcement.connections,
        state: ServerState::Ready,
        lease_end: now + Duration::from_secs(60),
        ready_since: now,
        warm_at: now,
    }
}

fn build_burn_counter(now: Instant, customers: usize) -> BurnCounter {
    let mut burn = BurnCounter::new(now);
    burn.configure(&Configuration::parse(&configs::config(1, 3)).unwrap_or_default());
    for customer in 0..customers {
        let name = format!("customer-{customer:05}");
        burn.record(now, &configs::service_name(0), &name, Duration::from_millis(5), true);
    }
    burn
}

/// Returns a ledger with settled claims, each with an answer body of the given length.
pub(super) fn build_ledger(claims: usize, body_bytes: usize) -> Ledger {
    let mut ledger = Ledger::default();
    let outcome = SettledOutcome::new(201, Some("application/json".into()), Some(&vec![b'x'; body_bytes]));
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

/// Returns the key of a claim, which is as long as a UUID, and its holder.
pub(super) fn claim(number: u64) -> (ClaimKey, Holder) {
    let key = ClaimKey {
        service: configs::service_name(number as usize % 58).into(),
        customer: format!("customer-{}", number % 24).into(),
        key: format!("{number:08x}-1d2c-4f6e-8a9b-{number:012x}").into(),
    };
    (key, Holder { instance: "entry-00".into(), incarnation: INCARNATION, sequence: number })
}
