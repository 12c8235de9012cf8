//! Slopes of what is on disk: restarts on a disk in memory, and claims with a real folder and real fsync.

use {
    super::{
        Slope, clock, configs,
        memory::{BODY_BYTES, claim, ledger},
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

const TICK: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(20);
const SERVICES: usize = 60;
/// Changes submitted together, so that filling a log takes few fsyncs; its content is the same.
const CHANGES: usize = 50;
/// Restarts of which the least time is taken.
const RESTARTS: usize = 5;
/// Claims of which the bytes in the log are measured; fewer than cause a snapshot.
const LOGGED: u64 = 100;

/// A control replica that is its own group, with its store.
struct Single {
    control: Control,
    store: Store,
    now: Instant,
    answers: Vec<Answer>,
}

impl Single {
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
        let mut single = Self { control, store: opened.store, now, answers: Vec::new() };
        let end = Instant::now() + LIMIT;
        while !single.control.is_leading() {
            single.tick()?;
            if Instant::now() > end {
                return Err(unavailable("the replica does not lead"));
            }
        }
        Ok(single)
    }

    fn tick(&mut self) -> Result<()> {
        self.now += TICK;
        self.handle(vec![ControlEvent::Tick])
    }

    /// Takes events whose writes share an fsync, and what follows from them.
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

    /// Submits changes in one batch and waits until they are accepted.
    fn submit(&mut self, numbers: std::ops::RangeInclusive<u64>) -> Result<()> {
        let last = *numbers.end();
        let submit = |number| ControlEvent::Submit { request: number, text: configs::config(number, SERVICES) };
        self.handle(numbers.map(submit).collect())?;
        let end = Instant::now() + LIMIT;
        while self.control.installed() < last {
            self.tick()?;
            if Instant::now() > end {
                return Err(unavailable("a change was not answered"));
            }
        }
        Ok(())
    }

    /// Claims keys in one batch; returns an error unless each was granted.
    fn claim(&mut self, numbers: std::ops::Range<u64>) -> Result<()> {
        self.answers.clear();
        let deadline = self.now + Duration::from_secs(9);
        let wanted = numbers.clone().count();
        let events = numbers.map(|number| {
            let request_digest = ContentDigest::of(&number.to_le_bytes());
            ControlEvent::Claim { request: number, key: claim(number).0, request_digest, deadline }
        });
        self.handle(events.collect())?;
        let granted = self.answers.iter().filter(is_granted).count();
        if granted == wanted { Ok(()) } else { Err(unavailable(format!("{granted} of {wanted} claims granted"))) }
    }

    /// Replaces the ledger in the folder by one that holds a change and settled claims, as a snapshot brings it.
    fn fill(mut self, claims: u64) -> Result<()> {
        let mut ledger = ledger(claims as usize, BODY_BYTES);
        let index = 2 * claims + 1;
        ledger.apply(index, Command::Submit { number: 1, text: configs::config(1, SERVICES) });
        let mut members = Members::default();
        members.admit(Member { replica: "entry-00".into(), incarnation: INCARNATION });
        let data = ledger.snapshot()?.into();
        self.store.save_snapshot(Arc::new(Snapshot { index, term: 1, members, data }))
    }
}

fn is_granted(answer: &&Answer) -> bool {
    matches!(answer, Answer::Claim { answer: ClaimAnswer::Granted { .. }, .. })
}

fn length(folder: &Path, file: &str) -> f64 {
    std::fs::metadata(folder.join(file)).map_or(0.0, |metadata| metadata.len() as f64)
}

/// Log, snapshot and restart against changes and against claims held.
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
    let changes = MemoryDisk::default();
    let mut done = 0;
    for number in [100, 300, 1_000, 3_000] {
        let mut single = Single::open(changes.clone())?;
        for first in (done + 1..=number).step_by(CHANGES) {
            single.submit(first..=number.min(first + CHANGES as u64 - 1))?;
        }
        done = number;
        drop(single);
        push_restart(&mut slope, "changes", number, &changes)?;
    }
    for number in [1_000, 4_000, 16_000, 32_000] {
        let claims = MemoryDisk::default();
        Single::open(claims.clone())?.fill(number)?;
        push_restart(&mut slope, "claims settled with a body of 200 bytes", number, &claims)?;
    }
    Ok(slope)
}

fn push_restart(slope: &mut Slope, line: &str, number: u64, disk: &MemoryDisk) -> Result<()> {
    let (log, snapshot, before) = (disk.length("log"), disk.length("snapshot"), disk.syncs());
    let mut failure = None;
    let (least, _) = clock::repeat(RESTARTS, || match Single::open(disk.clone()) {
        Ok(single) if single.control.ledger().is_some_and(|ledger| ledger.change_number() > 0) => {}
        Ok(_) => failure = Some(unavailable("a restarted replica does not hold the change")),
        Err(report) => failure = Some(report),
    });
    if let Some(failure) = failure {
        return Err(failure);
    }
    let syncs = (disk.syncs() - before) as f64 / RESTARTS as f64;
    let single = Single::open(disk.clone())?;
    let (encode, _) = clock::repeat(20, || drop(single.control.ledger().map(Ledger::snapshot)));
    slope.push(line, number as f64, &[log, snapshot, least * 1e3, syncs, encode * 1e3]);
    Ok(())
}

/// Claims against the number that share an fsync.
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
    for (batch, times) in [(1, 100), (4, 50), (16, 30), (64, 20), (256, 6), (1_000, 3)] {
        let folder = tempfile::tempdir().change_context(ErrorKind::Io)?;
        let mut single = Single::open(DataFolder::open(folder.path())?)?;
        let before = length(folder.path(), "log");
        single.claim(0..LOGGED)?;
        let bytes = (length(folder.path(), "log") - before) / LOGGED as f64;
        let (mut next, mut failure, start) = (LOGGED, None, clock::processor_time()?);
        let (least, median) = clock::repeat(times, || {
            failure = single.claim(next..next + batch).err().or(failure.take());
            next += batch;
        });
        if let Some(failure) = failure {
            return Err(failure);
        }
        let processor = (clock::processor_time()? - start) / (next - LOGGED) as f64;
        let values = [batch as f64 / median, batch as f64 / least, median * 1e3, least * 1e3, processor * 1e6, bytes];
        slope.push("1 replica", batch as f64, &values);
    }
    Ok(slope)
}
