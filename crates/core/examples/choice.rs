//! Measures the time of one balancing decision, from the arrival of a call to its end, for several numbers of
//! servers. Also measures one tick of an idle instance of the size of the design target. Prints CSV.

use {
    hemlockford_core::{
        config::{BalancingPolicy, Configuration},
        dispatch::{
            AttemptResult, Call, CallOptions, DispatchAction, DispatchEvent, DispatchOptions, Dispatcher,
            FinishedAttempt, ServerState, ServerView,
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const SIZES: [usize; 4] = [10, 100, 1_000, 1_900];
const CALLS: u64 = 200_000;
/// Calls in flight during the measurement.
const IN_FLIGHT: u64 = 10;
const SEED: u64 = 3;
/// Size of the design target.
const SERVICES: usize = 58;
const SERVERS_PER_SERVICE: usize = 33;
const PEERS: usize = 9;
const TICKS: u32 = 20_000;

fn main() {
    println!("policy,servers,ns_per_call");
    for policy in BalancingPolicy::ALL {
        for servers in SIZES {
            println!("{policy},{servers},{:.0}", measure(policy, servers));
        }
    }
    println!("tick,{},{:.0}", SERVICES * SERVERS_PER_SERVICE, measure_tick());
}

fn view(name: String, now: Instant) -> ServerView {
    ServerView {
        id: name.into(),
        incarnation: 1,
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "".into(),
        slots: 2,
        connections: 250,
        state: ServerState::Ready,
        lease_end: now + Duration::from_secs(86_400),
        warm_at: now,
        ready_since: now.checked_sub(Duration::from_secs(60)).unwrap_or(now),
    }
}

/// Returns the nanoseconds of one tick; ticks come once per millisecond.
fn measure_tick() -> f64 {
    let options = DispatchOptions { id: "entry-0".into(), ..DispatchOptions::default() };
    let mut dispatcher = Dispatcher::new(options, SmallRng::seed_from_u64(SEED));
    let (mut now, mut actions) = (Instant::now(), Vec::new());
    let names: Vec<String> = (0..SERVICES).map(|number| format!("service-{number}")).collect();
    let sections: String = names.iter().map(|name| format!("[service {name}]\n")).collect();
    let config = Configuration::parse(&format!("[change]\nnumber = 1\n{sections}")).expect("a valid configuration");
    dispatcher.handle(now, DispatchEvent::Configure(Arc::new(config)), &mut actions);
    for name in &names {
        let views = (0..SERVERS_PER_SERVICE).map(|number| view(format!("{name}-{number}"), now)).collect();
        dispatcher.handle(now, DispatchEvent::Servers(name.as_str().into(), views), &mut actions);
    }
    let peers = (0..PEERS).map(|number| format!("entry-{number}").into()).collect();
    dispatcher.handle(now, DispatchEvent::Peers(peers), &mut actions);
    let begin = Instant::now();
    for _ in 0..TICKS {
        now += Duration::from_millis(1);
        actions.clear();
        dispatcher.handle(now, DispatchEvent::Tick, &mut actions);
    }
    begin.elapsed().as_nanos() as f64 / f64::from(TICKS)
}

fn measure(policy: BalancingPolicy, servers: usize) -> f64 {
    let mut dispatcher = Dispatcher::new(DispatchOptions::default(), SmallRng::seed_from_u64(SEED));
    let (mut now, mut actions) = (Instant::now(), Vec::new());
    let config = format!("[change]\nnumber = 1\n[service catalogue]\npolicy = {policy}\n");
    let config = Configuration::parse(&config).expect("a valid configuration");
    dispatcher.handle(now, DispatchEvent::Configure(Arc::new(config)), &mut actions);
    let views = (0..servers).map(|number| view(format!("server-{number}"), now)).collect();
    dispatcher.handle(now, DispatchEvent::Servers("catalogue".into(), views), &mut actions);
    for _ in 0..1_000 {
        now += Duration::from_millis(1);
        dispatcher.handle(now, DispatchEvent::Tick, &mut actions);
    }
    let mut running = std::collections::VecDeque::new();
    let begin = Instant::now();
    for id in 0..CALLS {
        now += Duration::from_micros(50);
        actions.clear();
        let call = Call {
            id,
            service: "catalogue".into(),
            customer: "kovar".into(),
            idempotent: true,
            replayable: true,
            deadline: now + Duration::from_secs(1),
            depth: 0,
            retry_allowance: false,
            upload: false,
            fingerprint: None,
            relayed: false,
            options: CallOptions::default(),
        };
        dispatcher.handle(now, DispatchEvent::Arrive(call), &mut actions);
        for action in actions.drain(..) {
            if let DispatchAction::Send { call, server, .. } = action {
                running.push_back((call, server));
            }
        }
        if running.len() as u64 > IN_FLIGHT
            && let Some((call, server)) = running.pop_front()
        {
            let finish = FinishedAttempt {
                call,
                server,
                result: AttemptResult::Complete,
                latency: Duration::from_micros(500),
                report: None,
                wants_decision: false,
            };
            dispatcher.handle(now, DispatchEvent::AttemptFinished(finish), &mut actions);
        }
        if id % 20 == 0 {
            dispatcher.handle(now, DispatchEvent::Tick, &mut actions);
        }
    }
    begin.elapsed().as_nanos() as f64 / CALLS as f64
}
