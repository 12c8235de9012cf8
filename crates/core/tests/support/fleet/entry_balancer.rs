//! The component that balances the calls of an entry.

use {
    hemlockford_core::{
        config::{BalancingPolicy, Configuration},
        dispatch::{DispatchAction, DispatchEvent, DispatchOptions, Dispatcher},
        probing::{Balancer, BalancerOptions},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Interval between ticks of a dispatcher.
const TICK: Duration = Duration::from_millis(5);

/// The component that balances the calls of an entry.
#[derive(Debug)]
pub enum EntryBalancer {
    Probing(Box<Balancer>),
    Policy(Box<Dispatcher>),
}

impl EntryBalancer {
    /// Creates the balancer of a fleet, or a dispatcher with one of the baseline policies.
    pub fn new(
        policy: Option<BalancingPolicy>,
        data_centre: &str,
        (services, keys): (&[&str], &str),
        seed: u64,
        now: Instant,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        let sections = |policy: &str| {
            let sections = services.iter().map(|name| format!("[service {name}]\n{policy}"));
            let config = format!("[change]\nnumber = 1\n{}", sections.collect::<String>());
            Arc::new(Configuration::parse(&config).expect("a valid configuration"))
        };
        let (mut entry_balancer, config) = match policy {
            None => {
                let options = BalancerOptions { data_centre: data_centre.into(), ..BalancerOptions::default() };
                (Self::Probing(Box::new(Balancer::new(options, rng))), sections(keys))
            }
            Some(policy) => {
                let options = DispatchOptions { id: "entry".into(), ..DispatchOptions::default() };
                let config = sections(&format!("policy = {policy}\nretry-budget = 20%\n"));
                (Self::Policy(Box::new(Dispatcher::new(options, rng))), config)
            }
        };
        entry_balancer.handle(now, DispatchEvent::Configure(config), &mut Vec::new());
        entry_balancer
    }

    pub fn handle(&mut self, now: Instant, event: DispatchEvent, actions: &mut Vec<DispatchAction>) {
        match self {
            Self::Probing(balancer) => balancer.handle(now, event, actions),
            Self::Policy(dispatcher) => dispatcher.handle(now, event, actions),
        }
    }

    /// Returns when a tick is needed.
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        match self {
            Self::Probing(balancer) => balancer.next_wake(),
            Self::Policy(dispatcher) => (dispatcher.waiting() > 0).then(|| now + TICK),
        }
    }
}
