//! Days with bursts of traffic during which servers are lost.

use {
    super::fleet::{CallResult, Fleet, FleetOptions, ResultKind, Workload},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Weights of the score's parts: the two worst spans, the whole day, the share of answered calls, and the
/// worst service.
const SCORE_WEIGHTS: [f64; 4] = [0.4, 0.28, 0.2, 0.12];
const LATE_VALUE: f64 = 0.1;
const SPAN_LENGTH: Duration = Duration::from_secs(2);
const QUIET_TIME: Duration = Duration::from_secs(8);
const BURST_LENGTH: Duration = Duration::from_secs(4);
/// Time after which a crashed server is no longer announced.
const LEASE_DURATION: Duration = Duration::from_secs(3);

/// What happens to a third of the servers of each service during a burst.
#[derive(Clone, Copy, Debug)]
enum Disruption {
    Nothing,
    Crash,
    Slow,
    Leave,
    /// Two thirds of the servers are cold.
    Cold,
}

/// Situations of a day: the factor on the traffic and what happens to the servers.
const SITUATIONS: [(f64, Disruption); 7] = [
    (1.4, Disruption::Nothing),
    (1.8, Disruption::Nothing),
    (1.4, Disruption::Leave),
    (1.6, Disruption::Slow),
    (1.6, Disruption::Crash),
    (1.4, Disruption::Cold),
    (2.24, Disruption::Nothing),
];

/// Totals of the calls of a situation or a span.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    calls: f64,
    in_time: f64,
    late: f64,
    rejected: f64,
    failed: f64,
    hold_cost: f64,
}

impl Sum {
    fn add(&mut self, kind: ResultKind) {
        let counter = match kind {
            ResultKind::InTime => &mut self.in_time,
            ResultKind::Late => &mut self.late,
            ResultKind::Rejected => &mut self.rejected,
            ResultKind::Failed => &mut self.failed,
            ResultKind::HoldCost(cost) => return self.hold_cost += cost,
        };
        *counter += 1.0;
        self.calls += 1.0;
    }

    fn mean_value(&self) -> f64 {
        (self.in_time + LATE_VALUE * self.late - self.hold_cost) / self.calls.max(1.0)
    }

    fn answered(&self) -> f64 {
        (self.in_time + self.late) / self.calls.max(1.0)
    }

    fn print(&self, name: &str) {
        let part = |count: f64| count / self.calls.max(1.0);
        let parts = [self.in_time, self.late, self.rejected, self.failed, self.hold_cost].map(part);
        let [in_time, late, refused, failed, charged] = parts;
        let (calls, worth) = (self.calls, self.mean_value());
        println!("{name},{calls},{in_time:.4},{late:.4},{refused:.4},{failed:.4},{charged:.4},{worth:.4}");
    }
}

/// Simulates days at both sites until each has had this many seconds of traffic.
pub(super) fn compare(seed: u64, seconds: u64) {
    println!("situation,calls,in_time,late,refused,failed,charged,worth");
    let sites = [false, true].map(|is_large| std::thread::spawn(move || run_site(is_large, seed, seconds)));
    for (name, site) in ["brno", "buenos-aires"].into_iter().zip(sites) {
        let Ok((situations, scores, days)) = site.join() else { panic!("the simulation of {name} failed") };
        for (situation, sum) in situations {
            sum.print(&format!("{name}-{situation}"));
        }
        let [worst, day, answered, service] = scores.map(|score| score / days);
        let total: f64 =
            SCORE_WEIGHTS.iter().zip([worst, day, answered, service]).map(|(weight, part)| weight * part).sum();
        println!(
            "{name}: score {total:.4}, worst spans {worst:.4}, day {day:.4}, answered {answered:.4}, \
             worst service {service:.4} (seeds from {seed}, {days} days)"
        );
    }
}

type SiteResult = (BTreeMap<String, Sum>, [f64; 4], f64);

fn run_site(is_large: bool, seed: u64, seconds: u64) -> SiteResult {
    let (mut situations, mut scores, mut days) = (BTreeMap::new(), [0.0; 4], 0.0);
    let mut elapsed = Duration::ZERO;
    while elapsed.as_secs() < seconds {
        let base = FleetOptions { seed: seed + days as u64, callers_retry: true, ..FleetOptions::default() };
        let options = match is_large {
            false => base,
            true => FleetOptions {
                entries: 6,
                workloads: Workload::buenos_aires(1.0),
                probe_time_range: (0.005, 0.007),
                ..base
            },
        };
        let mut fleet = Fleet::new(options);
        fleet.run_for(QUIET_TIME);
        let begin = fleet.now;
        fleet.results.clear();
        let mut bursts = Vec::new();
        for (load, disruption) in SITUATIONS {
            fleet.run_for(QUIET_TIME);
            bursts.push((fleet.now, format!("{load}-{disruption:?}").to_lowercase()));
            run_burst(&mut fleet, load, disruption);
        }
        fleet.run_for(QUIET_TIME);
        elapsed += fleet.now - begin;
        let results: Vec<_> = fleet.results.iter().filter(|result| result.first_attempt_at >= begin).copied().collect();
        for result in &results {
            let name = bursts.iter().find(|(at, _)| (*at..*at + BURST_LENGTH).contains(&result.first_attempt_at));
            let name = name.map_or("usual".into(), |(_, name)| name.clone());
            situations.entry(name).or_insert_with(Sum::default).add(result.kind);
        }
        for (total, score) in scores.iter_mut().zip(score(begin, &results)) {
            *total += score;
        }
        days += 1.0;
    }
    (situations, scores, days)
}

/// Simulates a burst during which a third of the servers, in all data centres alike, is disrupted.
fn run_burst(fleet: &mut Fleet, load: f64, disruption: Disruption) {
    let part = |rest: usize| (0..fleet.servers.len()).filter(move |server| server / 3 % 3 == rest);
    let (first, second): (Vec<_>, Vec<_>) = (part(0).collect(), part(1).collect());
    fleet.load = load;
    match disruption {
        Disruption::Nothing => fleet.run_for(BURST_LENGTH),
        Disruption::Crash => {
            first.iter().for_each(|server| fleet.crash(*server));
            fleet.run_for(LEASE_DURATION);
            first.iter().for_each(|server| fleet.drain(*server));
            fleet.run_for(BURST_LENGTH - LEASE_DURATION);
            first.iter().for_each(|server| fleet.start_up(*server));
        }
        Disruption::Slow => {
            first.iter().for_each(|server| fleet.set_slowness(*server, 3.0));
            fleet.run_for(BURST_LENGTH);
            first.iter().for_each(|server| fleet.set_slowness(*server, 1.0));
        }
        Disruption::Leave => {
            for servers in [first, second] {
                servers.iter().for_each(|server| fleet.drain(*server));
                fleet.run_for(BURST_LENGTH / 2);
                servers.iter().for_each(|server| fleet.start_up(*server));
            }
        }
        Disruption::Cold => {
            first.iter().chain(&second).for_each(|server| fleet.start_up(*server));
            fleet.run_for(BURST_LENGTH);
        }
    }
    fleet.load = 1.0;
}

fn score(begin: Instant, results: &[CallResult]) -> [f64; 4] {
    let mut spans: BTreeMap<u128, Sum> = BTreeMap::new();
    let mut services: BTreeMap<usize, Sum> = BTreeMap::new();
    let mut day = Sum::default();
    for result in results {
        spans
            .entry((result.first_attempt_at - begin).as_millis() / SPAN_LENGTH.as_millis())
            .or_default()
            .add(result.kind);
        services.entry(result.workload).or_default().add(result.kind);
        day.add(result.kind);
    }
    let mut spans: Vec<_> = spans.values().map(Sum::mean_value).collect();
    spans.sort_unstable_by(f64::total_cmp);
    let worst = (spans[0] + spans[1]) / 2.0;
    let service = services.values().map(Sum::mean_value).fold(1.0, f64::min);
    [worst, day.mean_value(), day.answered(), service]
}
