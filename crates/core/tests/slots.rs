//! Permits in use never exceed the slots of a server, even if messages are lost or entries fail.

mod support;

use {
    hemlockford_core::{
        config::Configuration,
        dispatch::DispatchEvent,
        slots::{SlotMessage, Slots},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{Cluster, SERVICE, Traffic},
};

const CONFIG: &str = "[change]\nnumber = 1\n[service catalogue]\ndeadline = 800ms\n";
/// Maximum size of a datagram that is not fragmented, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_200;

fn traffic(rate: f64, entries: &[usize]) -> Traffic {
    Traffic {
        customer: "kovar".into(),
        rate,
        entries: entries.to_vec(),
        work: Duration::from_millis(10),
        upload: false,
        exponential: false,
    }
}

/// Fails if the permits that entries may use now for a server exceed its slots.
fn check_permits(cluster: &Cluster) {
    let now = cluster.instant();
    for server in &cluster.servers {
        let entries = cluster.entries.iter().zip(&cluster.frozen);
        let permits: Vec<u32> = entries
            .map(|(entry, frozen)| match entry {
                Some(entry) if !frozen => entry.permits(now, SERVICE, &server.id),
                _ => 0,
            })
            .collect();
        let total: u32 = permits.iter().sum();
        assert!(total <= server.slots as u32, "{} at {:?}: {permits:?}", server.id, cluster.now);
    }
}

/// Fails if a call did not get exactly one final decision.
fn check_decisions(cluster: &Cluster) {
    for (call, record) in &cluster.calls {
        assert_eq!(record.decisions, 1, "call {call}: {record:?}");
    }
}

fn coordinator(cluster: &Cluster) -> usize {
    let name = cluster.entries.iter().flatten().next().and_then(|entry| entry.coordinator(SERVICE)).cloned();
    (0..cluster.entries.len()).find(|entry| Some(Cluster::name(*entry)) == name).expect("a coordinator")
}

/// Guards against permits that are granted twice while they move between entries over a network that loses, duplicates
/// and reorders messages, against lost wakeups, and against permits that are lost.
#[test]
fn permits_stay_within_slots_when_messages_are_lost() {
    for (seed, load, loss) in [(1, 0.6, 0.0), (2, 0.85, 0.2), (3, 1.5, 0.2), (4, 0.85, 0.05), (2003, 0.6, 0.3)] {
        println!("seed {seed}");
        let mut cluster = Cluster::new(seed, 6, 10, 2, CONFIG);
        (cluster.loss_rate, cluster.duplicate_rate) = (loss, loss);
        cluster.max_jitter = Duration::from_secs_f64(loss / 20.0);
        cluster.add_traffic(traffic(2_000.0 * load, &[0, 1, 2, 3, 4, 5]));
        cluster.run_with(Duration::from_secs(4), check_permits);
        let most = cluster.servers.iter().map(|server| server.max_calls).max();
        assert_eq!(most, Some(2), "calls at one server at a time");
        cluster.traffic[0].rate = 1e-9;
        cluster.run_with(Duration::from_secs(3), check_permits);
        check_decisions(&cluster);
        let (done, all) = (cluster.answered_count(), cluster.calls.len());
        assert!(load > 1.0 || done == all, "{done} of {all} calls were answered below capacity");
        assert!(cluster.largest_message < MAX_DATAGRAM_BYTES, "{} bytes", cluster.largest_message);
        // One entry gets all slots again, so none was lost.
        let calls: Vec<_> =
            (0..20).map(|_| cluster.start_call(0, "kovar".into(), Duration::from_millis(500), false)).collect();
        cluster.run_for(Duration::from_millis(300));
        let running = |call: &&u64| cluster.calls[*call].server.is_some();
        assert_eq!(calls.iter().filter(running).count(), 20, "slots in use");
    }
}

/// Guards against the loss or double use of permits when entries fail, restart or freeze and their peers detect it late.
#[test]
fn permits_stay_within_slots_when_entries_come_and_go() {
    for seed in 10..16 {
        println!("seed {seed}");
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cluster = Cluster::new(seed, 4, 6, 2, CONFIG);
        cluster.loss_rate = 0.05;
        cluster.add_traffic(traffic(900.0, &[0, 1, 2, 3]));
        cluster.run_with(Duration::from_secs(1), check_permits);
        for _ in 0..4 {
            let victim = rng.random_range(0..4);
            let others: Vec<_> = (0..4).filter(|entry| *entry != victim).collect();
            let is_frozen = rng.random_bool(0.5);
            if is_frozen {
                cluster.frozen[victim] = true;
            } else {
                cluster.kill(victim);
            }
            // A silent peer is suspected after 1 s, but not by all others at the same time.
            cluster.run_with(Duration::from_millis(1_000), check_permits);
            for entry in &others {
                cluster.set_peers(*entry, &others);
                cluster.run_with(Duration::from_millis(rng.random_range(0..80)), check_permits);
            }
            cluster.run_with(Duration::from_millis(700), check_permits);
            if is_frozen {
                cluster.frozen[victim] = false;
            } else {
                cluster.start(victim);
            }
            cluster.run_with(Duration::from_millis(rng.random_range(0..50)), check_permits);
            for entry in 0..4 {
                cluster.set_peers(entry, &[0, 1, 2, 3]);
                cluster.run_with(Duration::from_millis(rng.random_range(0..80)), check_permits);
            }
            cluster.run_with(Duration::from_secs(1), check_permits);
        }
        cluster.traffic[0].rate = 1e-9;
        cluster.run_with(Duration::from_secs(3), check_permits);
        check_decisions(&cluster);
    }
}

/// Guards against the use of permits whose lease expired while the process was frozen.
#[test]
fn resumed_entry_uses_no_expired_permit() {
    let mut cluster = Cluster::new(21, 3, 6, 2, CONFIG);
    cluster.add_traffic(traffic(600.0, &[0, 1, 2]));
    cluster.run_for(Duration::from_secs(1));
    for entry in 0..3 {
        let held = |cluster: &Cluster| -> u32 {
            let permits = |server: &support::Server| {
                cluster.entries[entry].as_ref().map_or(0, |entry| entry.permits(cluster.instant(), SERVICE, &server.id))
            };
            cluster.servers.iter().map(permits).sum()
        };
        assert!(held(&cluster) > 0, "entry {entry} holds permits before");
        cluster.frozen[entry] = true;
        cluster.run_for(Duration::from_millis(1_500));
        assert_eq!(held(&cluster), 0, "entry {entry} holds permits after");
        let call = cluster.start_call(entry, "kovar".into(), Duration::from_millis(10), false);
        assert_eq!(cluster.calls[&call].server, None, "sent on an expired permit");
        cluster.frozen[entry] = false;
        cluster.run_for(Duration::from_secs(1));
        assert!(cluster.calls[&call].ended_at.is_some());
    }
}

/// Guards against a service that stops when its coordinator fails.
#[test]
fn failed_coordinator_is_replaced() {
    let mut cluster = Cluster::new(31, 4, 8, 2, CONFIG);
    cluster.add_traffic(traffic(800.0, &[0, 1, 2, 3]));
    cluster.run_for(Duration::from_secs(1));
    let failed = coordinator(&cluster);
    cluster.kill(failed);
    cluster.run_with(Duration::from_secs(1), check_permits);
    let live: Vec<_> = (0..4).filter(|entry| *entry != failed).collect();
    live.iter().for_each(|entry| cluster.set_peers(*entry, &live));
    cluster.run_with(Duration::from_secs(1), check_permits);
    assert!(live.contains(&coordinator(&cluster)));
    cluster.calls.retain(|_, record| record.ended_at.is_none());
    cluster.run_with(Duration::from_secs(1), check_permits);
    let ended = cluster.calls.values().filter(|record| record.ended_at.is_some()).count();
    assert_eq!(cluster.answered_count(), ended, "every call is answered under the new coordinator");
}

/// Guards against an entry without a reachable coordinator that stops, or that uses more than its own share.
#[test]
fn entry_without_a_coordinator_uses_its_share() {
    let mut cluster = Cluster::new(41, 4, 8, 2, CONFIG);
    cluster.run_for(Duration::from_secs(1));
    cluster.loss_rate = 1.0;
    let isolated = (coordinator(&cluster) + 1) % 4;
    cluster.run_for(Duration::from_millis(1_200));
    let calls: Vec<_> =
        (0..16).map(|_| cluster.start_call(isolated, "kovar".into(), Duration::from_millis(500), false)).collect();
    cluster.run_for(Duration::from_millis(400));
    let running = calls.iter().filter(|call| cluster.calls[*call].server.is_some()).count();
    assert_eq!(running, 4, "a quarter of the 16 slots");
}

/// Guards against control traffic without calls. The control budget of a node covers 58 services.
#[test]
fn idle_service_is_silent() {
    let mut cluster = Cluster::new(51, 6, 20, 2, CONFIG);
    cluster.add_traffic(traffic(1_000.0, &[0, 1, 2, 3, 4, 5]));
    cluster.run_for(Duration::from_secs(1));
    cluster.traffic[0].rate = 1e-9;
    cluster.run_for(Duration::from_secs(3));
    let before = cluster.message_count;
    cluster.run_for(Duration::from_secs(5));
    assert_eq!(cluster.message_count, before);
}

/// Guards against endless retransmission of a report that its coordinator ignores and never acknowledges. One entry
/// is told its peers again after a service without servers was added.
#[test]
fn service_without_servers_is_silent() {
    let mut cluster = Cluster::new(61, 7, 36, 2, CONFIG);
    cluster.loss_rate = 0.2;
    cluster.configuration = services(59);
    (0..7).for_each(|entry| cluster.handle(entry, DispatchEvent::Configure(cluster.configuration.clone())));
    cluster.run_for(Duration::from_secs(1));
    cluster.set_peers(0, &[0, 1, 2, 3, 4]);
    cluster.run_for(Duration::from_millis(250));
    cluster.set_peers(0, &[0, 1, 2, 3, 4, 5, 6]);
    assert_eq!(messages_at_rest(&mut cluster), 0);
}

/// Guards against an entry whose reports are considered outdated because a service was removed and added again.
#[test]
fn service_that_returns_is_silent() {
    let mut cluster = Cluster::new(62, 4, 6, 2, CONFIG);
    cluster.loss_rate = 0.2;
    // A second selection of a coordinator increases the number of the entry's full report.
    let entry = (coordinator(&cluster) + 1) % 4;
    let others: Vec<_> = (0..4).filter(|other| *other == entry || *other != coordinator(&cluster)).collect();
    cluster.set_peers(entry, &others);
    cluster.set_peers(entry, &[0, 1, 2, 3]);
    cluster.run_for(Duration::from_secs(1));
    let without = Configuration::parse("[change]\nnumber = 2\n[service stock]\ndeadline = 800ms\n")
        .expect("a valid configuration");
    cluster.handle(entry, DispatchEvent::Configure(Arc::new(without)));
    cluster.handle(entry, DispatchEvent::Configure(cluster.configuration.clone()));
    assert_eq!(messages_at_rest(&mut cluster), 0);
}

/// Guards against endless retransmissions after any history of calls, configuration changes, message loss and restarts.
#[test]
fn entries_are_silent_after_any_history() {
    println!("seeds 0 to 11");
    let mut failures = Vec::new();
    for seed in 0..12 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut cluster = Cluster::new(seed, 4, 20, 4, CONFIG);
        let configs = [cluster.configuration.clone(), services(5)];
        (cluster.loss_rate, cluster.duplicate_rate, cluster.max_jitter) = (0.3, 0.1, Duration::from_millis(3));
        cluster.add_traffic(traffic(3_000.0, &[0, 1, 2, 3]));
        for _ in 0..20 {
            let entry = rng.random_range(0..4);
            match rng.random_range(0..6) {
                0 => cluster.kill(entry),
                1 => {
                    cluster.kill(entry);
                    cluster.start(entry);
                }
                2 => {
                    let peers: Vec<_> = (0..4).filter(|other| *other == entry || rng.random_bool(0.5)).collect();
                    cluster.set_peers(entry, &peers);
                }
                3 => cluster.handle(entry, DispatchEvent::Configure(configs[rng.random_range(0..2)].clone())),
                4 => cluster.handle(entry, DispatchEvent::Configure(Arc::default())),
                _ => cluster.handle(entry, DispatchEvent::Servers(SERVICE.into(), Vec::new())),
            }
            cluster.run_for(Duration::from_millis(rng.random_range(0..200)));
        }
        cluster.configuration = configs[1].clone();
        for entry in 0..4 {
            if cluster.entries[entry].is_none() {
                cluster.start(entry);
            }
            cluster.handle(entry, DispatchEvent::Configure(cluster.configuration.clone()));
            cluster.send_server_list(entry);
            cluster.set_peers(entry, &[0, 1, 2, 3]);
        }
        cluster.traffic[0].rate = 1e-9;
        let count = messages_at_rest(&mut cluster);
        if count > 0 {
            failures.push((seed, count));
        }
    }
    assert!(failures.is_empty(), "seeds and messages in 2 s: {failures:?}");
}

/// Guards against an entry that has more to report than fits in one message and is asked to start over each time, and
/// against records that stay in the backlog when a service moves to another coordinator. An empty window does not
/// request an acknowledgement, so the report that depends on the backlog would be retransmitted endlessly.
#[test]
fn backlog_is_sent_when_a_service_leaves_the_link() {
    let base = Instant::now();
    let mut instances = ["a", "b", "c"].map(|id| Slots::new(id.into(), 1, 3, SmallRng::seed_from_u64(71)));
    let coordinator = |peers: &[&str], service| {
        let mut slots = Slots::new("a".into(), 1, 3, SmallRng::seed_from_u64(71));
        slots.set_peers(base, peers.iter().map(|peer| (*peer).into()).collect());
        slots.set_servers(base, service, [(1, 1)].into_iter().collect());
        slots.coordinator(service).cloned()
    };
    // The first service moves to c when c joins; the second stays with b.
    let wanted = |service: &u64, later: &str| {
        coordinator(&["b"], *service) == Some("b".into()) && coordinator(&["b", "c"], *service) == Some(later.into())
    };
    let first = (1..).find(|service| wanted(service, "c")).expect("a service");
    let second = (first + 1..).find(|service| wanted(service, "b")).expect("a service");
    let servers: Vec<u64> = (1..=14).collect();
    let slots_of = || servers.iter().map(|server| (*server, 1)).collect();
    let peers = |others: &[&str]| others.iter().map(|id| (*id).into()).collect();
    for service in [first, second] {
        instances.iter_mut().for_each(|slots| slots.set_servers(base, service, slots_of()));
    }
    instances[0].set_peers(base, peers(&["b"]));
    instances[1].set_peers(base, peers(&["a"]));
    for server in &servers {
        // Permits of calls in flight remain held even if they are revoked.
        [first, second].iter().for_each(|service| instances[0].start_call(base, *service, *server));
    }
    instances[0].set_peers(base, Vec::new());
    instances[0].set_peers(base, peers(&["b"]));
    instances[0].set_peers(base, peers(&["b", "c"]));
    instances[1].set_peers(base, peers(&["a", "c"]));
    instances[2].set_peers(base, peers(&["a", "b"]));
    let mut updates = 0;
    for ms in 0..900 {
        let now = base + Duration::from_millis(ms);
        for from in 0..3 {
            let mut messages = Vec::new();
            instances[from].begin_event(now);
            instances[from].tick(now);
            instances[from].flush(now, &|_| Vec::new(), &mut messages);
            for (to, message) in messages {
                let to = ["a", "b", "c"].iter().position(|id| **id == *to).expect("a known instance");
                let is_update = matches!(message, SlotMessage::Update(..));
                updates += u64::from(ms >= 100 && from != to && is_update);
                instances[to].receive(now, &["a", "b", "c"][from].into(), &message);
            }
        }
    }
    assert_eq!(updates, 0, "messages after 100 ms other than renewals");
}

/// Returns the number of messages within 2 s, after 3 s without changes, over links that lose a fifth of them.
fn messages_at_rest(cluster: &mut Cluster) -> u64 {
    cluster.loss_rate = 0.2;
    cluster.run_for(Duration::from_secs(3));
    let before = cluster.message_count;
    cluster.run_for(Duration::from_secs(2));
    cluster.message_count - before
}

fn services(count: usize) -> Arc<Configuration> {
    let services = (0..count).map(|number| format!("[service service-{number}]\ndeadline = 800ms\n"));
    Arc::new(Configuration::parse(&(CONFIG.to_owned() + &services.collect::<String>())).expect("a valid configuration"))
}
