//! Slopes of what is on disk: restarts and claims, with a real folder and real fsync.

use {
    super::{
        Slope, clock,
        memory::{BODY_BYTES, claim},
        texts,
        wire::INCARNATION,
    },
    error_stack::ResultExt,
    hemlockford_core::{
        control::{Answer, ClaimAnswer, Control, ControlAction, ControlEvent, ControlOptions, Write},
        errors::{ErrorKind, Result, unavailable},
        ledger::{SettledOutcome, TextDigest},
    },
    hemlockford_store::{Store, StoreOptions, Write as Stored},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        path::Path,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

const TICK: Duration = Duration::from_millis(50);
const LIMIT: Duration = Duration::from_secs(20);
const SERVICES: usize = 60;
/// Claims proposed together while a ledger is filled; well below the proposals that may wait.
const BATCH: u64 = 500;

/// A control replica that is its own group, with its store.
struct Single {
    control: Control,
    store: Store,
    now: Instant,
    answers: Vec<Answer>,
    /// Time taken by the store's writes.
    writing: Duration,
}

impl Single {
    fn open(folder: &Path) -> Result<Self> {
        let opened = Store::open(folder, StoreOptions { clock: INCARNATION })?;
        let now = Instant::now();
        let options = ControlOptions {
            id: "entry-00".into(),
            incarnation: opened.process,
            replicas: vec!["entry-00".into()],
            ..ControlOptions::default()
        };
        let control = Control::new(options, Some(opened.recovered), now, SmallRng::seed_from_u64(1));
        let mut single = Self { control, store: opened.store, now, answers: Vec::new(), writing: Duration::ZERO };
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
                        writes.push(stored(write));
                    }
                    ControlAction::Answer(answer) => self.answers.push(answer),
                    ControlAction::Broken(reason) => return Err(unavailable(reason)),
                    _ => {}
                }
            }
            let start = Instant::now();
            self.store.write(&mut writes)?;
            self.writing += start.elapsed();
            events.extend(up_to.map(|up_to| ControlEvent::Persisted { up_to }));
        }
        Ok(())
    }

    fn submit(&mut self, number: u64) -> Result<()> {
        let answers = self.answers.len();
        self.handle(vec![ControlEvent::Submit { request: number, text: texts::text(number, SERVICES) }])?;
        let end = Instant::now() + LIMIT;
        while self.answers.len() == answers {
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
            let request_digest = TextDigest::of(&number.to_le_bytes());
            ControlEvent::Claim { request: number, key: claim(number).0, request_digest, deadline }
        });
        self.handle(events.collect())?;
        let granted = self.answers.iter().filter(|answer| holder(answer).is_some()).count();
        if granted == wanted { Ok(()) } else { Err(unavailable(format!("{granted} of {wanted} claims granted"))) }
    }

    fn settle(&mut self) -> Result<()> {
        let outcome = SettledOutcome::new(201, Some("application/json".into()), Some(&[b'x'; BODY_BYTES]));
        let settle = |answer: &Answer| {
            let Answer::Claim { request, .. } = answer else { return None };
            let (key, holder) = (claim(*request).0, holder(answer)?);
            Some(ControlEvent::Settle { key, holder, outcome: outcome.clone() })
        };
        let events = self.answers.iter().filter_map(settle).collect();
        self.handle(events)
    }
}

fn holder(answer: &Answer) -> Option<hemlockford_core::ledger::Holder> {
    match answer {
        Answer::Claim { answer: ClaimAnswer::Granted { holder, .. }, .. } => Some(holder.clone()),
        _ => None,
    }
}

fn stored(write: Write) -> Stored {
    match write {
        Write::Vote(vote) => Stored::Vote(vote),
        Write::Append(entries) => Stored::Append(entries),
        Write::Truncate(from) => Stored::Truncate(from),
        Write::Snapshot(snapshot) => Stored::Snapshot(snapshot),
    }
}

fn folder() -> Result<TempDir> {
    tempfile::tempdir().change_context(ErrorKind::Io)
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
        &["bytes of the log", "bytes of the snapshot", "ms to restart (least of 5)", "ms to restart (median of 5)"],
    );
    let changes = folder()?;
    let mut done = 0;
    for number in [100, 300, 1_000, 3_000] {
        let mut single = Single::open(changes.path())?;
        for change in done + 1..=number {
            single.submit(change)?;
        }
        done = number;
        drop(single);
        push_restart(&mut slope, "changes", number, changes.path())?;
    }
    let claims = folder()?;
    let mut done = 0;
    let mut single = Single::open(claims.path())?;
    single.submit(1)?;
    for number in [1_000, 4_000, 16_000, 32_000] {
        for first in (done..number).step_by(BATCH as usize) {
            single.claim(first..first + BATCH)?;
            single.settle()?;
        }
        done = number;
        drop(single);
        push_restart(&mut slope, "claims settled with a body of 200 bytes", number, claims.path())?;
        single = Single::open(claims.path())?;
    }
    Ok(slope)
}

fn push_restart(slope: &mut Slope, line: &str, number: u64, folder: &Path) -> Result<()> {
    let (log, snapshot) = (length(folder, "log"), length(folder, "snapshot"));
    let mut failure = None;
    let (least, median) = clock::repeat(5, || {
        let opened = Single::open(folder).map(|single| single.control.ledger().map(|ledger| ledger.number()));
        if !matches!(opened, Ok(Some(1..))) {
            failure = Some(unavailable("a restarted replica does not hold the change"));
        }
    });
    match failure {
        Some(failure) => Err(failure),
        None => {
            slope.push(line, number as f64, &[log, snapshot, least * 1e3, median * 1e3]);
            Ok(())
        }
    }
}

/// Claims against the number that share an fsync.
pub(super) fn claims() -> Result<Slope> {
    let mut slope = Slope::new(
        "claims",
        "Claims of one replica that is its own group, with real fsync",
        "claims in a batch",
        &[
            "claims/s (median batch)",
            "ms of a batch (median)",
            "ms of a batch (least)",
            "processor us of a claim",
            "bytes of the log for a claim",
        ],
    );
    for (batch, times) in [(1, 200), (4, 100), (16, 60), (64, 40), (256, 12), (1_000, 6)] {
        let folder = folder()?;
        let mut single = Single::open(folder.path())?;
        let before = length(folder.path(), "log");
        single.claim(0..batch)?;
        let bytes = (length(folder.path(), "log") - before) / batch as f64;
        let (mut next, mut failure, start) = (batch, None, clock::processor_time()?);
        let (least, median) = clock::repeat(times, || {
            failure = single.claim(next..next + batch).err().or(failure.take());
            next += batch;
        });
        if let Some(failure) = failure {
            return Err(failure);
        }
        let processor = (clock::processor_time()? - start) / (next - batch) as f64;
        let values = [batch as f64 / median, median * 1e3, least * 1e3, processor * 1e6, bytes];
        slope.push("1 replica", batch as f64, &values);
    }
    Ok(slope)
}
