//! Decisions of the budget of what clients make a process hold, without a network.

use {
    hemlockford_proxy::{ClientId, ClientKind, ClientLimits, ClientState, CloseReason, MemoryBudget},
    std::{
        net::{IpAddr, Ipv4Addr},
        time::{Duration, Instant},
    },
};

/// A budget with a clock.
struct Fixture {
    budget: MemoryBudget,
    now: Instant,
}

impl Fixture {
    fn new(limits: ClientLimits) -> Self {
        Self { budget: MemoryBudget::new(limits), now: Instant::now() }
    }

    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }

    /// Opens a connection of a caller that no other has to be closed for.
    fn open(&mut self, host: u8) -> ClientId {
        let (id, closing) = self.budget.open(self.now, ClientKind::Caller, address(host));
        assert_eq!(closing, []);
        id
    }

    /// Opens a connection of a caller and returns the ones that are closed for it.
    fn open_over_limit(&mut self, host: u8) -> Vec<ClientId> {
        let (_, closing) = self.budget.open(self.now, ClientKind::Caller, address(host));
        assert!(closing.iter().all(|(_, reason)| *reason == CloseReason::Connections), "{closing:?}");
        closing.into_iter().map(|(id, _)| id).collect()
    }

    fn set(&mut self, id: ClientId, state: ClientState) {
        self.budget.set_state(id, state, self.now);
    }
}

fn address(host: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, host).into()
}

fn callers(callers: usize) -> ClientLimits {
    ClientLimits { callers, ..ClientLimits::default() }
}

/// Guards against a crowd whose older connections outlast the connections of ordinary callers.
#[test]
fn connection_that_stalled_longest_is_closed_first() {
    let mut fixture = Fixture::new(callers(4));
    let stalled: Vec<_> = (1..=4)
        .map(|host| {
            fixture.pass(100);
            fixture.open(host)
        })
        .collect();
    fixture.pass(2_000);
    fixture.budget.progress(stalled[0], fixture.now);
    assert_eq!(fixture.open_over_limit(5), [stalled[1]]);
    assert_eq!(fixture.open_over_limit(6), [stalled[2]]);
}

/// Guards against ordinary callers whose idle connections are closed in place of stalled requests.
#[test]
fn stalled_request_pays_before_idle_and_running_ones() {
    let mut fixture = Fixture::new(callers(12));
    let idle = fixture.open(1);
    let running = fixture.open(2);
    fixture.set(idle, ClientState::Idle);
    fixture.set(running, ClientState::Running);
    fixture.pass(5_000);
    let stalled: Vec<_> = (3..=12).map(|host| fixture.open(host)).collect();
    fixture.pass(1_500);
    for (host, id) in (100..).zip(stalled) {
        assert_eq!(fixture.open_over_limit(host), [id]);
    }
    assert_eq!(fixture.open_over_limit(200), [idle]);
    for host in 201..=250 {
        assert!(!fixture.open_over_limit(host).contains(&running));
    }
}

/// Guards against one address that takes all connections from the others.
#[test]
fn address_with_many_connections_pays_first() {
    let mut fixture = Fixture::new(callers(8));
    let others: Vec<_> = (2..=5).map(|host| fixture.open(host)).collect();
    fixture.pass(500);
    let many: Vec<_> = (0..4).map(|_| fixture.open(1)).collect();
    fixture.pass(3_000);
    for closed in &many[..2] {
        assert_eq!(fixture.open_over_limit(6), [*closed]);
    }
    // The address no longer has more than its part.
    assert_eq!(fixture.open_over_limit(7), [others[0]]);
}

/// Guards against a client that counts as active because it sends a byte now and then.
#[test]
fn single_bytes_of_a_body_are_no_progress() {
    let mut fixture = Fixture::new(callers(2));
    let (slow, steady) = (fixture.open(1), fixture.open(2));
    for id in [slow, steady] {
        fixture.set(id, ClientState::Running);
        fixture.set(id, ClientState::Body);
    }
    for _ in 0..30 {
        fixture.pass(100);
        fixture.set(slow, ClientState::Running);
        fixture.set(slow, ClientState::Body);
        fixture.budget.progress(steady, fixture.now);
    }
    assert_eq!(fixture.open_over_limit(3), [slow]);
}

/// Guards against bytes beyond the limit, against connections that are closed although they hold next to nothing, and
/// against bytes of closing connections that count twice.
#[test]
fn bytes_over_the_limit_close_the_stalled_holder() {
    let mut fixture = Fixture::new(ClientLimits { bytes: 1_000_000, ..ClientLimits::default() });
    let small = fixture.open(1);
    let large = fixture.open(2);
    let ordinary = fixture.open(3);
    for (id, bytes) in [(small, 1_000), (large, 900_000)] {
        assert_eq!(fixture.budget.hold(id, bytes, fixture.now), []);
    }
    fixture.pass(2_000);
    fixture.budget.progress(ordinary, fixture.now);
    let closing = fixture.budget.hold(ordinary, 200_000, fixture.now);
    assert_eq!(closing, [(large, CloseReason::Bytes)]);
    assert_eq!(fixture.budget.bytes(), 201_000);
    assert_eq!(fixture.budget.hold(large, 950_000, fixture.now), []);
    fixture.budget.close(large);
    assert_eq!(fixture.budget.bytes(), 201_000);
    fixture.budget.close(ordinary);
    assert_eq!(fixture.budget.bytes(), 1_000);
}

/// Guards against a client alone that holds more than the limit and stays.
#[test]
fn single_client_over_the_limit_is_closed() {
    let mut fixture = Fixture::new(ClientLimits { bytes: 1_000_000, ..ClientLimits::default() });
    let only = fixture.open(1);
    assert_eq!(fixture.budget.hold(only, 1_000_001, fixture.now), [(only, CloseReason::Bytes)]);
}

/// Guards against calls that clients do not let end and that keep out all others, and against calls of ordinary clients
/// that are ended for others.
#[test]
fn call_whose_client_has_stalled_makes_room_for_another() {
    let mut fixture = Fixture::new(ClientLimits { calls: 2, ..ClientLimits::default() });
    let (stalled, running, next) = (fixture.open(1), fixture.open(2), fixture.open(3));
    for (id, state) in [(stalled, ClientState::Body), (running, ClientState::Running)] {
        assert_eq!(fixture.budget.begin_call(id, fixture.now), (true, None));
        fixture.set(id, state);
    }
    assert_eq!(fixture.budget.begin_call(next, fixture.now), (false, None));
    fixture.pass(2_000);
    fixture.set(next, ClientState::Running);
    let closing = Some((stalled, CloseReason::Calls));
    assert_eq!(fixture.budget.begin_call(next, fixture.now), (true, closing));
    let last = fixture.open(4);
    assert_eq!(fixture.budget.begin_call(last, fixture.now), (false, None));
    fixture.budget.end_call(running);
    assert_eq!(fixture.budget.begin_call(last, fixture.now), (true, None));
}

/// Guards against connections that outlast the time of their state, and against idle ones that are closed for it.
#[test]
fn overdue_connections_are_closed_once() {
    let mut fixture = Fixture::new(ClientLimits::default());
    let (head, idle) = (fixture.open(1), fixture.open(2));
    fixture.set(idle, ClientState::Idle);
    let limit = |state| (state == ClientState::Head).then_some(Duration::from_secs(5));
    fixture.pass(5_000);
    assert_eq!(fixture.budget.overdue(fixture.now, ClientKind::Caller, limit), []);
    fixture.pass(1);
    assert_eq!(fixture.budget.overdue(fixture.now, ClientKind::Admin, limit), []);
    assert_eq!(fixture.budget.overdue(fixture.now, ClientKind::Caller, limit), [(head, CloseReason::Time)]);
    assert_eq!(fixture.budget.overdue(fixture.now, ClientKind::Caller, limit), []);
}
