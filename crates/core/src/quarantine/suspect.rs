//! Evidence against one request.

use {
    super::{Crash, RequestFingerprint, RunId, Standing, SuspectRecord},
    std::{
        collections::BTreeMap,
        hash::{Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Crashes after which a request is quarantined. A server may end by itself while it runs a sound request, but hardly
/// three in a row.
const QUARANTINE_CRASHES: usize = 3;
/// Crashes from which on a request is not sent to a second server.
const SUSPECT_CRASHES: usize = 2;
/// Time from the first crash to the last one within which all may have one other cause, such as a failure of several
/// servers at once. It is also the time after which a trial shows whether that was so.
const SIMULTANEOUS_WITHIN: Duration = Duration::from_secs(1);
/// Range of the quarantine of a request that crashed servers at different times. It lasts as long as the request has
/// been crashing servers, so that each trial that fails about doubles it.
const MIN_QUARANTINE: Duration = Duration::from_secs(60);
const MAX_QUARANTINE: Duration = Duration::from_secs(3_600);
/// Time for which crashes count, and for which they are remembered after a quarantine.
const MEMORY: Duration = Duration::from_secs(600);
/// Crashes that are remembered, those with the lowest runs, so that all instances keep the same ones.
const MAX_CRASHES: usize = 16;
/// Time after which a trial whose end is not reported no longer prevents another one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Evidence against one request.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    /// Runs of servers that ended, and whether the request was found not to be the cause.
    crashes: BTreeMap<RunId, bool>,
    first_crash: Instant,
    last_crash: Instant,
    trial_until: Option<Instant>,
}

impl Suspect {
    pub(super) fn new(now: Instant) -> Self {
        Self { crashes: BTreeMap::new(), first_crash: now, last_crash: now, trial_until: None }
    }

    /// Records a crash; returns whether that is news.
    pub(super) fn record(&mut self, (first, last): (Instant, Instant), crash: Crash) -> bool {
        let Some(is_refuted) = self.crashes.get_mut(&crash.run) else {
            self.first_crash = if self.count() == 0 { first } else { self.first_crash.min(first) };
            self.last_crash = self.last_crash.max(last);
            self.crashes.insert(crash.run, crash.is_refuted);
            self.trial_until = None;
            if self.crashes.len() > MAX_CRASHES {
                self.crashes.pop_last();
            }
            return self.crashes.contains_key(&crash.run);
        };
        let is_news = crash.is_refuted && !*is_refuted;
        *is_refuted |= crash.is_refuted;
        is_news
    }

    /// Records that a server answered the request; returns whether that is news.
    pub(super) fn refute(&mut self) -> bool {
        let is_news = self.crashes.values().any(|is_refuted| !is_refuted);
        self.crashes.values_mut().for_each(|is_refuted| *is_refuted = true);
        self.trial_until = None;
        is_news
    }

    /// Returns the number of crashes that were not refuted.
    pub(super) fn count(&self) -> usize {
        self.crashes.values().filter(|is_refuted| !**is_refuted).count()
    }

    pub(super) fn standing(&self, now: Instant) -> Standing {
        let count = self.count();
        if count < QUARANTINE_CRASHES {
            let is_suspected = count >= SUSPECT_CRASHES && !self.is_expired(now);
            return if is_suspected { Standing::Suspected } else { Standing::Clear };
        }
        let until = self.quarantine_end().max(self.trial_until.unwrap_or(self.last_crash));
        match now < until {
            true => Standing::Quarantined(until),
            false if self.is_expired(now) => Standing::Clear,
            false => Standing::TrialDue { since: until },
        }
    }

    pub(super) fn begin_trial(&mut self, now: Instant) {
        self.trial_until = Some(now + TRIAL_TIMEOUT);
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let end = if self.count() < QUARANTINE_CRASHES { self.last_crash } else { self.quarantine_end() };
        now.saturating_duration_since(end) >= MEMORY
    }

    /// Adds the crashes to a hash, which is the same at all instances.
    pub(super) fn hash_crashes(&self, hasher: &mut impl Hasher) {
        self.crashes.hash(hasher);
    }

    pub(super) fn last_crash(&self) -> Instant {
        self.last_crash
    }

    pub(super) fn to_record(&self, now: Instant, request: RequestFingerprint) -> SuspectRecord {
        let age = now.saturating_duration_since(self.last_crash);
        let span = self.last_crash.saturating_duration_since(self.first_crash);
        SuspectRecord {
            request,
            crashes: self
                .crashes
                .iter()
                .map(|(run, is_refuted)| Crash { run: *run, is_refuted: *is_refuted })
                .collect(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            span_ms: u32::try_from(span.as_millis()).unwrap_or(u32::MAX),
        }
    }

    fn quarantine_end(&self) -> Instant {
        let span = self.last_crash.saturating_duration_since(self.first_crash);
        let is_simultaneous = span < SIMULTANEOUS_WITHIN;
        self.last_crash + if is_simultaneous { SIMULTANEOUS_WITHIN } else { span.clamp(MIN_QUARANTINE, MAX_QUARANTINE) }
    }
}
