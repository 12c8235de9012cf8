//! Decision on a second copy of a call whose first one is slower than its kind usually takes.

use {
    crate::{collections::FastMap, retry::SlidingBudget},
    derive_more::Display,
    std::time::{Duration, Instant},
};

/// Answers of a kind of calls after which copies are sent; before, the usual time is only guessed.
const MIN_ANSWERS: u32 = 30;
/// Relative step by which an answer moves the estimate of the usual time. The estimate follows a change of all
/// servers' speed by a factor of 2 within 8 slow answers.
const STEP: f64 = 0.1;
/// Bounds of the quantile after which copies are sent. Below the median a copy is as slow as the first attempt.
const QUANTILES: std::ops::RangeInclusive<f64> = 0.5..=0.98;
/// Highest mean number of other entries' calls per slot at which copies are sent. At 0.75 the fourth of four slots is
/// busy half of the time, and a copy would slow down other calls.
const MAX_LOAD: f64 = 0.6;
/// Time that a copy needs before the deadline, as a multiple of what it is expected to take.
const REQUIRED_TIME_FACTOR: f64 = 1.5;
/// Kinds of calls of one service whose times are learnt. A configuration has a few objectives for each service.
const MAX_KINDS: usize = 64;

/// Why no copy of a slow call was sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HedgeRefusal {
    /// Copies have taken their share of the requests.
    #[display("share")]
    Share,
    /// The budget of extra attempts is spent.
    #[display("budget")]
    Budget,
    /// The customer has no credit for another call.
    #[display("quota")]
    Quota,
    /// Calls of the service wait for servers.
    #[display("queue")]
    Queue,
    /// The servers are too busy.
    #[display("load")]
    Load,
    /// The call has made all its attempts.
    #[display("attempts")]
    Attempts,
    /// The request is suspected of crashing servers.
    #[display("suspect")]
    Suspect,
    /// The path to the servers is lost or in doubt.
    #[display("path")]
    Path,
    /// No other server that is warm, not ejected and not under suspicion has room.
    #[display("no-server")]
    NoServer,
    /// A copy would probably not end before the deadline.
    #[display("time")]
    Time,
}

/// What is known when the first attempt is slow.
#[derive(Clone, Copy, Debug)]
pub struct HedgeCase {
    /// Whether calls of the service wait.
    pub has_queue: bool,
    /// Mean calls of other entries per slot.
    pub load: f64,
    /// Whether the call may make another attempt.
    pub has_attempts: bool,
    /// Whether the request is suspected of crashing servers.
    pub is_suspected: bool,
    /// Whether the path to the servers is open.
    pub is_path_open: bool,
    /// Expected time of a copy at the best other server.
    pub expected: Option<Duration>,
    /// Time until the deadline.
    pub left: Duration,
}

/// Decides on second copies of the calls of one service.
///
/// The usual time of a kind of calls (those with one objective) is a quantile of its latencies at nominal speed. It
/// rises by a step with each slower answer and falls by a smaller one with each faster answer, so that slower answers
/// have the share that copies may have. If all servers become slow, it rises and copies stop.
///
/// ```
/// use {hemlockford_core::probing::Hedging, std::time::{Duration, Instant}};
/// let objective = Duration::from_millis(400);
/// let mut hedging = Hedging::new(0.05, Duration::from_secs(10)).unwrap();
/// for _ in 0..100 {
///     hedging.record_answer(objective, Duration::from_millis(100), 1.0);
/// }
/// let delay = hedging.delay(objective, 2.0).unwrap();
/// assert!(delay > Duration::from_millis(150) && delay < Duration::from_millis(250));
/// ```
#[derive(Clone, Debug)]
pub struct Hedging {
    quantile: f64,
    /// Copies in the sliding window, as a share of the requests of this entry.
    budget: SlidingBudget,
    kinds: FastMap<Duration, UsualTime>,
}

#[derive(Clone, Copy, Debug)]
struct UsualTime {
    seconds: f64,
    answers: u32,
}

impl Hedging {
    /// Creates the decision for copies that are at most this share of the requests, or `None` if that is 0.
    pub fn new(share: f64, window: Duration) -> Option<Self> {
        let quantile = (1.0 - share).clamp(*QUANTILES.start(), *QUANTILES.end());
        let hedging = Self { quantile, budget: SlidingBudget::new(share, 0.0, window), kinds: FastMap::default() };
        (share > 0.0).then_some(hedging)
    }

    /// Counts a request of the service.
    pub fn record_request(&mut self, now: Instant) {
        self.budget.record_request(now);
    }

    /// Records the time of a complete answer at a server where work takes longer by a factor.
    pub fn record_answer(&mut self, objective: Duration, latency: Duration, work_factor: f64) {
        let seconds = latency.as_secs_f64() / work_factor;
        if let Some(kind) = self.kind(objective, seconds) {
            kind.answers = kind.answers.saturating_add(1);
        }
        self.adjust(objective, seconds, true);
    }

    /// Records the time after which an attempt was cancelled. Its answer would have taken longer.
    pub fn record_cancelled(&mut self, objective: Duration, latency: Duration, work_factor: f64) {
        self.adjust(objective, latency.as_secs_f64() / work_factor, false);
    }

    /// Returns the time after which a call at a server with this work factor is slower than usual, once that is known.
    pub fn delay(&self, objective: Duration, work_factor: f64) -> Option<Duration> {
        let kind = self.kinds.get(&objective).filter(|kind| kind.answers >= MIN_ANSWERS)?;
        Duration::try_from_secs_f64(kind.seconds * work_factor).ok()
    }

    /// Returns why no copy may be sent, apart from the budgets, which are charged last.
    pub fn check(case: &HedgeCase) -> Result<(), HedgeRefusal> {
        if case.is_suspected {
            return Err(HedgeRefusal::Suspect);
        }
        if !case.has_attempts {
            return Err(HedgeRefusal::Attempts);
        }
        if !case.is_path_open {
            return Err(HedgeRefusal::Path);
        }
        if case.has_queue {
            return Err(HedgeRefusal::Queue);
        }
        if case.load > MAX_LOAD {
            return Err(HedgeRefusal::Load);
        }
        let expected = case.expected.ok_or(HedgeRefusal::NoServer)?;
        if expected.mul_f64(REQUIRED_TIME_FACTOR) > case.left {
            return Err(HedgeRefusal::Time);
        }
        Ok(())
    }

    /// Returns whether the share allows a copy now.
    pub fn may_spend(&mut self, now: Instant) -> bool {
        self.budget.may_spend(now, 1)
    }

    /// Counts a copy if the share and the budget of extra attempts of the service allow it.
    pub fn try_spend(
        &mut self,
        now: Instant,
        retry_budget: &mut SlidingBudget,
        entries: usize,
    ) -> Result<(), HedgeRefusal> {
        if !self.budget.may_spend(now, 1) {
            return Err(HedgeRefusal::Share);
        }
        if !retry_budget.try_spend(now, entries) {
            return Err(HedgeRefusal::Budget);
        }
        self.budget.try_spend(now, 1);
        Ok(())
    }

    fn kind(&mut self, objective: Duration, seconds: f64) -> Option<&mut UsualTime> {
        let has_room = self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&objective);
        has_room.then(|| self.kinds.entry(objective).or_insert(UsualTime { seconds, answers: 0 }))
    }

    /// Moves the usual time towards the quantile. The time of a cancelled attempt only shows that it is longer.
    fn adjust(&mut self, objective: Duration, seconds: f64, is_complete: bool) {
        let quantile = self.quantile;
        let Some(kind) = self.kinds.get_mut(&objective) else { return };
        match seconds >= kind.seconds {
            true => kind.seconds *= 1.0 + STEP * quantile,
            false if is_complete => kind.seconds *= 1.0 - STEP * (1.0 - quantile),
            false => {}
        }
    }
}
