//! Single rules of the quorums that generated cases meet too rarely.

use {
    hemlockford_core::{
        freshness::{ConfigFreshness, NotCurrent, PeerReport, is_held_by_quorum},
        ids::ChangeNumber,
        membership::Status,
    },
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

struct Said {
    peer: String,
    heard: Instant,
    status: Status,
    history: VecDeque<(ChangeNumber, Instant)>,
}

impl Said {
    fn new(peer: usize, installed: ChangeNumber, since: Instant, heard: Instant) -> Self {
        let status = Status { installed, informed: true, ..Status::default() };
        Self { peer: format!("e{peer}"), heard, status, history: [(installed, since)].into() }
    }
}

fn reports(said: &[Said]) -> impl Iterator<Item = PeerReport<'_>> {
    said.iter().map(|s| PeerReport { peer: &s.peer, last_heard_at: s.heard, status: &s.status, history: &s.history })
}

/// Guards against counting an entry that confirmed, restarted and forgot, before the last one confirmed.
#[test]
fn confirmations_must_hold_at_one_moment() {
    let base = Instant::now();
    let at = |ms: u64| base + Duration::from_millis(ms);
    let is_held = |first: (u64, u64), second: (u64, u64)| {
        let said = [Said::new(1, 7, at(first.0), at(first.1)), Said::new(2, 7, at(second.0), at(second.1))];
        is_held_by_quorum(7, 5, Some(at(0)), reports(&said))
    };
    assert!(is_held((10, 30), (20, 25)));
    assert!(!is_held((10, 19), (20, 25)), "the first may have forgotten before the second confirmed");
    assert!(!is_held((10, 30), (20, 19)), "the second has not been heard since it confirmed");
    assert!(!is_held_by_quorum(8, 5, Some(at(0)), reports(&[])));
}

/// Guards against an entry that counts itself although it has forgotten what it had.
#[test]
fn a_restarted_entry_needs_a_whole_quorum_of_others() {
    let now = Instant::now();
    for (roster, quorum) in [(2, 1), (3, 2), (4, 2), (5, 3), (6, 3), (7, 4)] {
        let said: Vec<Said> = (1..roster).map(|peer| Said::new(peer, 4, now, now)).collect();
        let mut freshness = ConfigFreshness::new(roster);
        freshness.update(now, || reports(&said[..quorum - 1]));
        assert!(!freshness.install(now, 4), "roster {roster}: installs without having learned the highest number");
        assert_eq!(freshness.may_serve(now, reports(&said)), Err(NotCurrent::NothingInstalled));
        freshness.update(now, || reports(&said[..quorum]));
        assert!(!freshness.install(now, 3), "roster {roster}: installs less than it had learned");
        assert!(freshness.install(now, 4));
        freshness.update(now, || reports(&said[..quorum]));
        assert_eq!(freshness.may_serve(now, reports(&said)), Ok(()), "roster {roster}");
    }
}

/// Guards against serving on statements that are older than the window, as after a freeze.
#[test]
fn statements_lapse_at_the_time_of_use() {
    let now = Instant::now();
    let said: Vec<Said> = (1..5).map(|peer| Said::new(peer, 4, now, now)).collect();
    let mut freshness = ConfigFreshness::new(5);
    freshness.learn_committed(4);
    assert!(freshness.install(now, 4));
    freshness.update(now, || reports(&said));
    assert_eq!(freshness.serve_until(now, reports(&said)), Ok(now + Duration::from_secs(2)));
    let later = now + Duration::from_secs(60);
    assert_eq!(freshness.may_serve(later, reports(&said)), Err(NotCurrent::NoQuorum));
    // Statements of entries that have something newer show nothing.
    let newer: Vec<Said> = (1..5).map(|peer| Said::new(peer, 5, now, now)).collect();
    assert_eq!(freshness.may_serve(now, reports(&newer)), Err(NotCurrent::NoQuorum));
}
