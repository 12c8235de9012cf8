//! Randomized simulation of the install and serve quorums under partitions, message loss, delays, suspended processes
//! and restarts.
//!
//! Guards against an entry that serves calls under an old configuration more than 2 s after a newer one was accepted.

use {
    hemlockford_core::{
        collections::FastSet,
        freshness::{ConfigFreshness, is_held_by_quorum},
        ids::ChangeNumber,
        membership::{Heartbeat, Membership, MembershipAction, MembershipEvent, MembershipOptions, Status},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
};

const SEED: u64 = 4_711;
const CASES: u64 = 600;
const STEP_MS: u64 = 50;
const CASE_MS: u64 = 20_000;
const WINDOW_MS: u64 = 2_000;

struct Entry {
    membership: Membership,
    freshness: ConfigFreshness,
    incarnation: u64,
    frozen_until: u64,
    /// Heartbeats in transit: arrival time, sender, message.
    inbox: Vec<(u64, usize, Heartbeat)>,
}

struct Model {
    roster: usize,
    base: Instant,
    now_ms: u64,
    rng: SmallRng,
    entries: Vec<Entry>,
    /// Links that are down, by direction.
    links_down: FastSet<(usize, usize)>,
    committed: ChangeNumber,
    /// Whether restarted entries can query the log.
    is_log_up: bool,
    loss_percent: u32,
    max_delay: u64,
    /// Average number of steps between deliveries of a change to an entry.
    spread: u32,
    /// Accepted changes with the times of their acceptance.
    accepted: Vec<(ChangeNumber, u64)>,
    longest_stale_ms: u64,
}

fn name(entry: usize) -> Box<str> {
    format!("e{entry}").into()
}

impl Model {
    fn new(roster: usize, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let is_log_up = rng.random_range(0..2) == 0;
        let loss_percent = rng.random_range(0..30);
        let max_delay = [10, 400, 3_000][rng.random_range(0..3)];
        let spread = [5, 20, 80][rng.random_range(0..3)];
        let base = Instant::now();
        let mut model = Self {
            roster,
            base,
            now_ms: 0,
            rng,
            entries: Vec::new(),
            links_down: FastSet::default(),
            committed: 0,
            is_log_up,
            loss_percent,
            max_delay,
            spread,
            accepted: Vec::new(),
            longest_stale_ms: 0,
        };
        for entry in 0..roster {
            let mut fresh = model.fresh(entry, 1);
            // On the first start of the system, the entries query the log.
            fresh.freshness.learn_committed(0);
            model.entries.push(fresh);
        }
        model
    }

    fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    fn fresh(&self, entry: usize, incarnation: u64) -> Entry {
        let peers = (0..self.roster).filter(|peer| *peer != entry).map(name).collect();
        let options = MembershipOptions { id: name(entry), incarnation, peers, ..Default::default() };
        let membership = Membership::new(options, self.now());
        let freshness = ConfigFreshness::new(self.roster);
        Entry { membership, freshness, incarnation, frozen_until: 0, inbox: Vec::new() }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.inject_fault();
        for entry in 0..self.roster {
            if self.entries[entry].frozen_until <= self.now_ms {
                self.run_entry(entry);
            }
        }
        self.check();
    }

    /// Injects a random fault or commits a change.
    fn inject_fault(&mut self) {
        let entry = self.rng.random_range(0..self.roster);
        match self.rng.random_range(0..60) {
            0 | 1 => self.take_links_down(entry),
            2 => self.links_down.clear(),
            // Entry 0 decides on acceptance and never restarts.
            3 | 4 if entry > 0 => {
                let incarnation = self.entries[entry].incarnation + 1;
                self.entries[entry] = self.fresh(entry, incarnation);
            }
            5 => self.entries[entry].frozen_until = self.now_ms + self.rng.random_range(100..6_000),
            6..9 => self.committed += 1,
            _ => {}
        }
    }

    /// Takes down links between an entry and a random subset of the others, in one or both directions.
    fn take_links_down(&mut self, entry: usize) {
        for other in (0..self.roster).filter(|other| *other != entry) {
            match self.rng.random_range(0..4) {
                0 => self.links_down.extend([(entry, other), (other, entry)]),
                1 => self.links_down.extend([(entry, other)]),
                _ => {
                    self.links_down.remove(&(entry, other));
                    self.links_down.remove(&(other, entry));
                }
            }
        }
    }

    fn run_entry(&mut self, entry: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        let Entry { inbox, .. } = &mut self.entries[entry];
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(inbox).into_iter().partition(|(at, _, _)| *at <= now_ms);
        *inbox = rest;
        let mut actions = Vec::new();
        for (_, from, heartbeat) in due {
            let event = MembershipEvent::Receive { from: name(from), heartbeat };
            self.entries[entry].membership.handle(now, event, &mut actions);
        }
        // Occasionally a change arrives, pushed by the log or fetched from a reachable entry.
        let is_near =
            |other: usize| !self.links_down.contains(&(other, entry)) && !self.links_down.contains(&(entry, other));
        let nearby = (0..self.roster).filter(|other| is_near(*other));
        let newest = nearby.map(|other| self.entries[other].freshness.installed()).max().unwrap_or(0);
        let mut is_due = |spread: u32| self.rng.random_range(0..spread) == 0;
        let pushed = if is_due(self.spread) && (self.is_log_up || entry == 0) { self.committed } else { 0 };
        let fetched = if is_due(self.spread) { newest } else { 0 };
        let is_asking = self.is_log_up && is_due(20);
        let Entry { membership, freshness, .. } = &mut self.entries[entry];
        if is_asking && !freshness.is_informed() {
            freshness.learn_committed(self.committed);
        }
        freshness.update(now, || membership.reports());
        let offered = pushed.max(fetched);
        if offered > 0 {
            freshness.install(now, offered);
        }
        freshness.update(now, || membership.reports());
        let (installed, informed) = (freshness.installed(), freshness.is_informed());
        let status = Status { installed, informed, ..Status::default() };
        membership.handle(now, MembershipEvent::Report(status), &mut actions);
        membership.handle(now, MembershipEvent::Tick, &mut actions);
        for action in actions {
            let MembershipAction::Send { to, heartbeat } = action else { continue };
            let to: usize = to[1..].parse().expect("name of an entry");
            if !self.links_down.contains(&(entry, to)) && self.rng.random_range(0..100) >= self.loss_percent {
                let at = self.now_ms + self.rng.random_range(1..=self.max_delay);
                self.entries[to].inbox.push((at, entry, heartbeat));
            }
        }
    }

    /// Records accepted changes and checks the configuration that every entry serves under, including suspended ones.
    fn check(&mut self) {
        let now = self.now();
        let Entry { membership, freshness, .. } = &self.entries[0];
        let highest = self.accepted.last().map_or(0, |(number, _)| *number);
        for number in highest + 1..=freshness.installed() {
            if is_held_by_quorum(number, self.roster, freshness.installed_since(number), membership.reports()) {
                self.accepted.push((number, self.now_ms));
            }
        }
        for entry in &self.entries {
            let is_serving = entry.freshness.may_serve(now, entry.membership.reports()).is_ok();
            let newer = self.accepted.iter().find(|(number, _)| *number > entry.freshness.installed());
            if let Some((_, at)) = newer.filter(|_| is_serving) {
                self.longest_stale_ms = self.longest_stale_ms.max(self.now_ms - at);
            }
        }
    }
}

#[test]
fn no_entry_serves_an_old_configuration_for_longer_than_the_window() {
    let (mut accepted, mut longest) = (0, 0);
    for case in 0..CASES {
        let roster = 1 + (case % 8) as usize;
        let mut model = Model::new(roster, SEED + case);
        while model.now_ms < CASE_MS {
            model.step();
            assert!(
                model.longest_stale_ms <= WINDOW_MS,
                "roster {roster}, seed {}: old configuration served {} ms after a newer one was accepted, at {} ms",
                SEED + case,
                model.longest_stale_ms,
                model.now_ms
            );
        }
        accepted += model.accepted.len();
        longest = longest.max(model.longest_stale_ms);
    }
    println!(
        "seeds {SEED}..{}: {accepted} changes accepted, longest service under an older configuration {longest} ms",
        SEED + CASES
    );
    assert!(accepted as u64 > CASES, "too few changes were accepted for the test to be meaningful");
}
