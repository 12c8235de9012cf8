//! The configuration writer is the inverse of the parser.

use {
    hemlockford_core::{
        collections::FastMap,
        config::{
            ApiKey, BalancingPolicy, ClaimsConfig, Configuration, Customer, Limits, MAX_CONFIG_BYTES, MeasureConfig,
            Objective, Route, RouteKind, RouteTarget, Service, WarmUp,
        },
        dispatch::CallOptions,
        units::{Decimal, Share, format_duration, parse_duration},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::time::Duration,
};

const CONFIGURATIONS: u64 = 3_000;
/// Longest duration that the parser accepts.
const YEAR: Duration = Duration::from_secs(365 * 24 * 3_600);
const WORD: &[u8] = b"abcxyz059-_";
const DOTTED: &[u8] = b"abcxyz059-_.";
const PATH: &[u8] = b"abcXYZ059-._~!$&'()*+,;=:@%/";

/// Returns a random string of the given characters that ends with `number`.
fn word(characters: &[u8], number: usize, rng: &mut SmallRng) -> Box<str> {
    let length = rng.random_range(0..6);
    let random = (0..length).map(|_| char::from(characters[rng.random_range(0..characters.len())]));
    format!("{}{number}", random.collect::<String>()).into()
}

/// Returns a random duration above zero, of any order of magnitude up to `longest`.
fn duration(longest: Duration, rng: &mut SmallRng) -> Duration {
    let longest = longest.as_micros() as u64;
    let unit = [1, 1_000, 1_000_000, 60_000_000, 3_600_000_000][rng.random_range(0..5)];
    Duration::from_micros((rng.random_range(1..1_000) * unit).min(longest))
}

fn share(rng: &mut SmallRng) -> Share {
    Share::from_millionths(rng.random_range(0..=1_000_000))
}

fn service(customers: &[Box<str>], rng: &mut SmallRng) -> Service {
    let mut customer_weights: FastMap<_, _> =
        customers.iter().map(|name| (name.clone(), rng.random_range(0..9))).collect();
    customer_weights.retain(|_, _| rng.random_bool(0.5));
    if customer_weights.values().all(|share| *share == 0) {
        customer_weights.clear();
    }
    Service {
        dependencies: Vec::new(),
        deadline: duration(YEAR, rng),
        objective: Objective { share: share(rng), latency: duration(YEAR, rng) },
        policy: BalancingPolicy::ALL[rng.random_range(0..4)],
        retry_budget: share(rng),
        queue_limit: rng.random_range(1..usize::MAX),
        health_path: format!("/{}?a=1", word(PATH, 0, rng)).into(),
        max_connections: rng.random_range(1..=u32::MAX),
        warm_up: rng.random_bool(0.5).then(|| WarmUp { duration: duration(YEAR, rng), rate: decimal(rng) }),
        customer_weights,
    }
}

fn decimal(rng: &mut SmallRng) -> Decimal {
    let scale = [1e-6, 1e-3, 1.0, 1e6][rng.random_range(0..4)];
    Decimal::new(f64::from(rng.random_range(0..1_000)) * scale).unwrap()
}

fn customer(name: &str, rng: &mut SmallRng) -> Customer {
    let keys = (0..rng.random_range(0..4)).map(|number| ApiKey::parse(&format!("{name}.{number}+/=~")).unwrap());
    let keys = keys.collect();
    Customer {
        weight: rng.random_range(1..=u32::MAX),
        keys: rng.random_bool(0.5).then_some(keys),
        priority: rng.random_bool(0.5).then(|| rng.random()),
        rate: rng.random_bool(0.5).then(|| decimal(rng)),
        burst: rng.random_bool(0.5).then(|| decimal(rng)),
    }
}

fn route(number: usize, services: &[Box<str>], rng: &mut SmallRng) -> Route {
    let is_split = rng.random_bool(0.5);
    let count = if is_split { rng.random_range(1..=services.len()) } else { 1 };
    let first = rng.random_range(0..=services.len() - count);
    let mut targets: Vec<_> = services[first..first + count]
        .iter()
        .map(|service| RouteTarget { service: service.clone(), weight: rng.random_range(0..=u32::MAX) })
        .collect();
    targets[0].weight = if is_split { targets[0].weight.max(1) } else { 1 };
    Route {
        name: word(DOTTED, number, rng),
        host: word(DOTTED, 0, rng),
        prefix: format!("/{}/", word(PATH, number, rng)).into(),
        kind: RouteKind::ALL[rng.random_range(0..4)],
        timeout: duration(Duration::from_secs(600), rng),
        options: CallOptions {
            attempts: rng.random_range(1..=u32::MAX),
            priority: rng.random_range(0..=u32::MAX),
            objective: duration(Duration::from_secs(9_999), rng),
        },
        targets,
        is_anonymous: rng.random_bool(0.2),
        is_split,
    }
}

fn configuration(rng: &mut SmallRng) -> Configuration {
    let customers: Vec<_> = (0..rng.random_range(0..4)).map(|number| word(WORD, number, rng)).collect();
    let services: Vec<_> = (0..rng.random_range(1..6)).map(|number| word(DOTTED, number, rng)).collect();
    let mut config = Configuration { number: rng.random_range(1..=u64::MAX), ..Configuration::default() };
    for name in &customers {
        config.customers.insert(name.clone(), customer(name, rng));
    }
    for (number, name) in services.iter().enumerate() {
        let mut service = service(&customers, rng);
        if rng.random_bool(0.3) {
            service = Service::default();
        }
        // A service depends on earlier ones, whose deadlines are shorter.
        service.dependencies = services[..number].iter().filter(|_| rng.random_bool(0.5)).cloned().collect();
        let others = service.dependencies.iter().map(|other| config.services[other].deadline);
        let longest = others.max().unwrap_or_default();
        service.deadline = service.deadline.max(longest + Duration::from_micros(1));
        if service.deadline > YEAR {
            service.dependencies.clear();
            service.deadline = Duration::from_secs(1);
        }
        config.services.insert(name.clone(), service);
    }
    config.routes = (0..rng.random_range(0..5)).map(|number| route(number, &services, rng)).collect();
    if rng.random_bool(0.7) {
        config.limits = Limits {
            header_bytes: rng.random_range(1..=u64::MAX),
            body_bytes: rng.random(),
            header_timeout: duration(YEAR, rng),
            idle_timeout: duration(YEAR, rng),
        };
        config.measure =
            MeasureConfig { server_share: share(rng), entry_share: share(rng), bytes: rng.random_range(0..=u64::MAX) };
        config.claims = ClaimsConfig { retention: duration(YEAR, rng) };
    }
    config
}

/// Guards against a field that the writer omits or changes, and against output that depends on the order of a map.
#[test]
fn written_configurations_are_parsed_as_the_same() {
    println!("seeds 0 to {CONFIGURATIONS}");
    for seed in 0..CONFIGURATIONS {
        let config = configuration(&mut SmallRng::seed_from_u64(seed));
        let source = config.to_ini();
        let parsed =
            Configuration::parse(&source).unwrap_or_else(|errors| panic!("seed {seed}: {errors:#?} in\n{source}"));
        assert_eq!(parsed, config, "seed {seed} in\n{source}");
        assert_eq!(parsed.to_ini(), source, "seed {seed}");
    }
}

/// Guards against defaults that differ between the writer and the parser.
#[test]
fn defaults_are_preserved() {
    let sources = [
        "[change]\nnumber = 1\n",
        "[change]\nnumber = 1\n[customer a]\n[service b]\ndeadline = 1h\n[service c]\ndepends = b\ndeadline = 2h\n\
         [route r]\nhost = h\nprefix = /\nkind = once\nservice = b\n\
         [route s]\nhost = h\nprefix = /s/\nkind = once\nsplit = b:1\n[limits]\n[claims]\n[measure]\n",
    ];
    for source in sources {
        let config = Configuration::parse(source).unwrap();
        assert_eq!(Configuration::parse(&config.to_ini()), Ok(config), "{source}");
    }
}

/// Guards against a configuration with many routes that can be parsed but exceeds the permitted size when written.
#[test]
fn ten_thousand_routes_stay_within_the_permitted_size() {
    let mut config = Configuration { number: 1, ..Configuration::default() };
    config.services.insert("booking".into(), Service::default());
    let mut rng = SmallRng::seed_from_u64(1);
    for number in 0..10_000 {
        let mut route = route(number, &["booking".into()], &mut rng);
        route.name = format!("r{number}").into();
        route.host = "fit.example".into();
        route.prefix = format!("/p{number}/").into();
        route.timeout = Duration::from_secs(2);
        route.options = CallOptions { attempts: 2, priority: 0, objective: Duration::from_millis(250) };
        route.is_split = false;
        route.targets = vec![RouteTarget { service: "booking".into(), weight: 1 }];
        config.routes.push(route);
    }
    let source = config.to_ini();
    assert!(source.len() < MAX_CONFIG_BYTES, "{} bytes", source.len());
    assert!(Configuration::parse(&source) == Ok(config));
}

/// Guards against loss of precision by the choice of the unit, and against durations that cannot be represented on every
/// platform.
#[test]
fn durations_are_preserved_to_the_microsecond() {
    for (text, micros) in
        [("1us", 1), ("1500us", 1_500), ("12300us", 12_300), ("600 ms", 600_000), ("1h", 3_600_000_000)]
    {
        assert_eq!(parse_duration(text), Some(Duration::from_micros(micros)), "{text}");
    }
    for text in ["0.6s", "1ns", "1 u s", "us", "31536000000001us", "99999999999999999999us"] {
        assert_eq!(parse_duration(text), None, "{text}");
    }
    for (seconds, text) in
        [(0.15, "150ms"), (0.0123, "12300us"), (0.6, "600ms"), (2.0, "2s"), (0.0, "0ms"), (1e-7, "1us")]
    {
        assert_eq!(format_duration(Duration::from_secs_f64(seconds)), text);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..100_000 {
        let duration = duration(YEAR, &mut rng);
        assert_eq!(parse_duration(&format_duration(duration)), Some(duration));
    }
}

/// Guards against a percentage that is rounded to a different share.
#[test]
fn shares_are_preserved_to_the_millionth() {
    for millionths in 0..=1_000_000 {
        let share = Share::from_millionths(millionths);
        assert_eq!(Share::parse(&share.to_string()), Some(share), "{share}");
    }
}
