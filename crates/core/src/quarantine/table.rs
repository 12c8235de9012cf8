//! Requests under which servers ended.

use {
    super::{Crash, RequestDigest, RequestFingerprint, RunId, Standing, Suspect, SuspectRecord},
    crate::collections::{FastHasher, FastMap, FastSet},
    std::{
        cell::Cell,
        cmp::Reverse,
        hash::{Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Maximum number of requests. A request takes a place only after a server ended under it; the ones with the fewest
/// and oldest crashes give way.
const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of records in one message, about 50 bytes each. Those with the most crashes are exchanged.
pub const MAX_RECORDS: usize = 256;
/// Interval at which expired requests are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Requests under which servers ended.
///
/// ```
/// use {
///     hemlockford_core::quarantine::{RequestFingerprint, Standing, SuspectTable, run_id},
///     std::time::Instant,
/// };
/// let (now, request) = (Instant::now(), RequestFingerprint { head: 1, body: 2 });
/// let mut table = SuspectTable::default();
/// for incarnation in 1..=3 {
///     assert!(!matches!(table.standing(now, &request), Standing::Quarantined(_)));
///     table.record_crash(now, request, run_id("catalogue-1", incarnation));
/// }
/// assert!(matches!(table.standing(now, &request), Standing::Quarantined(_)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: FastMap<RequestFingerprint, Suspect>,
    /// Digest of the records to exchange, unless they have changed since it was determined.
    digest: Cell<Option<u64>>,
    expired_at: Option<Instant>,
}

impl SuspectTable {
    /// Records that a server ended while it ran a request. Returns the record to tell other instances, or `None` if
    /// the crash was known.
    pub fn record_crash(&mut self, now: Instant, request: RequestFingerprint, run: RunId) -> Option<SuspectRecord> {
        let record = SuspectRecord { request, crashes: vec![Crash { run, is_refuted: false }], age_ms: 0, span_ms: 0 };
        self.merge(now, &record).then(|| self.suspects.get(&request).map(|suspect| suspect.to_record(now, request)))?
    }

    /// Records that a server answered a request. Returns the record to tell other instances, or `None` if the request
    /// was not suspected.
    pub fn record_success(&mut self, now: Instant, request: RequestFingerprint) -> Option<SuspectRecord> {
        let suspect = self.suspects.get_mut(&request).filter(|suspect| !suspect.is_expired(now))?;
        let record = suspect.refute().then(|| suspect.to_record(now, request));
        self.digest.set(None);
        record
    }

    /// Merges what another instance knows; returns whether it was news.
    pub fn merge(&mut self, now: Instant, record: &SuspectRecord) -> bool {
        self.remove_expired(now);
        let age = Duration::from_millis(u64::from(record.age_ms));
        let last = now.checked_sub(age).unwrap_or(now);
        let first = last.checked_sub(Duration::from_millis(u64::from(record.span_ms))).unwrap_or(last);
        let mut received = Suspect::new(last);
        for crash in &record.crashes {
            received.record((first, last), *crash);
        }
        if record.crashes.is_empty() || received.is_expired(now) {
            return false;
        }
        if !self.suspects.contains_key(&record.request) {
            self.make_room();
        }
        let suspect = self.suspects.entry(record.request).or_insert_with(|| Suspect::new(last));
        let mut is_news = false;
        for crash in &record.crashes {
            is_news |= suspect.record((first, last), *crash);
        }
        if is_news {
            self.digest.set(None);
        }
        is_news
    }

    /// Returns how a request is treated.
    pub fn standing(&self, now: Instant, request: &RequestFingerprint) -> Standing {
        self.suspects.get(request).map_or(Standing::Clear, |suspect| suspect.standing(now))
    }

    /// Records that a request whose trial is due is sent to a server.
    pub fn begin_trial(&mut self, now: Instant, request: &RequestFingerprint) {
        if let Some(suspect) = self.suspects.get_mut(request) {
            suspect.begin_trial(now);
        }
    }

    /// Returns the number of requests that are quarantined.
    pub fn quarantined(&self, now: Instant) -> usize {
        let is_quarantined = |suspect: &&Suspect| matches!(suspect.standing(now), Standing::Quarantined(_));
        self.suspects.values().filter(is_quarantined).count()
    }

    /// Returns the digests of the heads of all suspected requests. The fingerprint of a request with another head need
    /// not be determined.
    pub fn heads(&self) -> FastSet<RequestDigest> {
        self.suspects.keys().map(|request| request.head).collect()
    }

    /// Returns a digest of the records to exchange, by which two instances find out whether theirs differ.
    /// It is 0 if there are none.
    pub fn digest(&self) -> u64 {
        let digest = self.digest.get().unwrap_or_else(|| self.determine_digest());
        self.digest.set(Some(digest));
        digest
    }

    /// Returns the records to exchange, those with the most crashes.
    pub fn records(&self, now: Instant) -> Vec<SuspectRecord> {
        self.strongest().into_iter().map(|(request, suspect)| suspect.to_record(now, *request)).collect()
    }

    /// Removes the requests whose last crash was long ago; returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        if self.expired_at.is_some_and(|at| now.saturating_duration_since(at) < EXPIRY_INTERVAL) {
            return false;
        }
        self.expired_at = Some(now);
        let before = self.suspects.len();
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        let has_removed = self.suspects.len() < before;
        if has_removed {
            self.digest.set(None);
        }
        has_removed
    }

    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let weakest = self.suspects.iter().min_by_key(|(_, suspect)| (suspect.count(), suspect.last_crash()));
        if let Some(weakest) = weakest.map(|(request, _)| *request) {
            self.suspects.remove(&weakest);
        }
    }

    /// Returns the requests with the most crashes, in an order on which all instances agree.
    fn strongest(&self) -> Vec<(&RequestFingerprint, &Suspect)> {
        let mut all: Vec<_> = self.suspects.iter().collect();
        all.sort_unstable_by_key(|(request, suspect)| (Reverse(suspect.count()), **request));
        all.truncate(MAX_RECORDS);
        all
    }

    fn determine_digest(&self) -> u64 {
        let digest_of = |(request, suspect): (&RequestFingerprint, &Suspect)| {
            let mut hasher = FastHasher::default();
            request.hash(&mut hasher);
            suspect.hash_crashes(&mut hasher);
            hasher.finish()
        };
        self.strongest().into_iter().map(digest_of).fold(0, |all, one| all ^ one)
    }
}
