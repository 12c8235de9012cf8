//! Whether the configuration of this instance is fresh enough to serve calls.

use {
    super::{FRESHNESS_WINDOW, PeerReport, serve_quorum},
    crate::ids::ChangeNumber,
    derive_more::Display,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Number of installed changes that are kept with their installation times.
const MAX_HISTORY: usize = 16;

/// Reason why an instance must not serve calls.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NotCurrent {
    /// No change is installed yet.
    #[display("no change installed")]
    NothingInstalled,
    /// The instance has not learned since its start which changes were accepted before.
    #[display("highest accepted change not learned since start")]
    NotInformed,
    /// Too few instances confirmed within the window that they have nothing newer.
    #[display("too few entries confirmed that the configuration is current")]
    NoQuorum,
}

/// Tracks whether the configuration of this instance is current.
#[derive(Clone, Debug)]
pub struct ConfigFreshness {
    roster: usize,
    window: Duration,
    installed: ChangeNumber,
    /// The last installed change numbers, in increasing order, with their installation times.
    history: VecDeque<(ChangeNumber, Instant)>,
    informed: bool,
    learned: Option<ChangeNumber>,
}

impl ConfigFreshness {
    /// Creates the initial state, with nothing installed and nothing learned, for `roster` instances including this
    /// one.
    ///
    /// ```
    /// use {
    ///     hemlockford_core::freshness::{ConfigFreshness, NotCurrent},
    ///     std::time::Instant,
    /// };
    /// let now = Instant::now();
    /// let mut freshness = ConfigFreshness::new(1);
    /// freshness.learn_committed(3);
    /// assert!(freshness.install(now, 3));
    /// freshness.update(now, std::iter::empty);
    /// assert_eq!(freshness.may_serve(now, std::iter::empty()), Ok(()));
    /// assert!(!freshness.install(now, 2));
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

    /// Returns the time since which this instance holds the change or a newer one, as far as the history reaches.
    pub fn installed_since(&self, number: ChangeNumber) -> Option<Instant> {
        self.history.iter().find(|(installed, _)| *installed >= number).map(|(_, at)| *at)
    }

    /// Returns whether this instance knows the highest change that was accepted before its start, so that its reports
    /// count for the quorums of others.
    pub fn is_informed(&self) -> bool {
        self.informed
    }

    /// Records a committed change number from the log, in response to a query made after the start of this process.
    pub fn learn_committed(&mut self, number: ChangeNumber) {
        self.learned = self.learned.max(Some(number));
    }

    /// Installs a committed change; returns whether it was installed. A change is rejected if its number is not
    /// higher than the installed one, or may be lower than one that an earlier incarnation had installed.
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

    /// Learns from the reports of the peers. Must be called after each report and installation.
    pub fn update<'a, I: Iterator<Item = PeerReport<'a>>>(&mut self, now: Instant, reports: impl Fn() -> I) {
        if self.informed {
            return;
        }
        // This instance knows nothing itself, so the whole quorum must consist of others.
        let needed = serve_quorum(self.roster);
        let fresh = || reports().filter(|report| report.status.informed && self.is_fresh(now, report));
        if fresh().count() >= needed {
            let highest = fresh().map(|report| report.status.installed).max();
            self.learned = self.learned.max(highest);
        }
        self.informed = self.learned.is_some_and(|learned| learned <= self.installed);
    }

    /// Returns the time until which this instance may serve calls, evaluated at `now`.
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
        let mut report_times: Vec<Instant> = reports
            .filter(|report| report.status.informed && report.status.installed <= self.installed)
            .map(|report| report.last_heard_at)
            .collect();
        report_times.push(now);
        report_times.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = report_times.get(serve_quorum(self.roster) - 1).ok_or(NotCurrent::NoQuorum)?;
        Some(*oldest + self.window).filter(|until| now < *until).ok_or(NotCurrent::NoQuorum)
    }

    /// Returns whether this instance may serve calls, evaluated at `now`.
    pub fn may_serve<'a>(&self, now: Instant, reports: impl Iterator<Item = PeerReport<'a>>) -> Result<(), NotCurrent> {
        self.serve_until(now, reports).map(drop)
    }

    /// Returns the number of the change to fetch, if a higher one than the installed one is known.
    pub fn fetch_target<'a>(&self, reports: impl Iterator<Item = PeerReport<'a>>) -> Option<ChangeNumber> {
        let reported = reports.map(|report| report.status.installed).max();
        let target = if self.informed { reported.max(self.learned) } else { self.learned.max(reported) };
        target.filter(|target| *target > self.installed)
    }

    fn is_fresh(&self, now: Instant, report: &PeerReport<'_>) -> bool {
        now.saturating_duration_since(report.last_heard_at) < self.window
    }
}
