//! Days with bursts of traffic, in which servers are lost.

use {
    super::fleet::{CallEnd, Ending, Fleet, FleetOptions, Workload},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Weights of the two worst spans, of the day, of the share that is answered, and of the worst service.
const WEIGHTS: [f64; 4] = [0.4, 0.28, 0.2, 0.12];
const LATE_WORTH: f64 = 0.1;
const SPAN: Duration = Duration::from_secs(2);
const QUIET: Duration = Duration::from_secs(8);
const BURST: Duration = Duration::from_secs(4);
/// Time after which a server that crashed is no longer announced.
const LEASE: Duration = Duration::from_secs(3);

/// What befalls a third of the servers of each service during a burst.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Nothing,
    Crash,
    Slow,
    Leave,
    /// Two thirds of the servers are cold.
    Cold,
}

/// Situations of a day: the factor on the traffic and what befalls the servers.
const DAY: [(f64, Loss); 7] = [
    (1.4, Loss::Nothing),
    (1.8, Loss::Nothing),
    (1.4, Loss::Leave),
    (1.6, Loss::Slow),
    (1.6, Loss::Crash),
    (1.4, Loss::Cold),
    (2.24, Loss::Nothing),
];

/// Sums over the calls of a situation or a span.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    calls: f64,
    in_time: f64,
    late: f64,
    refused: f64,
    failed: f64,
    charged: f64,
}

impl Sum {
    fn add(&mut self, ending: Ending) {
        let counter = match ending {
            Ending::InTime => &mut self.in_time,
            Ending::Late => &mut self.late,
            Ending::Refused => &mut self.refused,
            Ending::Failed => &mut self.failed,
            Ending::Held(charge) => return self.charged += charge,
        };
        *counter += 1.0;
        self.calls += 1.0;
    }

    fn worth(&self) -> f64 {
        (self.in_time + LATE_WORTH * self.late - self.charged) / self.calls.max(1.0)
    }

    fn answered(&self) -> f64 {
        (self.in_time + self.late) / self.calls.max(1.0)
    }

    fn print(&self, name: &str) {
        let part = |count: f64| count / self.calls.max(1.0);
        let parts = [self.in_time, self.late, self.refused, self.failed, self.charged].map(part);
        let [in_time, late, refused, failed, charged] = parts;
        let (calls, worth) = (self.calls, self.worth());
        println!("{name},{calls},{in_time:.4},{late:.4},{refused:.4},{failed:.4},{charged:.4},{worth:.4}");
    }
}

/// Plays days at both sites until each has had this many seconds of traffic.
pub(super) fn compare(seed: u64, seconds: u64) {
    println!("situation,calls,in_time,late,refused,failed,charged,worth");
    let sites = [false, true].map(|is_large| std::thread::spawn(move || play(is_large, seed, seconds)));
    for (name, site) in ["brno", "buenos-aires"].into_iter().zip(sites) {
        let Ok((situations, scores, days)) = site.join() else { panic!("the simulation of {name} failed") };
        for (situation, sum) in situations {
            sum.print(&format!("{name}-{situation}"));
        }
        let [worst, day, answered, service] = scores.map(|score| score / days);
        let total: f64 = WEIGHTS.iter().zip([worst, day, answered, service]).map(|(weight, part)| weight * part).sum();
        println!(
            "{name}: score {total:.4}, worst spans {worst:.4}, day {day:.4}, answered {answered:.4}, \
             worst service {service:.4} (seeds from {seed}, {days} days)"
        );
    }
}

type Played = (BTreeMap<String, Sum>, [f64; 4], f64);

fn play(is_large: bool, seed: u64, seconds: u64) -> Played {
    let (mut situations, mut scores, mut days) = (BTreeMap::new(), [0.0; 4], 0.0);
    let mut played = Duration::ZERO;
    while played.as_secs() < seconds {
        let base = FleetOptions { seed: seed + days as u64, callers_return: true, ..FleetOptions::default() };
        let options = match is_large {
            false => base,
            true => {
                FleetOptions { entries: 6, workloads: Workload::buenos_aires(1.0), probe_time: (0.005, 0.007), ..base }
            }
        };
        let mut fleet = Fleet::new(options);
        fleet.run_for(QUIET);
        let begin = fleet.now;
        fleet.ends.clear();
        let mut bursts = Vec::new();
        for (load, loss) in DAY {
            fleet.run_for(QUIET);
            bursts.push((fleet.now, format!("{load}-{loss:?}").to_lowercase()));
            burst(&mut fleet, load, loss);
        }
        fleet.run_for(QUIET);
        played += fleet.now - begin;
        let ends: Vec<_> = fleet.ends.iter().filter(|end| end.first >= begin).copied().collect();
        for end in &ends {
            let name = bursts.iter().find(|(at, _)| (*at..*at + BURST).contains(&end.first));
            let name = name.map_or("usual".into(), |(_, name)| name.clone());
            situations.entry(name).or_insert_with(Sum::default).add(end.ending);
        }
        for (total, score) in scores.iter_mut().zip(score(begin, &ends)) {
            *total += score;
        }
        days += 1.0;
    }
    (situations, scores, days)
}

/// Lets a burst pass in which a third of the servers is lost in some way, in all data centres alike.
fn burst(fleet: &mut Fleet, load: f64, loss: Loss) {
    let part = |rest: usize| (0..fleet.servers.len()).filter(move |server| server / 3 % 3 == rest);
    let (first, second): (Vec<_>, Vec<_>) = (part(0).collect(), part(1).collect());
    fleet.load = load;
    match loss {
        Loss::Nothing => fleet.run_for(BURST),
        Loss::Crash => {
            first.iter().for_each(|server| fleet.crash(*server));
            fleet.run_for(LEASE);
            first.iter().for_each(|server| fleet.leave(*server));
            fleet.run_for(BURST - LEASE);
            first.iter().for_each(|server| fleet.come_up(*server));
        }
        Loss::Slow => {
            first.iter().for_each(|server| fleet.slow_down(*server, 3.0));
            fleet.run_for(BURST);
            first.iter().for_each(|server| fleet.slow_down(*server, 1.0));
        }
        Loss::Leave => {
            for servers in [first, second] {
                servers.iter().for_each(|server| fleet.leave(*server));
                fleet.run_for(BURST / 2);
                servers.iter().for_each(|server| fleet.come_up(*server));
            }
        }
        Loss::Cold => {
            first.iter().chain(&second).for_each(|server| fleet.come_up(*server));
            fleet.run_for(BURST);
        }
    }
    fleet.load = 1.0;
}

fn score(begin: Instant, ends: &[CallEnd]) -> [f64; 4] {
    let mut spans: BTreeMap<u128, Sum> = BTreeMap::new();
    let mut services: BTreeMap<usize, Sum> = BTreeMap::new();
    let mut day = Sum::default();
    for end in ends {
        spans.entry((end.first - begin).as_millis() / SPAN.as_millis()).or_default().add(end.ending);
        services.entry(end.workload).or_default().add(end.ending);
        day.add(end.ending);
    }
    let mut spans: Vec<_> = spans.values().map(Sum::worth).collect();
    spans.sort_unstable_by(f64::total_cmp);
    let worst = (spans[0] + spans[1]) / 2.0;
    let service = services.values().map(Sum::worth).fold(1.0, f64::min);
    [worst, day.worth(), day.answered(), service]
}
