//! Scaling of durable state: restarts with an in-memory disk, and claims with a real folder and real fsync.

use {
    super::{
        Slope, clock, configs,
        memory::{BODY_BYTES, build_ledger, claim},
        memory_disk::MemoryDisk,
        wire::INCARNATION,
    },
    error_stack::ResultExt,
    hemlockford_core::{
        consensus::{Member, Members, Snapshot},
        control::{Answer, ClaimAnswer, Control, ControlAction, ControlEvent, ControlOptions},
        errors::{ErrorKind, Result, unavailable},
        ledger::{Command, ContentDigest, Ledger},
    },
    hemlockford_store::{DataFolder, Disk, Store, StoreOptions},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        path::Path,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time to wait for the replica to become the leader or to accept changes.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const SERVICE_COUNT: usize = 60;
/// Number of changes submitted together, which reduces the fsyncs for filling a log without affecting its content.
const CHANGE_BATCH: usize = 50;
/// Number of restarts, of which the fastest counts.
const RESTART_COUNT: usize = 5;
/// Number of claims whose log size is measured; too few to cause a snapshot.
const LOGGED_CLAIMS: u64 = 100;

/// A control replica that forms a group of its own, with its store.
struct SingleReplica {
    control: Control,
    store: Store,
    now: Instant,
    answers: Vec<Answer>,
}

impl SingleReplica {
    fn open(disk: impl Disk + 'static) -> Result<Self> {
        let opened = Store::open_disk(Box::new(disk), StoreOptions { wall_clock_ns: INCARNATION })?;
        let now = Instant::now();
        let options = ControlOptions {
            id: "entry-00".into(),
            incarnation: opened.process_incarnation,
            replicas: vec!["entry-00".into()],
            ..ControlOptions::default()
        };
        let control = Control::new(options, Some(opened.recovered), now, SmallRng::seed_from_u64(1));
        let mut replica = Self { control, store: opened.store, now, answers: Vec::new() };
        let end = Instant::now() + WAIT_LIMIT;
        while !replica.control.is_leading() {
            replica.tick()?;
            if Instant::now() > end {
                return Err(unavailable("the replica did not become the leader"));
            }
        }
        Ok(replica)
    }

    fn tick(&mut self) -> Result<()> {
        self.now += TICK_INTERVAL;
        self.handle(vec![ControlEvent::Tick])
    }

    /// Handles events whose writes share an fsync, and the events that follow from them.
    fn handle(&mut self, events: Vec<ControlEvent>) -> Result<()> {
        let mut events = events;
        while !events.is_empty() {
            let mut actions = Vec::new();
            for event in events.drain(..) {
                self.control.handle(self.now, event, &mut actions);
            }
            let mut writes = Vec::new();
            let mut up_to = None;
            for action in actions {
                match action {
                    ControlAction::Write { sequence, write } => {
                        up_to = Some(sequence);
                        writes.push(write);
                    }
                    ControlAction::Answer(answer) => self.answers.push(answer),
                    ControlAction::InvariantViolated(reason) => return Err(unavailable(reason)),
                    _ => {}
                }
            }
            self.store.write(&mut writes)?;
            events.extend(up_to.map(|up_to| ControlEvent::Persisted { up_to }));
        }
        Ok(())
    }

    /// Submits changes in one batch and waits until they are installed.
    fn submit(&mut self, numbers: std::ops::RangeInclusive<u64>) -> Result<()> {
        let last = *numbers.end();
        let submit = |number| ControlEvent::Submit { request: number, text: configs::config(number, SERVICE_COUNT) };
        self.handle(numbers.map(submit).collect())?;
        let end = Instant::now() + WAIT_LIMIT;
        while self.control.installed() < last {
            self.tick()?;
            if Instant::now() > end {
                return Err(unavailable("a change was not installed"));
            }
        }
        Ok(())
    }

    /// Claims keys in one batch. Returns an error unless all claims are granted.
    fn claim(&mut self, numbers: std::ops::Range<u64>) -> Result<()> {
        self.answers.clear();
        let deadline = self.now + Duration::from_secs(9);
        let requested = numbers.clone().count();
        let events = numbers.map(|number| {
            let request_digest = ContentDigest::of(&number.to_le_bytes());
            ControlEvent::Claim { request: number, key: claim(number).0, request_digest, deadline }
        });
        self.handle(events.collect())?;
        let granted = self.answers.iter().filter(is_granted).count();
        if granted == requested {
            Ok(())
        } else {
            Err(unavailable(format!("only {granted} of {requested} claims were granted")))
        }
    }

    /// Replaces the stored ledger by a snapshot with one change and the given number of settled claims.
    fn install_claims(mut self, claims: u64) -> Result<()> {
        let mut ledger = build_ledger(claims as usize, BODY_BYTES);
        let index = 2 * claims + 1;
        ledger.apply(index, Command::Submit { number: 1, text: configs::config(1, SERVICE_COUNT) });
        let mut members = Members::default();
        members.admit(Member { replica: "entry-00".into(), incarnation: INCARNATION });
        let data = ledger.snapshot()?.into();
        self.store.save_snapshot(Arc::new(Snapshot { index, term: 1, members, data }))
    }
}

fn is_granted(answer: &&Answer) -> bool {
    matches!(answer, Answer::Claim { answer: ClaimAnswer::Granted { .. }, .. })
}

fn file_length(folder: &Path, file: &str) -> f64 {
    std::fs::metadata(folder.join(file)).map_or(0.0, |metadata| metadata.len() as f64)
}

/// Size of the log and the snapshot and time of a restart, by the numbers of changes and of claims.
pub(super) fn restart() -> Result<Slope> {
    let mut slope = Slope::new(
        "restart",
        "A replica's folder after changes of a 60-service text or claims",
        "changes or claims",
        &[
            "bytes of the log",
            "bytes of the snapshot",
            "ms to restart without syncs (least of 5)",
            "syncs to restart",
            "ms to encode a snapshot (least of 20)",
        ],
    );
    let disk = MemoryDisk::default();
    let mut submitted = 0;
    for number in [100, 300, 1_000, 3_000] {
        let mut replica = SingleReplica::open(disk.clone())?;
        for first in (submitted + 1..=number).step_by(CHANGE_BATCH) {
            replica.submit(first..=number.min(first + CHANGE_BATCH as u64 - 1))?;
        }
        submitted = number;
        drop(replica);
        push_restart(&mut slope, "changes", number, &disk)?;
    }
    for number in [1_000, 4_000, 16_000, 32_000] {
        let disk = MemoryDisk::default();
        SingleReplica::open(disk.clone())?.install_claims(number)?;
        push_restart(&mut slope, "claims settled with a body of 200 bytes", number, &disk)?;
    }
    Ok(slope)
}

fn push_restart(slope: &mut Slope, line: &str, number: u64, disk: &MemoryDisk) -> Result<()> {
    let (log, snapshot, before) = (disk.length("log"), disk.length("snapshot"), disk.syncs());
    let mut failure = None;
    let (minimum, _) = clock::time_runs(RESTART_COUNT, || match SingleReplica::open(disk.clone()) {
        Ok(replica) if replica.control.ledger().is_some_and(|ledger| ledger.change_number() > 0) => {}
        Ok(_) => failure = Some(unavailable("a restarted replica does not hold the change")),
        Err(report) => failure = Some(report),
    });
    if let Some(failure) = failure {
        return Err(failure);
    }
    let syncs = (disk.syncs() - before) as f64 / RESTART_COUNT as f64;
    let replica = SingleReplica::open(disk.clone())?;
    let (encode, _) = clock::time_runs(20, || drop(replica.control.ledger().map(Ledger::snapshot)));
    slope.push(line, number as f64, &[log, snapshot, minimum * 1e3, syncs, encode * 1e3]);
    Ok(())
}

/// Throughput and time of claims, by the number of claims that share an fsync.
pub(super) fn claims() -> Result<Slope> {
    let mut slope = Slope::new(
        "claims",
        "Claims of one replica that is its own group, with real fsync",
        "claims in a batch",
        &[
            "claims/s (median batch)",
            "claims/s (fastest batch)",
            "ms of a batch (median)",
            "ms of a batch (least)",
            "processor us of a claim",
            "bytes of the log for a claim",
        ],
    );
    for (batch, batch_count) in [(1, 100), (4, 50), (16, 30), (64, 20), (256, 6), (1_000, 3)] {
        let folder = tempfile::tempdir().change_context(ErrorKind::Io)?;
        let mut replica = SingleReplica::open(DataFolder::open(folder.path())?)?;
        let before = file_length(folder.path(), "log");
        replica.claim(0..LOGGED_CLAIMS)?;
        let bytes = (file_length(folder.path(), "log") - before) / LOGGED_CLAIMS as f64;
        let (mut next, mut failure, start) = (LOGGED_CLAIMS, None, clock::processor_time()?);
        let (minimum, median) = clock::time_runs(batch_count, || {
            failure = replica.claim(next..next + batch).err().or(failure.take());
            next += batch;
        });
        if let Some(failure) = failure {
            return Err(failure);
        }
        let processor = (clock::processor_time()? - start) / (next - LOGGED_CLAIMS) as f64;
        let values =
            [batch as f64 / median, batch as f64 / minimum, median * 1e3, minimum * 1e3, processor * 1e6, bytes];
        slope.push("1 replica", batch as f64, &values);
    }
    Ok(slope)
}
