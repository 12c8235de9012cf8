//! Work of a replica and of an entry on configurations with many routes.

use {
    hemlockford_core::{
        config::{CheckedConfig, Configuration},
        consensus::Recovered,
        fleet::{
            ConfigUpdate, EntryAction, EntryEvent, EntryLink, EntryOptions, FleetMessage, Replica, ReplicaAction,
            ReplicaAnswer, ReplicaEvent, ReplicaOptions,
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Instant},
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

/// Guards against changes that are in force late: an entry parsed each of 25 long configurations that followed each other
/// within 1.5 s, one after the other, and handled no request meanwhile.
#[test]
fn an_entry_does_not_parse_every_long_configuration_of_a_storm() {
    let now = Instant::now();
    let options = EntryOptions { seeds: vec!["replica".into()], ..Default::default() };
    let mut link = EntryLink::new(now, options, SmallRng::seed_from_u64(1));
    let texts: Vec<_> = (1..=25).map(|number| config(number, 1_000)).collect();
    let (mut parses, mut configured) = (Vec::new(), Vec::new());
    let mut handle = |event, parses: &mut Vec<(u64, Arc<str>)>| {
        let mut actions = Vec::new();
        let work = allocation_counter::measure(|| link.handle(now, event, &mut actions));
        assert!(work.count_total < 1_000, "one event makes {} allocations", work.count_total);
        for action in actions {
            match action {
                EntryAction::Parse { number, text } => parses.push((number, text)),
                EntryAction::Configure(config) => configured.push(config.number),
                _ => {}
            }
        }
    };
    let mut old: (u64, &str) = (0, "");
    for (number, text) in (1..).zip(&texts) {
        let message = FleetMessage::Install(ConfigUpdate::between(old, (number, text)));
        handle(EntryEvent::Receive { from: "replica".into(), incarnation: 1, message }, &mut parses);
        old = (number, text);
    }
    for _ in 0..2 {
        let (number, text) = parses.pop().expect("a text is parsed");
        assert!(parses.is_empty(), "two texts are parsed at once");
        let config = Some(Arc::new(Configuration::parse(&text).unwrap()));
        handle(EntryEvent::Parsed { number, config }, &mut parses);
    }
    assert!(parses.is_empty(), "nothing is left to parse");
    assert_eq!(configured, [1, 25]);
}
