//! Second copies of slow calls at one entry.

#[path = "support/test_entry.rs"]
#[allow(dead_code, unreachable_pub)]
mod test_entry;

use {
    hemlockford_core::{
        collections::FastMap,
        dispatch::{AttemptResult, Call, DispatchAction, DispatchEvent, FinishedAttempt},
        ids::{CallId, ServerId},
        probing::BalancerOptions,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::{Duration, Instant},
    test_entry::{MS, TestEntry, load, sent},
};

const SIX: [(&str, &str); 6] = [("s1", "a"), ("s2", "a"), ("s3", "a"), ("s4", "a"), ("s5", "a"), ("s6", "a")];
const SHARE: f64 = 0.1;

fn entry(servers: &[(&str, &str)], hedge_share: f64) -> TestEntry {
    let mut entry = TestEntry::with_options(
        servers,
        BalancerOptions { data_centre: "a".into(), hedge_share, retry_ratio: 0.5, ..BalancerOptions::default() },
    );
    entry.handle(DispatchEvent::Peers(vec!["e".into()]));
    entry
}

/// An attempt that runs at a server.
#[derive(Clone, Debug)]
struct Running {
    server: ServerId,
    sent_at: Instant,
    end: Instant,
}

/// Calls at an entry whose servers answer after random times.
struct Play {
    entry: TestEntry,
    rng: SmallRng,
    running: FastMap<CallId, (Instant, Vec<Running>)>,
    /// Time until the answer of each call.
    latencies: Vec<Duration>,
    rejected: usize,
    /// Share of answers that take 1 s, and the time of the others.
    slow_share: f64,
    usual: Duration,
}

impl Play {
    fn new(share: f64) -> Self {
        Self {
            entry: entry(&SIX, share),
            rng: SmallRng::seed_from_u64(5),
            running: FastMap::default(),
            latencies: Vec::new(),
            rejected: 0,
            slow_share: 0.04,
            usual: 80 * MS,
        }
    }

    fn execute(&mut self, actions: Vec<DispatchAction>) {
        let actions = self.entry.answer_probes(actions);
        for action in actions {
            let now = self.entry.now;
            match action {
                DispatchAction::Send { call, server, .. } | DispatchAction::Hedge { call, server, .. } => {
                    let is_slow = self.rng.random_bool(self.slow_share);
                    let time = if is_slow { 1_000 * MS } else { self.usual.mul_f64(self.rng.random_range(0.8..1.2)) };
                    let (_, attempts) = self.running.entry(call).or_insert_with(|| (now, Vec::new()));
                    attempts.push(Running { server, sent_at: now, end: now + time });
                    assert!(attempts.len() <= 2, "more than two copies");
                    if attempts.len() == 1 {
                        let actions = self.entry.handle(DispatchEvent::AcceptsCopy(call));
                        self.execute(actions);
                    }
                }
                DispatchAction::Reject { .. } => self.rejected += 1,
                _ => {}
            }
        }
    }

    /// Ends the call whose answer comes first.
    fn answer(&mut self, call: CallId) {
        let Some((started_at, attempts)) = self.running.remove(&call) else { return };
        self.latencies.push(self.entry.now - started_at);
        let mut attempts = attempts;
        attempts.sort_by_key(|attempt| attempt.end);
        for (place, attempt) in attempts.into_iter().enumerate() {
            let result = if place == 0 { AttemptResult::Complete } else { AttemptResult::Superseded };
            let actions = end(&mut self.entry, call, &attempt, result);
            self.execute(actions);
        }
    }

    /// Plays calls that arrive every 20 ms.
    fn run(&mut self, time: Duration) {
        let end = self.entry.now + time;
        let mut next_call = self.entry.now;
        loop {
            let first_end = self
                .running
                .iter()
                .filter_map(|(call, (_, attempts))| attempts.iter().map(|attempt| (attempt.end, *call)).min());
            let first_end = first_end.min();
            let wake = self.entry.balancer.next_wake();
            let times = [Some(next_call), first_end.map(|(at, _)| at), wake];
            let Some(at) = times.into_iter().flatten().min().filter(|at| *at < end) else { break };
            self.entry.now = self.entry.now.max(at);
            if let Some((ended, call)) = first_end
                && ended <= at
            {
                self.answer(call);
            } else if next_call <= at {
                next_call += 20 * MS;
                let call = self.entry.call();
                let actions = self.entry.handle(DispatchEvent::Arrive(call));
                self.execute(actions);
            } else {
                let actions = self.entry.handle(DispatchEvent::Tick);
                self.execute(actions);
            }
        }
        self.entry.now = end;
    }

    fn quantile(&self, quantile: f64) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() as f64 * quantile) as usize]
    }
}

/// Ends an attempt at its server.
fn end(entry: &mut TestEntry, call: CallId, attempt: &Running, result: AttemptResult) -> Vec<DispatchAction> {
    let latency = entry.now.saturating_duration_since(attempt.sent_at);
    let report = entry.reports.get(&attempt.server).copied().filter(|_| result == AttemptResult::Complete);
    let finish =
        FinishedAttempt { call, server: attempt.server.clone(), result, latency, report, wants_decision: false };
    entry.handle(DispatchEvent::AttemptFinished(finish))
}

/// Makes the usual time of the calls known.
fn learn(entry: &mut TestEntry) {
    for _ in 0..200 {
        let (call, server) = entry.send_lookup();
        let attempt = Running { server, sent_at: entry.now, end: entry.now };
        entry.now += 80 * MS;
        end(entry, call, &attempt, AttemptResult::Complete);
    }
}

/// Returns the number of calls that the entry sends at the same time.
fn capacity(entry: &mut TestEntry) -> usize {
    entry.now += 100 * MS;
    let is_sent = |_: &usize| {
        let call = entry.call();
        let id = call.id;
        sent(&entry.arrive(call), id).is_some()
    };
    (0..8).take_while(is_sent).count()
}

/// Returns a call that is slow, and its two attempts.
fn slow_call(entry: &mut TestEntry) -> (CallId, Running, Running) {
    learn(entry);
    let call = entry.call();
    let (id, first, copy) = start_slow(entry, call);
    (id, first, copy.expect("a copy"))
}

/// Sends a call and waits until a copy is due; returns both attempts.
fn start_slow(entry: &mut TestEntry, call: Call) -> (CallId, Running, Option<Running>) {
    let (id, server) = entry.send_call(call);
    let first = Running { server, sent_at: entry.now, end: entry.now };
    entry.handle(DispatchEvent::AcceptsCopy(id));
    let copy = entry.advance(400 * MS).into_iter().find_map(|action| match action {
        DispatchAction::Hedge { call, server, .. } if call == id => Some(server),
        _ => None,
    });
    let now = entry.now;
    (id, first, copy.map(|server| Running { server, sent_at: now, end: now }))
}

/// Guards against copies that do not cut slow answers, exceed their share, or keep the slots of cancelled attempts.
#[test]
fn copies_cut_slow_answers_within_their_share() {
    let mut without = Play::new(0.0);
    let mut with = Play::new(SHARE);
    for play in [&mut without, &mut with] {
        play.run(Duration::from_secs(60));
    }
    let counts = with.entry.balancer.hedge_counts().clone();
    println!("p99 {:?} without, {:?} with; {counts:?}", without.quantile(0.99), with.quantile(0.99));
    assert_eq!(without.entry.balancer.hedge_counts().sent, 0);
    assert!(without.quantile(0.99) > 900 * MS);
    assert!(with.quantile(0.99) < 500 * MS, "{:?}", with.quantile(0.99));
    assert!(counts.won > 0 && counts.sent as f64 <= SHARE * 3_000.0, "{counts:?}");
    assert_eq!(with.rejected, 0);
    assert!(with.entry.balancer.active() < 12, "{} calls are left", with.entry.balancer.active());
}

/// Guards against copies that add load when all servers are slow.
#[test]
fn copies_stop_when_all_servers_are_slow() {
    let mut play = Play::new(SHARE);
    play.run(Duration::from_secs(30));
    let before = play.entry.balancer.hedge_counts().sent;
    assert!(before > 0);
    play.usual = 600 * MS;
    for (server, _) in SIX {
        play.entry.reports.insert(server.into(), load(2, 100));
    }
    play.run(Duration::from_secs(5));
    let turning = play.entry.balancer.hedge_counts().sent;
    play.run(Duration::from_secs(20));
    let counts = play.entry.balancer.hedge_counts();
    assert!(counts.sent - turning <= 10, "{} copies of 1,000 calls; {counts:?}", counts.sent - turning);
}

/// Guards against a crash of one server that ends a call whose other copy is answered, and against slots that are lost.
#[test]
fn a_call_goes_on_when_one_of_its_copies_fails() {
    for fails_first in [true, false] {
        let mut entry = entry(&SIX[..2], SHARE);
        let (call, first, copy) = slow_call(&mut entry);
        assert_ne!(first.server, copy.server);
        let (failing, other) = if fails_first { (&first, &copy) } else { (&copy, &first) };
        let actions = end(&mut entry, call, failing, AttemptResult::BrokenAfterWrite);
        assert!(sent(&actions, call).is_none(), "a third copy");
        assert_eq!(entry.balancer.active(), 1);
        end(&mut entry, call, other, AttemptResult::Complete);
        assert_eq!(entry.balancer.active(), 0);
        assert_eq!(entry.balancer.hedge_counts().won, u64::from(fails_first));
    }
}

/// Guards against state that is left when both copies are answered, both are given up, or the call is cancelled.
#[test]
fn both_copies_end_in_any_way() {
    use AttemptResult::{CallerLeft, Complete, Superseded, Timeout};
    let mut unused = entry(&SIX[..2], SHARE);
    learn(&mut unused);
    let slots = capacity(&mut unused);
    assert!(slots > 1);
    for results in [[Complete, Complete], [Complete, Superseded], [CallerLeft, Superseded], [Timeout, Superseded]] {
        let mut entry = entry(&SIX[..2], SHARE);
        let (call, first, copy) = slow_call(&mut entry);
        end(&mut entry, call, &first, results[0]);
        end(&mut entry, call, &copy, results[1]);
        assert_eq!(entry.balancer.active(), 0, "{results:?}");
        // A timeout ejects its server for a time.
        if results[0] != Timeout {
            assert_eq!(capacity(&mut entry), slots, "{results:?}");
        }
    }
    let mut entry = entry(&SIX[..2], SHARE);
    let (call, ..) = slow_call(&mut entry);
    entry.handle(DispatchEvent::Cancel(call));
    assert_eq!(entry.balancer.active(), 0);
}

/// Guards against a worker that waits for ever because the failure of its first attempt crosses the start of a copy.
#[test]
fn a_failure_that_crosses_the_start_of_a_copy_is_decided() {
    let mut entry = entry(&SIX[..3], SHARE);
    let (call, first, _) = slow_call(&mut entry);
    let actions = entry.finish(call, &first.server, AttemptResult::BrokenAfterWrite);
    assert!(sent(&actions, call).is_some(), "the next attempt: {actions:?}");
}

/// Guards against copies of calls that must not run twice, and against copies where the worker cannot run one.
#[test]
fn only_calls_that_may_be_repeated_get_copies() {
    let mut entry = entry(&SIX, SHARE);
    let (call, first, copy) = slow_call(&mut entry);
    end(&mut entry, call, &first, AttemptResult::Complete);
    end(&mut entry, call, &copy, AttemptResult::Superseded);
    let sent_before = entry.balancer.hedge_counts().sent;
    let (order, upload, relayed) = (entry.order(), entry.upload(), Call { relayed: true, ..entry.call() });
    for call in [order, upload, relayed] {
        let (id, first, copy) = start_slow(&mut entry, call);
        assert!(copy.is_none());
        end(&mut entry, id, &first, AttemptResult::Complete);
    }
    let (call, _) = entry.send_lookup();
    entry.advance(400 * MS);
    entry.handle(DispatchEvent::Cancel(call));
    assert_eq!(entry.balancer.hedge_counts().sent, sent_before);
}
