//! The measuring budget over several entries that join, leave, restart, lend and lose messages.

use {
    hemlockford_core::{
        config::MeasureConfig,
        measure::{
            LOAN_DURATION, Loan, LoanRequest, MeasureBudget, MeasureCost, MeasureLimits, MeasureOptions, PROBE_TIMEOUT,
            WINDOW,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

const SLOTS: u32 = 72;
/// Probability per step that a stopped entry starts again.
const RESTART_CHANCE: f64 = 0.002;
const RUN: Duration = Duration::from_secs(40);

/// One use of the budget.
struct BudgetUse {
    begin: Duration,
    end: Duration,
    cost: MeasureCost,
}

/// Returns the maximum that was used in any window of one second; a use counts whole in each window that it
/// overlaps.
fn peak(uses: &mut [BudgetUse]) -> MeasureCost {
    uses.sort_by_key(|spent| spent.begin);
    let mut peak = MeasureCost::default();
    for window in uses.iter().map(|spent| spent.end) {
        // No use is longer than a probe, so earlier uses ended before the window.
        let from = uses.partition_point(|spent| spent.begin + PROBE_TIMEOUT < window);
        let to = uses.partition_point(|spent| spent.begin < window + WINDOW);
        let within = uses[from..to].iter().filter(|spent| spent.end >= window);
        let sum = within.fold(MeasureCost::default(), |sum, spent| sum.plus(spent.cost));
        peak.slot_time = peak.slot_time.max(sum.slot_time);
        peak.bytes = peak.bytes.max(sum.bytes);
    }
    peak
}

/// How entries divide the budget.
#[derive(Clone, Copy, PartialEq)]
enum Division {
    AllEntries,
    Loans,
    /// By the peers that an entry hears from. This is wrong and shows that the check detects violations.
    KnownPeers,
}

enum Message {
    Request(LoanRequest),
    Grant(Loan),
}

struct Entry {
    budget: Option<MeasureBudget>,
    clock_rate: f64,
    running: Vec<(Duration, Box<str>, MeasureCost)>,
}

struct Simulation {
    rng: SmallRng,
    division: Division,
    start: Instant,
    now: Duration,
    entries: Vec<Entry>,
    messages: Vec<(Duration, usize, usize, Message)>,
    uses: Vec<BudgetUse>,
    partition_sides: Vec<bool>,
    stop_probability: f64,
    starts: u64,
    loans: u32,
}

impl Simulation {
    fn new(seed: u64, division: Division) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_calm = seed % 2 == 1;
        let count = if is_calm { rng.random_range(2..=3) } else { rng.random_range(2..=9) };
        // The clocks of machines differ by up to 100 ppm.
        let entry = |rate| Entry { budget: None, clock_rate: 1.0 + rate, running: Vec::new() };
        let entries = (0..count).map(|_| entry(rng.random_range(-1e-4..1e-4))).collect();
        let (start, now, partition_sides) = (Instant::now(), Duration::ZERO, vec![true; count]);
        // Frequent restarts keep most entries in their startup delay. With rare restarts of few entries,
        // loans last until their end while the whole budget is in use.
        let stop_probability = if is_calm { 0.0002 } else { RESTART_CHANCE };
        Self {
            rng,
            division,
            start,
            now,
            entries,
            messages: vec![],
            uses: vec![],
            partition_sides,
            stop_probability,
            starts: 0,
            loans: 0,
        }
    }

    fn local_time(&self, entry: usize) -> Instant {
        self.start + self.now.mul_f64(self.entries[entry].clock_rate)
    }

    fn limits(&self, entry: usize) -> MeasureLimits {
        let known_peers = self
            .partition_sides
            .iter()
            .zip(&self.entries)
            .filter(|(s, e)| **s == self.partition_sides[entry] && e.budget.is_some());
        let parts = if self.division == Division::KnownPeers { known_peers.count() } else { self.entries.len() };
        MeasureLimits::new(&MeasureConfig::default(), SLOTS, parts as u32)
    }

    fn step(&mut self) {
        self.now += Duration::from_micros(self.rng.random_range(100..4_000));
        if self.rng.random_bool(0.002) {
            let rng = &mut self.rng;
            self.partition_sides.iter_mut().for_each(|side| *side = rng.random_bool(0.6));
        }
        self.deliver();
        let entry = self.rng.random_range(0..self.entries.len());
        let chance = if self.entries[entry].budget.is_some() { self.stop_probability } else { RESTART_CHANCE };
        if self.rng.random_bool(chance) {
            self.stop_or_start(entry);
        }
        self.finish(entry);
        let limits = self.limits(entry);
        let now = self.local_time(entry);
        let Some(budget) = &mut self.entries[entry].budget else { return };
        budget.set_limits(limits);
        let max_cost = MeasureCost {
            slot_time: Duration::from_millis(self.rng.random_range(1..30)),
            processor: Duration::ZERO,
            bytes: self.rng.random_range(20..600),
        };
        match self.rng.random_range(0..4) {
            0 => {
                let server = format!("s{}", self.rng.random_range(0..36));
                let end = self.now + PROBE_TIMEOUT.mul_f64(self.rng.random_range(0.0..0.99));
                if budget.try_probe(now, &server, max_cost, 0.0) {
                    self.uses.push(BudgetUse { begin: self.now, end, cost: max_cost });
                    self.entries[entry].running.push((end, server.into(), max_cost));
                }
            }
            1 => {
                let cost = MeasureCost { slot_time: Duration::ZERO, ..max_cost };
                if budget.try_report(now, "reporter", cost) {
                    self.uses.push(BudgetUse { begin: self.now, end: self.now, cost });
                }
            }
            2 if self.division == Division::Loans => {
                let lender = self.rng.random_range(0..self.partition_sides.len());
                let amount = limits.per_entry.divided(self.rng.random_range(2..4));
                if let Some(request) = budget.request_loan(now, &lender.to_string(), amount) {
                    self.send(entry, lender, &|| Message::Request(request.clone()));
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, entry: usize) {
        let now = self.local_time(entry);
        let Entry { budget, running, .. } = &mut self.entries[entry];
        for (end, server, cost) in running.extract_if(.., |(end, ..)| *end <= self.now) {
            // The end of one in ten probes is never reported.
            if let Some(budget) = budget.as_mut().filter(|_| end.as_nanos() % 10 > 0) {
                budget.finish_probe(now, &server, cost);
            }
        }
    }

    fn stop_or_start(&mut self, entry: usize) {
        let options = MeasureOptions { loans: self.division == Division::Loans, ..MeasureOptions::default() };
        self.starts += 1;
        let budget = MeasureBudget::new(self.local_time(entry), self.starts, options);
        let is_running = self.entries[entry].budget.is_some();
        self.entries[entry].running.clear();
        // Half of the stops are followed by a start immediately.
        let starts = !is_running || self.rng.random_bool(0.5);
        self.entries[entry].budget = starts.then_some(budget);
    }

    /// Sends a message that may be lost, delayed or delivered twice.
    fn send(&mut self, from: usize, to: usize, message: &dyn Fn() -> Message) {
        let copies =
            if self.partition_sides[from] == self.partition_sides[to] { self.rng.random_range(0..=2) } else { 0 };
        for _ in 0..copies {
            let delay = Duration::from_secs_f64(self.rng.random_range(0.0_f64..1.4).powi(4));
            self.messages.push((self.now + delay, from, to, message()));
        }
    }

    fn deliver(&mut self) {
        let due: Vec<_> = self.messages.extract_if(.., |(at, ..)| *at <= self.now).collect();
        for (_, from, to, message) in due {
            let now = self.local_time(to);
            let Some(budget) = &mut self.entries[to].budget else { continue };
            match message {
                Message::Request(request) => {
                    if let Some(loan) = budget.lend(now, &request).filter(|_| from != to) {
                        self.send(to, from, &|| Message::Grant(loan.clone()));
                    }
                }
                Message::Grant(loan) => self.loans += u32::from(budget.take_loan(now, &from.to_string(), &loan)),
            }
        }
    }
}

fn run(seed: u64, division: Division) -> (MeasureCost, Simulation) {
    let mut simulation = Simulation::new(seed, division);
    for entry in 0..simulation.entries.len() {
        simulation.stop_or_start(entry);
    }
    while simulation.now < RUN {
        simulation.step();
    }
    let mut uses = std::mem::take(&mut simulation.uses);
    let spent = peak(&mut uses);
    simulation.uses = uses;
    (spent, simulation)
}

fn system() -> MeasureCost {
    MeasureLimits::new(&MeasureConfig::default(), SLOTS, 1).per_entry
}

/// Guards against any window of one second in which all entries together exceed the budget.
#[test]
fn no_window_exceeds_the_budget() {
    for division in [Division::AllEntries, Division::Loans] {
        let (mut loans, mut highest) = (0, MeasureCost::default());
        for seed in 0..100 {
            let (spent, simulation) = run(seed, division);
            assert!(spent.fits(&system()), "seed {seed}: {spent:?} exceeds {:?}", system());
            assert!(!simulation.uses.is_empty(), "seed {seed}: no probe or report was allowed");
            loans += simulation.loans;
            highest.slot_time = highest.slot_time.max(spent.slot_time);
            highest.bytes = highest.bytes.max(spent.bytes);
        }
        println!("{loans} loans taken; highest window {highest:?} of {:?}", system());
        assert_eq!(loans > 0, division == Division::Loans, "loans are not covered");
    }
}

/// Guards against a check that detects nothing: dividing the budget by the peers that an entry hears from
/// must fail it.
#[test]
fn division_by_known_peers_is_detected() {
    let exceeded = (0..20).filter(|seed| !run(*seed, Division::KnownPeers).0.fits(&system())).count();
    println!("division by known peers exceeds the budget with {exceeded} of 20 seeds");
    assert!(exceeded > 0);
}

fn ready_budget() -> (MeasureBudget, Instant) {
    let start = Instant::now();
    let mut budget = MeasureBudget::new(start, 1, MeasureOptions::default());
    budget.set_limits(MeasureLimits::new(&MeasureConfig::default(), SLOTS, 7));
    (budget, start + Duration::from_secs(10))
}

/// Guards against probes that add load at peak, or that ask for what a recent report contains.
#[test]
fn probes_give_way_to_load_and_reports() {
    let (mut budget, now) = ready_budget();
    let cost = MeasureCost { bytes: 100, ..MeasureCost::default() };
    assert!(!budget.try_probe(now, "a", cost, 0.9), "utilization is high");
    assert!(budget.try_report(now, "a", cost));
    assert!(!budget.try_probe(now, "a", cost, 0.1), "a has just reported");
    assert!(budget.try_probe(now, "b", cost, 0.1));
    assert!(!budget.try_probe(now, "b", cost, 0.1), "a probe of b is running");
    assert!(budget.try_probe(now + Duration::from_secs(2), "a", cost, 0.1));
    assert_eq!(budget.counters().gave_way, 3);
    assert_eq!(budget.counters().spent.bytes, 200, "a report and the first probe, whose end was not reported");
}

/// Guards against a processor limit that is not checked; it applies to each entry and is not divided.
#[test]
fn processor_time_is_limited() {
    let (mut budget, now) = ready_budget();
    let cost = MeasureCost { processor: Duration::from_millis(1), ..MeasureCost::default() };
    let allowed = (0..10).filter(|_| budget.try_report(now, "a", cost)).count();
    assert_eq!(allowed, 5, "0.5% of one second");
}

/// Guards against overlapping use of a loan by the lender and the borrower: probes of the lender that are
/// running when it grants the loan, and probes of the borrower that outlast it. Both are rare in the random
/// runs.
#[test]
fn loans_wait_for_probes() {
    let start = Instant::now();
    let now = start + Duration::from_secs(10);
    let options = MeasureOptions { loans: true, ..MeasureOptions::default() };
    let limits = MeasureLimits::new(&MeasureConfig::default(), SLOTS, 2);
    let [mut lender, mut borrower] = [1, 2].map(|incarnation| MeasureBudget::new(start, incarnation, options.clone()));
    lender.set_limits(limits);
    borrower.set_limits(limits);
    // Processor time belongs to an entry and is never lent.
    let whole = MeasureCost { processor: Duration::ZERO, ..limits.per_entry };
    let half = whole.divided(2);
    let request = borrower.request_loan(now, "lender", half).unwrap();

    assert!(lender.try_probe(now, "a", whole, 0.0));
    assert_eq!(lender.lend(now, &request), None, "a probe uses the whole share");
    lender.finish_probe(now, "a", whole);
    let loan = lender.lend(now, &request).unwrap();
    assert!(borrower.take_loan(now, "lender", &loan));
    assert!(!borrower.take_loan(now, "lender", &loan), "a duplicate of the grant is not a second loan");

    let more = whole.plus(half);
    let end = now + LOAN_DURATION;
    assert!(!borrower.clone().try_probe(now + WINDOW, "b", more, 0.0), "the lender's use is still in the window");
    assert!(borrower.clone().try_probe(end - PROBE_TIMEOUT, "b", more, 0.0));
    assert!(!borrower.try_probe(end - PROBE_TIMEOUT / 2, "b", more, 0.0), "the probe could outlast the loan");
}

/// Guards against reports that are only counted when they are requested, although they may all arrive much
/// later at the same time.
#[test]
fn a_requested_report_counts_until_its_exchange_has_ended() {
    let start = Instant::now();
    let mut budget = MeasureBudget::new(start, 1, MeasureOptions::default());
    budget.set_limits(MeasureLimits::new(&MeasureConfig::default(), SLOTS, 7));
    let cost = MeasureCost { bytes: 1_000, ..MeasureCost::default() };
    let now = start + Duration::from_secs(10);
    for server in ["a", "b", "c"] {
        assert!(budget.request_report(now, server, cost));
    }
    let end = now + Duration::from_secs(5);
    assert!(!budget.request_report(end, "d", cost), "three pending answers take 1,000 of 3,000 bytes each");
    budget.finish_report(end, cost);
    assert!(!budget.request_report(end + WINDOW, "d", cost), "one of them arrived within the window");
    let later = end + WINDOW + WINDOW / 32;
    assert!(budget.request_report(later, "d", cost));
    assert!(!budget.request_report(later, "d", MeasureCost::default()), "a report was requested recently");
}
