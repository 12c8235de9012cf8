//! Work of a replica and of an entry on configurations with many routes.

use {
    hemlockford_core::{
        config::CheckedConfig,
        consensus::Recovered,
        fleet::{Replica, ReplicaAction, ReplicaAnswer, ReplicaEvent, ReplicaOptions},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::Instant,
};

/// Returns a configuration with customers that have limits, and a number of routes.
fn config(number: u64, routes: usize) -> Box<str> {
    let customers = (0..20).map(|c| format!("[customer c{c}]\nkeys = key-{c}\nrate = {c}.5\nburst = 10\n"));
    let routes = (0..routes).map(|r| {
        format!("[route r{r}]\nhost = h{}.example\nprefix = /p{r}/\nkind = idempotent\nservice = a\n", r % 50)
    });
    let head = [format!("[change]\nnumber = {number}\n[service a]\n")];
    head.into_iter().chain(customers).chain(routes).collect::<String>().into()
}

/// Lets a replica start, take over the leadership and accept a change. Returns the most allocations that one event made,
/// and the number of customers whose limits the leader knows at the end.
fn largest_event(text: Box<str>) -> (u64, usize) {
    let id: Box<str> = "127.0.0.1:7000".into();
    let options =
        ReplicaOptions { id: id.clone(), seeds: vec![id], first_start: true, voters: 1, ..Default::default() };
    let recovered = Recovered { incarnation: 1, ..Default::default() };
    let (mut now, mut actions) = (Instant::now(), Vec::new());
    let mut replica = Replica::new(now, options, recovered, SmallRng::seed_from_u64(1), &mut actions);
    let mut submission = Some(ReplicaEvent::Submit { id: 1, config: CheckedConfig::parse(text).unwrap() });
    let mut largest = 0;
    for _ in 0..40 {
        now = replica.next_wake().unwrap();
        let events = [Some(ReplicaEvent::Tick), Some(ReplicaEvent::Persisted { up_to: u64::MAX }), submission.take()];
        for event in events.into_iter().flatten() {
            let work = allocation_counter::measure(|| replica.handle(now, event, &mut actions));
            largest = largest.max(work.count_total);
        }
    }
    let is_accepted = |action: &ReplicaAction| {
        matches!(action, ReplicaAction::Answer { id: 1, answer: ReplicaAnswer::Accepted { .. } })
    };
    assert!(actions.iter().any(is_accepted), "the change is accepted");
    (largest, replica.credits().count())
}

/// Guards against elections without end: a leader that parsed 4,200 routes sent no heartbeat meanwhile and was replaced.
#[test]
fn a_leader_does_not_stand_still_over_the_routes() {
    let (few, _) = largest_event(config(1, 10));
    let (many, customers) = largest_event(config(1, 5_000));
    assert_eq!(customers, 20, "the leader knows the limits of the customers");
    assert!(many <= 2 * few, "one event makes {many} allocations with 5,000 routes and {few} with 10");
}
