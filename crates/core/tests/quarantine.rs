//! Collection of crashes by request.

use {
    hemlockford_core::quarantine::{Crash, RequestFingerprint, Standing, SuspectRecord, SuspectTable, run_id},
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::time::{Duration, Instant},
};

const SECOND: Duration = Duration::from_secs(1);

fn request(number: u128) -> RequestFingerprint {
    RequestFingerprint { head: number, body: 1 }
}

fn crash(table: &mut SuspectTable, now: Instant, number: u128, run: u64) {
    table.record_crash(now, request(number), run);
}

fn is_quarantined(table: &SuspectTable, now: Instant, number: u128) -> bool {
    matches!(table.standing(now, &request(number)), Standing::Quarantined(_))
}

/// Guards against instances that come to different verdicts because records reach them in another order, or twice.
#[test]
fn records_lead_to_the_same_verdict_in_any_order() {
    let now = Instant::now();
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut records: Vec<_> = (0..40)
            .map(|_| SuspectRecord {
                request: request(rng.random_range(0..4)),
                crashes: vec![Crash { run: rng.random_range(0..24), is_refuted: rng.random_bool(0.3) }],
                age_ms: 0,
                span_ms: 0,
            })
            .collect();
        let mut digests = Vec::new();
        for _ in 0..3 {
            let mut table = SuspectTable::default();
            for record in records.iter().chain(&records) {
                table.merge(now, record);
            }
            let mut copy = SuspectTable::default();
            table.records(now).iter().for_each(|record| assert!(copy.merge(now, record)));
            assert_eq!(copy.records(now), table.records(now), "seed {seed}");
            digests.push((table.digest(), copy.digest()));
            records.shuffle(&mut rng);
        }
        assert!(digests.iter().all(|pair| *pair == (digests[0].0, digests[0].0)), "seed {seed}: {digests:?}");
    }
}

/// Guards against a sound request that is stopped because it met three crashes between many successes, and against
/// crashes of one server that count as several.
#[test]
fn only_crashes_of_different_servers_without_a_success_count() {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    for run in 0..20 {
        crash(&mut table, now, 1, run);
        table.record_success(now, request(1));
        assert_eq!(table.standing(now, &request(1)), Standing::Clear);
        crash(&mut table, now, 2, 7);
    }
    assert_eq!(table.standing(now, &request(2)), Standing::Clear);
    crash(&mut table, now, 2, 8);
    assert_eq!(table.standing(now, &request(2)), Standing::Suspected);
    crash(&mut table, now, 2, 9);
    assert!(is_quarantined(&table, now, 2) && !is_quarantined(&table, now, 3));
}

/// Guards against a request that is shut out for good, against one that is stopped for long because several servers
/// failed at once, and against a trial that is not followed by a longer quarantine.
#[test]
fn a_quarantine_ends_with_one_trial() {
    let mut now = Instant::now();
    let mut table = SuspectTable::default();
    (0..3).for_each(|run| crash(&mut table, now, 1, run));
    let mut durations = Vec::new();
    for run in 3..6 {
        let Standing::Quarantined(until) = table.standing(now, &request(1)) else { panic!("not quarantined") };
        durations.push(until - now);
        now = until;
        assert_eq!(table.standing(now, &request(1)), Standing::TrialDue { since: now });
        table.begin_trial(now, &request(1));
        assert!(is_quarantined(&table, now, 1), "there is one trial at a time");
        crash(&mut table, now, 1, run);
    }
    assert_eq!(durations, [SECOND, 60 * SECOND, 61 * SECOND]);
    let Standing::Quarantined(until) = table.standing(now, &request(1)) else { panic!("not quarantined") };
    now = until;
    table.record_success(now, request(1));
    assert_eq!(table.standing(now, &request(1)), Standing::Clear);
    (10..13).for_each(|run| crash(&mut table, now, 1, run));
    assert!(is_quarantined(&table, now, 1));
    now += 2 * 3_600 * SECOND;
    assert_eq!(table.standing(now, &request(1)), Standing::Clear, "it is forgotten");
    table.remove_expired(now);
    assert!(table.heads().is_empty() && table.digest() == 0);
}

/// Guards against memory that grows with the number of requests, and against a quarantined request that gives way to
/// others with single crashes.
#[test]
fn the_number_of_requests_is_bounded() {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    (0..3).for_each(|run| crash(&mut table, now + SECOND * run as u32, 0, run));
    for number in 1..5_000 {
        crash(&mut table, now + Duration::from_millis(number as u64), number, run_id("s", number as u64));
    }
    assert_eq!(table.heads().len(), 1_024);
    assert!(is_quarantined(&table, now + 5 * SECOND, 0));
    assert!(table.heads().contains(&4_999) && !table.heads().contains(&1));
    assert!(table.records(now).len() <= 256 && table.records(now)[0].request == request(0));
}
