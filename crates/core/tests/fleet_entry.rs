//! Servers of an entry whose replicas have different directories.

use {
    hemlockford_core::{
        collections::FastMap,
        dispatch::ServerView,
        fleet::{
            EntryAction, EntryEvent, EntryLink, EntryOptions, FleetMessage, Poll, PollResponse, Servers, UsableServer,
        },
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Time for which an entry keeps a server that a full directory lacks.
const ABSENCE_GRACE: Duration = Duration::from_secs(2);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

fn server(id: &str, port: u16, incarnation: u64) -> UsableServer {
    UsableServer {
        server: id.into(),
        service: "a".into(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "north".into(),
        slots: 2,
        incarnation,
        warm_up_ms: 0,
    }
}

/// Update from a replica with a complete directory: the full directory in answer to a poll, or the changes since the
/// previous revision.
fn servers_update(revision: u64, echo: Option<u64>, usable: &[UsableServer], removed: &[&str]) -> Servers {
    Servers {
        from: echo.is_none().then(|| revision - 1),
        to: revision,
        echo,
        is_current: true,
        is_complete: true,
        usable: usable.to_vec(),
        removed: removed.iter().map(|server| (*server).into()).collect(),
        departed: Vec::new(),
    }
}

/// An entry whose replicas `r0` and `r1` are simulated by the test.
struct Harness {
    now: Instant,
    link: EntryLink,
    polls: FastMap<Box<str>, Poll>,
    views: Vec<ServerView>,
    /// Newest change that the replicas name in their answers.
    change: u64,
    logs: Vec<String>,
}

impl Harness {
    /// Delivers the full directory of `r0`, and then that of `r1`.
    fn new(first: &[UsableServer], second: &[UsableServer]) -> Self {
        let now = Instant::now();
        let seeds = vec!["r0".into(), "r1".into()];
        let options = EntryOptions { id: "e".into(), data_centre: "north".into(), seeds, ..EntryOptions::default() };
        let link = EntryLink::new(now, options, SmallRng::seed_from_u64(1));
        let mut harness = Self { now, link, polls: FastMap::default(), views: Vec::new(), change: 0, logs: Vec::new() };
        for (replica, usable) in [("r0", first), ("r1", second)] {
            harness.run(replica, ms(2_000));
            assert_eq!(harness.link.replica().map(|name| &**name), Some(replica));
            let echo = harness.polls[replica].sequence;
            harness.deliver(replica, servers_update(1, Some(echo), usable, &[]));
        }
        harness
    }

    fn event(&mut self, event: EntryEvent) {
        let mut actions = Vec::new();
        self.link.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                EntryAction::Send { to, message: FleetMessage::Poll(poll) } => {
                    self.polls.insert(to, poll);
                }
                EntryAction::ServersChanged(_, views) => self.views = views,
                EntryAction::Log(log) => self.logs.push(log.to_string()),
                _ => {}
            }
        }
    }

    fn receive(&mut self, from: &str, message: FleetMessage) {
        self.event(EntryEvent::Receive { from: from.into(), incarnation: 1, message });
    }

    fn deliver(&mut self, from: &str, servers: Servers) {
        self.receive(from, FleetMessage::Servers(servers));
    }

    /// Advances the time while only one replica answers polls.
    fn run(&mut self, replica: &str, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += ms(50);
            self.event(EntryEvent::Tick);
            let Some(echo) = self.polls.get(replica).map(|poll| poll.sequence) else { continue };
            let state = PollResponse {
                echo,
                is_current: true,
                is_complete: true,
                change: self.change,
                revision: 1,
                entries: 1,
                position: 0,
                data_centre: "south".into(),
                replicas: Vec::new(),
                relays: Vec::new(),
            };
            self.receive(replica, FleetMessage::PollResponse(state));
        }
    }

    fn held(&self) -> Vec<(&str, u16)> {
        self.views.iter().map(|view| (&*view.id, view.address.port())).collect()
    }
}

/// Pairs of an older server, known to the second replica, and a newer one with the same address or id.
fn pairs() -> [(UsableServer, UsableServer); 2] {
    [(server("s", 1, 10), server("t", 1, 20)), (server("s", 1, 10), server("s", 2, 20))]
}

/// Guards against an entry that drops a server for an older one with the same address or id, because its replica has
/// not learned of the newer one.
#[test]
fn a_newer_server_stays_until_the_replica_learns_of_it() {
    for (older, newer) in pairs() {
        let held = [(&*newer.server, newer.address.port())];
        let mut harness = Harness::new(std::slice::from_ref(&newer), std::slice::from_ref(&older));
        harness.run("r1", ABSENCE_GRACE - ms(200));
        assert_eq!(harness.held(), held, "after the full directory");
        // A change of the older server says nothing about the newer one.
        harness.deliver("r1", servers_update(2, None, &[UsableServer { slots: 4, ..older.clone() }], &[]));
        assert_eq!(harness.held(), held, "after a change of the older one");
        let removed: &[&str] = if older.server == newer.server { &[] } else { &["s"] };
        harness.deliver("r1", servers_update(3, None, std::slice::from_ref(&newer), removed));
        harness.run("r1", ms(5_000));
        assert_eq!(harness.held(), held, "after the replica reported the newer one");
    }
}

/// Guards against a removal or departure of an older incarnation that also removes the newer one, which the replica
/// does not know.
#[test]
fn the_removal_of_an_older_incarnation_spares_the_newer_one() {
    for second in [&[server("s", 1, 10)][..], &[]] {
        let mut harness = Harness::new(&[server("s", 2, 20)], second);
        harness.deliver("r1", Servers { departed: vec![("s".into(), 10)], ..servers_update(2, None, &[], &["s"]) });
        assert_eq!(harness.held(), [("s", 2)]);
        harness.run("r1", ABSENCE_GRACE + ms(100));
        assert_eq!(harness.held(), []);
    }
}

/// Guards against a server with a wrong, later start time, or one that no longer exists, that blocks its address or id
/// for longer than any other absent server, or is not replaced by the older server when it is removed.
#[test]
fn a_newer_server_that_the_replica_lacks_is_removed() {
    for (older, newer) in pairs() {
        let mut harness = Harness::new(std::slice::from_ref(&newer), std::slice::from_ref(&older));
        // Changes do not restart the grace period.
        harness.run("r1", ABSENCE_GRACE / 2);
        harness.deliver("r1", servers_update(2, None, &[UsableServer { slots: 4, ..older.clone() }], &[]));
        harness.run("r1", ABSENCE_GRACE / 2 + ms(100));
        assert_eq!(harness.held(), [("s", 1)]);
        assert_eq!(harness.views[0].slots, 4);
    }
}

/// Guards against an address without a server after the newer server departed, and against an older server that is
/// restored after it was removed.
#[test]
fn the_older_server_follows_a_departure_unless_it_is_gone_as_well() {
    for (removed, held) in [(&[][..], &[("s", 1)][..]), (&["s"], &[])] {
        let mut harness = Harness::new(&[server("t", 1, 20)], &[server("s", 1, 10)]);
        harness.deliver("r1", servers_update(2, None, &[], removed));
        harness.deliver("r0", Servers { departed: vec![("t".into(), 20)], ..servers_update(9, None, &[], &[]) });
        assert_eq!(harness.held(), held);
    }
}

/// Guards against an address without a server after the newer one moved to another address.
#[test]
fn the_older_server_follows_once_its_address_is_free() {
    let mut harness = Harness::new(&[server("t", 1, 20)], &[server("s", 1, 10)]);
    harness.deliver("r1", servers_update(2, None, &[server("t", 2, 30)], &[]));
    assert_eq!(harness.held(), [("s", 1), ("t", 2)]);
}

/// Guards against a change that does not reach an entry, of which the logs of the entry say nothing.
#[test]
fn a_change_that_does_not_arrive_is_logged_once() {
    let mut harness = Harness::new(&[], &[]);
    harness.change = 7;
    harness.run("r1", ms(900));
    assert!(!harness.logs.iter().any(|log| log.contains("has not arrived")));
    harness.run("r1", ms(3_000));
    let overdue: Vec<_> = harness.logs.iter().filter(|log| log.contains("has not arrived")).collect();
    assert_eq!(overdue, ["change 7 was named by the replica but has not arrived"]);
}
