//! Tests of arrival and service times.

use {
    hemlockford_tools::{
        LoadOptions, ServiceTime,
        load::{Arrival, Arrivals, CustomerLoad, MethodShare, Schedule},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const SEED: u64 = 20_261_204;

fn options(arrivals: Arrivals) -> LoadOptions {
    LoadOptions {
        customers: ["kovar=100", "novak=1000"].map(|text| text.parse::<CustomerLoad>().expect("a customer")).into(),
        methods: ["get=3", "post=1"].map(|text| text.parse::<MethodShare>().expect("a method")).into(),
        arrivals,
        duration: Duration::from_secs(10),
        seed: SEED,
        ..LoadOptions::default()
    }
}

/// Guards against runs that cannot be reproduced from the printed seed.
#[test]
fn the_same_seed_gives_the_same_schedule() {
    println!("seed {SEED}");
    let schedule = |seed| Schedule::new(&LoadOptions { seed, ..options(Arrivals::Poisson) }).collect::<Vec<Arrival>>();
    assert_eq!(schedule(SEED), schedule(SEED));
    assert_ne!(schedule(SEED), schedule(SEED + 1));
}

/// Guards against arrivals that do not follow the configured rates and weights or are out of order.
#[test]
fn rates_and_weights_are_respected() {
    println!("seed {SEED}");
    for arrivals in [Arrivals::Constant, Arrivals::Poisson] {
        let calls: Vec<_> = Schedule::new(&options(arrivals)).collect();
        assert!(calls.is_sorted_by_key(|call| call.at), "{arrivals:?}");
        let count = |is_counted: fn(&&Arrival) -> bool| calls.iter().filter(is_counted).count() as f64;
        // The tolerances are four standard deviations of Poisson counts of 1,000, 10,000 and 2,750.
        assert!((count(|call| call.customer == 0) - 1_000.0).abs() < 130.0, "{arrivals:?}");
        assert!((count(|call| call.customer == 1) - 10_000.0).abs() < 400.0, "{arrivals:?}");
        assert!((count(|call| call.method == 1) - 2_750.0).abs() < 210.0, "{arrivals:?}");
    }
}

/// Guards against distributions with a wrong mean, which would distort every measurement at a given utilization.
#[test]
fn service_times_have_the_configured_mean() {
    println!("seed {SEED}");
    for text in ["5ms", "constant:5ms", "exponential:5ms", "lognormal:5ms", "lognormal:5ms:0.8"] {
        let time: ServiceTime = text.parse().expect("a distribution");
        let mut rng = SmallRng::seed_from_u64(SEED);
        let total: Duration = (0..100_000).map(|_| time.sample(&mut rng)).sum();
        let mean = total.as_secs_f64() / 100_000.0;
        assert!((mean - 0.005).abs() < 0.0001, "{text}: {mean}");
    }
    for text in ["", "5", "uniform:5ms", "exponential", "lognormal:5ms:9", "constant:5ms:1"] {
        assert!(text.parse::<ServiceTime>().is_err(), "{text}");
    }
}
