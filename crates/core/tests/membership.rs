//! Membership: missing heartbeats, incarnations and delayed messages.

use {
    hemlockford_core::membership::{
        Heartbeat, Membership, MembershipAction, MembershipEvent, MembershipOptions, Status,
    },
    std::time::{Duration, Instant},
};

struct Pair {
    base: Instant,
    now_ms: u64,
    ends: [Membership; 2],
    /// Whether messages to each end are delivered.
    is_connected: [bool; 2],
    /// Actions of the first end other than sent heartbeats, with their times.
    reported: Vec<(u64, MembershipAction)>,
    last: Option<Heartbeat>,
}

impl Pair {
    fn new() -> Self {
        let base = Instant::now();
        let ends = [("e1", "e2"), ("e2", "e1")].map(|(id, peer)| end(id, peer, 5, base));
        Self { base, now_ms: 0, ends, is_connected: [true; 2], reported: Vec::new(), last: None }
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now_ms += 50;
            for end in 0..2 {
                let mut actions = Vec::new();
                self.ends[end].handle(self.now(), MembershipEvent::Tick, &mut actions);
                self.carry_out(end, actions);
            }
        }
    }

    fn carry_out(&mut self, end: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::Send { heartbeat, .. } if end == 1 => {
                    self.last = Some(heartbeat.clone());
                    self.deliver(0, heartbeat);
                }
                MembershipAction::Send { heartbeat, .. } => self.deliver(1, heartbeat),
                action if end == 0 => self.reported.push((self.now_ms, action)),
                _ => {}
            }
        }
    }

    fn deliver(&mut self, to: usize, heartbeat: Heartbeat) {
        if self.is_connected[to] {
            let from = ["e2", "e1"][to].into();
            let mut actions = Vec::new();
            let now = self.now();
            self.ends[to].handle(now, MembershipEvent::Receive { from, heartbeat }, &mut actions);
            self.carry_out(to, actions);
        }
    }
}

fn end(id: &str, peer: &str, incarnation: u64, now: Instant) -> Membership {
    let options = MembershipOptions { id: id.into(), incarnation, peers: vec![peer.into()], ..Default::default() };
    Membership::new(options, now)
}

/// Guards against a peer that is reported as suspected or lost too early, too late, or by only one side when one or
/// both directions of the link fail.
#[test]
fn silence_is_noticed_by_both_sides() {
    for connected in [[false, true], [true, false], [false, false]] {
        let mut pair = Pair::new();
        pair.run(3_000);
        assert!(pair.ends.iter().zip(["e2", "e1"]).all(|(end, peer)| end.is_live(pair.now(), peer)));
        assert_eq!(pair.reported.len(), 1, "{:?}", pair.reported);
        pair.is_connected = connected;
        let since = pair.now_ms;
        pair.run(2_000);
        assert!(!pair.ends.iter().zip(["e2", "e1"]).any(|(end, peer)| end.is_live(pair.now(), peer)));
        let times: Vec<u64> = pair.reported[1..].iter().map(|(at, _)| at - since).collect();
        // The last echoed heartbeat was sent up to two intervals before the link failed.
        assert!((500..=1_000).contains(&times[0]) && (1_500..=2_000).contains(&times[1]), "{times:?}");
        pair.is_connected = [true; 2];
        pair.run(1_000);
        assert!(pair.ends[0].is_live(pair.now(), "e2"));
        assert_eq!(pair.reported.last().map(|(_, action)| action), Some(&MembershipAction::Returned("e2".into())));
    }
}

/// Guards against a resumed process that treats heartbeats queued in its socket buffer as fresh.
#[test]
fn old_heartbeats_do_not_make_a_peer_live() {
    let mut pair = Pair::new();
    pair.run(3_000);
    pair.is_connected[0] = false;
    pair.run(500);
    let delayed = pair.last.clone().expect("heartbeat");
    pair.now_ms += 60_000;
    assert!(!pair.ends[0].is_live(pair.now(), "e2"), "liveness must be evaluated at the time of the query");
    pair.is_connected[0] = true;
    pair.deliver(0, delayed);
    assert!(!pair.ends[0].is_live(pair.now(), "e2"));
}

/// Guards against a message of an older incarnation that overwrites the state reported by the newer one.
#[test]
fn messages_of_an_older_incarnation_are_dropped() {
    let mut pair = Pair::new();
    pair.run(1_000);
    let old = Heartbeat { sequence: 1_000, ..pair.last.clone().expect("heartbeat") };
    pair.ends[1] = end("e2", "e1", 6, pair.now());
    let now = pair.now();
    let status = Status { installed: 7, ..Status::default() };
    pair.ends[1].handle(now, MembershipEvent::Report(status), &mut Vec::new());
    pair.run(1_000);
    assert!(pair.reported.iter().any(|(_, action)| *action == MembershipAction::Restarted("e2".into(), 6)));
    pair.deliver(0, old);
    assert_eq!(pair.ends[0].incarnation("e2"), Some(6));
    assert_eq!(pair.ends[0].status("e2").map(|status| status.installed), Some(7));
}
