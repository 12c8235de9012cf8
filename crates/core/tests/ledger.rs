//! Tests of the ledger, including randomized command sequences.

use {
    hemlockford_core::{
        collections::FastMap,
        ledger::{
            ClaimKey, ClaimOutcome, Command, ContentDigest, Holder, Ledger, LedgerOutcome, MAX_CHANGE_DIGESTS,
            MAX_DEPARTURES, MAX_RECORDED_BODY_BYTES, ReleaseOutcome, SettleOutcome, SettledOutcome, SubmitOutcome,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
};

const SEED: u64 = 99;

fn key(number: u32) -> ClaimKey {
    ClaimKey { service: "stock".into(), customer: "kovar".into(), key: format!("k{number}").into() }
}

fn holder(sequence: u64) -> Holder {
    Holder { instance: format!("e{}", sequence % 3).into(), incarnation: 1 + sequence / 1_000, sequence }
}

fn claim(key: ClaimKey, holder: Holder, at: u64) -> Command {
    Command::Claim { key, holder, request_digest: ContentDigest::of(b"same"), retention_ms: 60_000, at }
}

fn random_command(rng: &mut SmallRng, at: u64, attempts: &mut Vec<(ClaimKey, Holder)>) -> Command {
    let known = |rng: &mut SmallRng, attempts: &Vec<(ClaimKey, Holder)>| {
        attempts.get(rng.random_range(0..attempts.len().max(1))).cloned().unwrap_or((key(0), holder(0)))
    };
    match rng.random_range(0..10) {
        0 => {
            let number = rng.random_range(1..60);
            Command::Submit { number, text: format!("text {}", rng.random_range(0..3)).into() }
        }
        1..=4 => {
            let attempt = (key(rng.random_range(0..20)), holder(attempts.len() as u64));
            attempts.push(attempt.clone());
            claim(attempt.0, attempt.1, at)
        }
        // Duplicated and reordered commands.
        5 | 6 => {
            let (key, holder) = known(rng, attempts);
            claim(key, holder, at)
        }
        7 => {
            let (key, holder) = known(rng, attempts);
            Command::Settle { key, holder, outcome: SettledOutcome::new(200, None, Some(b"done")), at }
        }
        8 => {
            let (key, holder) = known(rng, attempts);
            Command::Release { key, holder, at }
        }
        _ => Command::Noop { at },
    }
}

/// Guards against a released attempt that claims a key, two holders of a key, two configurations under one number, a
/// decreasing number, and replicas that diverge after a snapshot.
#[test]
fn random_commands_preserve_the_invariants() {
    for seed in SEED..SEED + 60 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut ledger, mut copy) = (Ledger::default(), Ledger::default());
        let mut attempts = Vec::new();
        let mut released: FastMap<Holder, u64> = FastMap::default();
        let mut winners: FastMap<u64, ContentDigest> = FastMap::default();
        let mut at = 0u64;
        for index in 1..2_000 {
            at += rng.random_range(0..400);
            // After a change of leader, the time of a command may be before that of an earlier one.
            let behind = at.saturating_sub(rng.random_range(0..300));
            let command = random_command(&mut rng, behind, &mut attempts);
            let number = ledger.change_number();
            let outcome = ledger.apply(index, command.clone());
            assert_eq!(copy.apply_bytes(index, &command.encode().expect("short command")), outcome);
            assert_eq!(copy.apply(index, command.clone()), LedgerOutcome::AlreadyApplied);
            assert!(ledger.change_number() >= number, "seed {seed}: the change number decreased");
            match (command, outcome) {
                (Command::Claim { key, holder, .. }, LedgerOutcome::Claim(ClaimOutcome::Granted)) => {
                    assert!(!released.contains_key(&holder), "seed {seed}: a released attempt claimed a key");
                    assert_eq!(ledger.holder(&key), Some(&holder));
                }
                (Command::Claim { key, holder, .. }, LedgerOutcome::Claim(ClaimOutcome::InDoubt)) => {
                    assert_ne!(ledger.holder(&key), Some(&holder));
                }
                (Command::Release { holder, .. }, LedgerOutcome::Release(ReleaseOutcome::Released)) => {
                    released.insert(holder, at);
                }
                (
                    command @ Command::Submit { number, .. },
                    LedgerOutcome::Submit(SubmitOutcome::Accepted { digest }),
                ) => {
                    assert_eq!(command.digest(), Some(digest));
                    assert_eq!(
                        *winners.entry(number).or_insert(digest),
                        digest,
                        "seed {seed}: two configurations under one number"
                    );
                }
                _ => {}
            }
            if rng.random_range(0..50) == 0 {
                copy = Ledger::restore(&copy.snapshot().expect("snapshot")).expect("restore");
                assert_eq!(copy, ledger, "seed {seed}: replicas diverge after a snapshot");
            }
        }
    }
}

/// Guards against a claim by a delayed command whose release was already evicted.
#[test]
fn an_evicted_release_still_blocks_its_attempt() {
    let mut ledger = Ledger::default();
    ledger.apply(1, Command::Release { key: key(1), holder: holder(3), at: 0 });
    ledger.apply(2, Command::Noop { at: 3_600_000 });
    let outcome = ledger.apply(3, claim(key(1), holder(3), 3_600_000));
    assert_eq!(outcome, LedgerOutcome::Claim(ClaimOutcome::Released));
    let outcome = ledger.apply(4, claim(key(1), holder(6), 3_600_000));
    assert_eq!(outcome, LedgerOutcome::Claim(ClaimOutcome::Granted));
}

/// Guards against unbounded growth of the state.
#[test]
fn state_is_bounded() {
    let mut ledger = Ledger::default();
    let long = SettledOutcome::new(200, None, Some(&[7; 3 * MAX_RECORDED_BODY_BYTES]));
    assert_eq!((long.body.len(), long.is_truncated), (MAX_RECORDED_BODY_BYTES, true));
    for index in 0..5_000 {
        let (key, holder) = (key(index), holder(u64::from(index)));
        let at = u64::from(index);
        ledger.apply(2 * at + 1, claim(key.clone(), holder.clone(), at));
        let settle = Command::Settle { key, holder, outcome: long.clone(), at };
        assert_eq!(ledger.apply(2 * at + 2, settle), LedgerOutcome::Settle(SettleOutcome::Recorded));
    }
    let bytes = ledger.snapshot().expect("snapshot").len();
    assert!(bytes < 10 << 20, "{bytes} bytes");
    ledger.apply(20_000, Command::Noop { at: 1_000_000 });
    assert_eq!(ledger.claim_count(), 0);
    for number in 1..=MAX_CHANGE_DIGESTS as u64 + 10 {
        ledger.apply(20_000 + number, Command::Submit { number, text: "text".into() });
    }
    assert_eq!(ledger.change_digest(10), None);
    assert!(ledger.change_digest(11).is_some());
    assert!(ledger.snapshot().expect("snapshot").len() < 1 << 20);
}

/// Guards against a departure that is evicted too early, and against one that affects a later incarnation.
#[test]
fn departures_are_evicted_in_the_order_of_their_last_record() {
    let mut ledger = Ledger::default();
    let depart = |server: usize, incarnation: u64| Command::Depart {
        server: format!("s{server}").into(),
        incarnation: Some(incarnation),
        at: 0,
    };
    assert_eq!(ledger.apply(1, depart(0, 7)), LedgerOutcome::Departed(7));
    assert_eq!(ledger.apply(2, depart(0, 5)), LedgerOutcome::Departed(7));
    assert_eq!(ledger.clock(), 0);
    for server in 1..MAX_DEPARTURES {
        ledger.apply(2 + server as u64, depart(server, 1));
    }
    ledger.apply(10_000, depart(0, 8));
    ledger.apply(10_001, depart(MAX_DEPARTURES, 1));
    assert_eq!(
        (ledger.departed_incarnation("s0"), ledger.departed_incarnation("s1"), ledger.departed_incarnation("s2")),
        (Some(8), None, Some(1))
    );
    let latest: Vec<_> = ledger.departures().into_iter().take(2).map(|(server, _)| &**server).collect();
    assert_eq!(latest, [&*format!("s{MAX_DEPARTURES}"), "s0"]);
    let copy = Ledger::restore(&ledger.snapshot().expect("snapshot")).expect("restore");
    assert_eq!(copy, ledger);
    assert!(ledger.snapshot().expect("snapshot").len() < 100 << 10);
}

/// Guards against a replica that cannot decode a snapshot of an earlier version.
#[test]
fn a_snapshot_without_departures_is_decoded() {
    // Encoded by the version without departures: change 4 with the text "a".
    let bytes = [
        1, 1, 0, 4, 1, 97, 1, 4, 228, 146, 170, 242, 132, 238, 202, 200, 248, 222, 178, 212, 241, 173, 218, 229, 168,
        164, 3, 0, 0, 0, 0, 0, 0,
    ];
    let mut ledger = Ledger::default();
    ledger.apply(1, Command::Submit { number: 4, text: "a".into() });
    assert_eq!(Ledger::restore(&bytes).expect("restore"), ledger);
}
