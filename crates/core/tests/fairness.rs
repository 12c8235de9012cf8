//! A noisy customer gets only its share.

mod support;

use {
    hemlockford_core::outcome::Outcome,
    std::time::Duration,
    support::{Cluster, Traffic},
};

const TEXT: &str = "[change]\nnumber = 1\n[service catalogue]\ndeadline = 800ms\n";
/// Target for the p99 of a quiet customer beside a noisy one, relative to its p99 alone.
const MAX_P99_RATIO: f64 = 1.25;

fn traffic(customer: &str, rate: f64, entries: &[usize]) -> Traffic {
    Traffic {
        customer: customer.into(),
        rate,
        entries: entries.to_vec(),
        work: Duration::from_millis(10),
        upload: false,
        exponential: true,
    }
}

/// Returns the p99 of the quiet customer in seconds, all of whose calls must be answered.
fn quiet_p99(seed: u64, noisy: Option<&[usize]>) -> f64 {
    let mut cluster = Cluster::new(seed, 4, 10, 2, TEXT);
    cluster.run_for(Duration::from_secs(1));
    cluster.add_traffic(traffic("quiet", 500.0, &[0, 1, 2, 3]));
    if let Some(entries) = noisy {
        // Ten times its half of the capacity of 2,000 calls/s.
        cluster.add_traffic(traffic("noisy", 10_000.0, entries));
    }
    cluster.run_for(Duration::from_secs(1));
    cluster.calls.retain(|_, record| record.ended_at.is_none());
    cluster.run_for(Duration::from_secs(4));
    let quiet = cluster.calls.values().filter(|record| &*record.customer == "quiet" && record.ended_at.is_some());
    let mut times: Vec<_> = quiet
        .map(|record| {
            assert_eq!(record.outcome, Some(Outcome::Answered), "{record:?}");
            (record.ended_at.unwrap_or_default() - record.arrived_at).as_secs_f64()
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() * 99 / 100]
}

/// Guards against starvation of a quiet customer by a noisy one, through all entries or through one.
#[test]
fn quiet_customer_is_not_starved() {
    for seed in [1, 2] {
        println!("seed {seed}");
        let alone = quiet_p99(seed, None);
        for entries in [&[0, 1, 2, 3][..], &[2]] {
            let beside = quiet_p99(seed, Some(entries));
            assert!(
                beside <= MAX_P99_RATIO * alone,
                "{beside} beside a noisy customer through {entries:?}, {alone} alone"
            );
        }
    }
}

/// Guards against entries that never get a permit if there are fewer slots than entries.
#[test]
fn entries_take_turns_when_slots_are_few() {
    let mut cluster = Cluster::new(3, 6, 1, 2, TEXT);
    cluster.run_for(Duration::from_secs(1));
    let entries = [0, 1, 2, 3, 4, 5];
    entries.iter().for_each(|entry| cluster.add_traffic(traffic("kovar", 100.0, &[*entry])));
    cluster.run_for(Duration::from_secs(5));
    let answered = |entry| {
        let mine = cluster.calls.values().filter(|record| record.entry == entry);
        mine.filter(|record| record.outcome == Some(Outcome::Answered)).count()
    };
    let counts = entries.map(answered);
    let (fewest, total) = (counts.iter().min().copied().unwrap_or_default(), counts.iter().sum::<usize>());
    // 2 slots and 10 ms give 1,000 answers in 5 s, of which an equal share is 166.
    assert!(fewest >= 80 && total >= 800, "{counts:?}");
}
