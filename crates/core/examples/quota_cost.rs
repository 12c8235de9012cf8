//! Measures the processor time and the size of messages of the pool of a leader and of the holders of entries.
//!
//! `cargo run --release --example quota_cost` prints one line for each size of the fleet. Processor time of sockets and
//! tasks is not included.

use {
    hemlockford_core::{
        config::Configuration,
        ids::InstanceId,
        quota::{Admission, CreditHolder, CreditPool, HolderAction, QuotaTolerance},
        slots::{NameHash, name_hash},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

const CUSTOMERS: usize = 86;
/// Calls per second of all customers together, as in Sofia.
const CALLS_PER_SECOND: f64 = 839.0;
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 1_000;

fn main() {
    let names: Vec<String> = (0..CUSTOMERS).map(|number| format!("customer-{number}")).collect();
    let section = |name: &String| format!("[customer {name}]\nrate = 14\nburst = 20\n");
    let text = format!("[change]\nnumber = 1\n{}", names.iter().map(section).collect::<String>());
    let Ok(config) = Configuration::parse(&text) else { return };
    let hashes: Vec<NameHash> = names.iter().map(|name| name_hash(name)).collect();
    println!("entries  requests/s  request bytes  answer bytes  leader us/request  entry us/request  leader bytes/s");
    for entries in [6, 52, 194, 1_900] {
        run(entries, &config, &hashes);
    }
}

fn run(entries: usize, config: &Configuration, customers: &[NameHash]) {
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut pool = CreditPool::new(now, 1, QuotaTolerance::default());
    pool.configure(now, config);
    let mut holders: Vec<(InstanceId, CreditHolder)> = (0..entries)
        .map(|index| (format!("10.0.0.1:{index}").into(), CreditHolder::new(QuotaTolerance::default(), &mut rng)))
        .collect();
    for (_, holder) in &mut holders {
        holder.configure(now + STEP.mul_f64(rng.random_range(0.0..25.0)), config);
    }
    let (mut requests, mut request_bytes, mut answer_bytes) = (0_usize, 0, 0);
    let (mut at_leader, mut at_entries) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..STEPS {
        now += STEP;
        let calls = CALLS_PER_SECOND * STEP.as_secs_f64();
        let calls = calls as usize + usize::from(rng.random_bool(calls.fract()));
        for _ in 0..calls {
            let (entry, customer) = (rng.random_range(0..entries), customers[rng.random_range(0..customers.len())]);
            let holder = &mut holders[entry].1;
            match holder.arrive(now, customer, &mut rng) {
                Admission::Admitted(ticket) => drop(holder.spend(now, ticket)),
                Admission::Wait => {
                    holder.start_waiting(now, customer);
                    holder.stop_waiting(customer);
                }
                _ => {}
            }
        }
        pool.advance(now);
        for (name, holder) in &mut holders {
            let began = Instant::now();
            let mut actions = Vec::new();
            holder.tick(now, &mut actions);
            at_entries += began.elapsed();
            for action in actions {
                let HolderAction::Request(request) = action else { continue };
                requests += 1;
                request_bytes += postcard::to_stdvec(&request).map_or(0, |bytes| bytes.len());
                let began = Instant::now();
                let Some(response) = pool.handle(now, name, 1, &request) else { continue };
                at_leader += began.elapsed();
                answer_bytes += postcard::to_stdvec(&response).map_or(0, |bytes| bytes.len());
                let began = Instant::now();
                holder.receive(now, &"leader".into(), &response, &mut Vec::new());
                at_entries += began.elapsed();
            }
        }
    }
    let seconds = STEP.as_secs_f64() * f64::from(STEPS);
    let per_request = |time: Duration| time.as_secs_f64() * 1e6 / requests as f64;
    println!(
        "{entries:7}  {:10.0}  {:13}  {:12}  {:17.1}  {:16.1}  {:14.0}",
        requests as f64 / seconds,
        request_bytes / requests,
        answer_bytes / requests,
        per_request(at_leader),
        per_request(at_entries),
        (request_bytes + answer_bytes) as f64 / seconds,
    );
}
