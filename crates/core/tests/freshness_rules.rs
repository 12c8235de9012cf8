//! Rules of the quorums that the randomized simulation rarely exercises.

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

struct OwnedReport {
    peer: String,
    last_heard_at: Instant,
    status: Status,
    history: VecDeque<(ChangeNumber, Instant)>,
}

impl OwnedReport {
    fn new(peer: usize, installed: ChangeNumber, since: Instant, last_heard_at: Instant) -> Self {
        let status = Status { installed, informed: true, ..Status::default() };
        Self { peer: format!("e{peer}"), last_heard_at, status, history: [(installed, since)].into() }
    }
}

fn reports(owned: &[OwnedReport]) -> impl Iterator<Item = PeerReport<'_>> {
    owned.iter().map(|s| PeerReport {
        peer: &s.peer,
        last_heard_at: s.last_heard_at,
        status: &s.status,
        history: &s.history,
    })
}

/// Guards against counting an entry that restarted and lost the change before the last confirmation arrived.
#[test]
fn quorum_must_hold_the_change_at_the_same_time() {
    let base = Instant::now();
    let at = |ms: u64| base + Duration::from_millis(ms);
    let is_held = |first: (u64, u64), second: (u64, u64)| {
        let peer_reports =
            [OwnedReport::new(1, 7, at(first.0), at(first.1)), OwnedReport::new(2, 7, at(second.0), at(second.1))];
        is_held_by_quorum(7, 5, Some(at(0)), reports(&peer_reports))
    };
    assert!(is_held((10, 30), (20, 25)));
    assert!(!is_held((10, 19), (20, 25)), "the first may have lost the change before the second confirmed");
    assert!(!is_held((10, 30), (20, 19)), "no message from the second since its confirmation");
    assert!(!is_held_by_quorum(8, 5, Some(at(0)), reports(&[])));
}

/// Guards against an entry that counts itself towards the quorum after it has lost its state.
#[test]
fn a_restarted_entry_needs_a_whole_quorum_of_others() {
    let now = Instant::now();
    for (roster, quorum) in [(2, 1), (3, 2), (4, 2), (5, 3), (6, 3), (7, 4)] {
        let peer_reports: Vec<OwnedReport> = (1..roster).map(|peer| OwnedReport::new(peer, 4, now, now)).collect();
        let mut freshness = ConfigFreshness::new(roster);
        freshness.update(now, || reports(&peer_reports[..quorum - 1]));
        assert!(!freshness.install(now, 4), "roster {roster}: installed without knowing the highest accepted change");
        assert_eq!(freshness.may_serve(now, reports(&peer_reports)), Err(NotCurrent::NothingInstalled));
        freshness.update(now, || reports(&peer_reports[..quorum]));
        assert!(!freshness.install(now, 3), "roster {roster}: installed an older change than the highest known one");
        assert!(freshness.install(now, 4));
        freshness.update(now, || reports(&peer_reports[..quorum]));
        assert_eq!(freshness.may_serve(now, reports(&peer_reports)), Ok(()), "roster {roster}");
    }
}

/// Guards against serving calls based on reports that are older than the window, as after a process was suspended.
#[test]
fn reports_expire_at_the_time_of_use() {
    let now = Instant::now();
    let peer_reports: Vec<OwnedReport> = (1..5).map(|peer| OwnedReport::new(peer, 4, now, now)).collect();
    let mut freshness = ConfigFreshness::new(5);
    freshness.learn_committed(4);
    assert!(freshness.install(now, 4));
    freshness.update(now, || reports(&peer_reports));
    assert_eq!(freshness.serve_until(now, reports(&peer_reports)), Ok(now + Duration::from_secs(2)));
    let later = now + Duration::from_secs(60);
    assert_eq!(freshness.may_serve(later, reports(&peer_reports)), Err(NotCurrent::NoQuorum));
    // Reports of a newer change do not confirm that the installed one is current.
    let newer: Vec<OwnedReport> = (1..5).map(|peer| OwnedReport::new(peer, 5, now, now)).collect();
    assert_eq!(freshness.may_serve(now, reports(&newer)), Err(NotCurrent::NoQuorum));
}
