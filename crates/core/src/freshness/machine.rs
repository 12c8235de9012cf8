//! The serving side: whether this entry's configuration is current.

use {
    super::{FRESHNESS_WINDOW, PeerReport, serve_quorum},
    crate::ids::ChangeNumber,
    derive_more::Display,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Installed numbers that are remembered with their times.
const MAX_HISTORY: usize = 16;

/// Why an entry may not serve.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotCurrent {
    /// It has installed no change yet.
    #[display("no change installed")]
    NothingInstalled,
    /// It has not learned since its start which changes were accepted before.
    #[display("highest accepted change not learned since start")]
    NotInformed,
    /// Too few entries confirmed within the window that they hold nothing newer.
    #[display("too few entries confirmed that the configuration is current")]
    NoQuorum,
}

/// Whether the configuration of this entry is current.
#[derive(Clone, Debug)]
pub struct ConfigFreshness {
    roster: usize,
    window: Duration,
    installed: ChangeNumber,
    /// Rising numbers installed last, with their times.
    history: VecDeque<(ChangeNumber, Instant)>,
    informed: bool,
    learned: Option<ChangeNumber>,
}

impl ConfigFreshness {
    /// Starts with nothing installed and nothing learned, for a roster of `roster` entries with this one.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::freshness::{ConfigFreshness, NotCurrent},
    ///     std::time::Instant,
    /// };
    /// let now = Instant::now();
    /// let mut currency = ConfigFreshness::new(1);
    /// currency.learn(3);
    /// assert!(currency.install(now, 3));
    /// currency.update(now, std::iter::empty);
    /// assert_eq!(currency.may_serve(now, std::iter::empty()), Ok(()));
    /// assert!(!currency.install(now, 2));
    /// assert_eq!(ConfigFreshness::new(3).may_serve(now, std::iter::empty()), Err(NotCurrent::NothingInstalled));
    /// ```
    pub fn new(roster: usize) -> Self {
        Self {
            roster: roster.max(1),
            window: FRESHNESS_WINDOW,
            installed: 0,
            history: VecDeque::new(),
            informed: false,
            learned: None,
        }
    }

    /// Returns the number of the installed change; 0 before the first.
    pub fn installed(&self) -> ChangeNumber {
        self.installed
    }

    /// Returns the time from which this entry holds a change or a newer one, as far as is remembered.
    pub fn installed_since(&self, number: ChangeNumber) -> Option<Instant> {
        self.history.iter().find(|(installed, _)| *installed >= number).map(|(_, at)| *at)
    }

    /// Returns whether this entry's report says anything about what was accepted before its start.
    pub fn is_informed(&self) -> bool {
        self.informed
    }

    /// Takes a number that the log named as the highest committed one, in answer to a question asked after
    /// the start of this process.
    pub fn learn_committed(&mut self, number: ChangeNumber) {
        self.learned = self.learned.max(Some(number));
    }

    /// Installs a committed change; returns whether it was taken. A lower or equal number is refused, and so
    /// is one that may be lower than what an earlier incarnation had installed.
    pub fn install(&mut self, now: Instant, number: ChangeNumber) -> bool {
        if number <= self.installed || (!self.informed && self.learned.is_none_or(|learned| number < learned)) {
            return false;
        }
        self.installed = number;
        self.history.push_back((number, now));
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
        true
    }

    /// Learns from the reports of the others; to be called after each report and installation.
    pub fn update<'a, I: Iterator<Item = PeerReport<'a>>>(&mut self, now: Instant, reports: impl Fn() -> I) {
        if self.informed {
            return;
        }
        // This entry itself knows nothing, so the whole quorum must be others.
        let needed = serve_quorum(self.roster);
        let fresh = || reports().filter(|report| report.status.informed && self.is_fresh(now, report));
        if fresh().count() >= needed {
            let highest = fresh().map(|report| report.status.installed).max();
            self.learned = self.learned.max(highest);
        }
        self.informed = self.learned.is_some_and(|learned| learned <= self.installed);
    }

    /// Returns the time until which this entry may serve, judged at `now`.
    pub fn serve_until<'a>(
        &self,
        now: Instant,
        reports: impl Iterator<Item = PeerReport<'a>>,
    ) -> Result<Instant, NotCurrent> {
        if self.installed == 0 {
            return Err(NotCurrent::NothingInstalled);
        }
        if !self.informed {
            return Err(NotCurrent::NotInformed);
        }
        let mut heard: Vec<Instant> = reports
            .filter(|report| report.status.informed && report.status.installed <= self.installed)
            .map(|report| report.last_heard_at)
            .collect();
        heard.push(now);
        heard.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = heard.get(serve_quorum(self.roster) - 1).ok_or(NotCurrent::NoQuorum)?;
        Some(*oldest + self.window).filter(|until| now < *until).ok_or(NotCurrent::NoQuorum)
    }

    /// Returns whether this entry may serve, judged at `now`.
    pub fn may_serve<'a>(&self, now: Instant, reports: impl Iterator<Item = PeerReport<'a>>) -> Result<(), NotCurrent> {
        self.serve_until(now, reports).map(drop)
    }

    /// Returns the number to fetch, if a higher one than the installed one is known.
    pub fn fetch_target<'a>(&self, reports: impl Iterator<Item = PeerReport<'a>>) -> Option<ChangeNumber> {
        let reported = reports.map(|report| report.status.installed).max();
        let target = if self.informed { reported.max(self.learned) } else { self.learned.max(reported) };
        target.filter(|target| *target > self.installed)
    }

    fn is_fresh(&self, now: Instant, report: &PeerReport<'_>) -> bool {
        now.saturating_duration_since(report.last_heard_at) < self.window
    }
}
