//! Values, defaults and errors of routes, limits and services in the configuration.

use {
    hemlockford_core::{
        config::{ConfigError, Configuration, Limits, MAX_CONFIG_BYTES, Route, RouteKind, RouteTarget},
        dispatch::CallOptions,
    },
    rand::{SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::time::Duration,
};

const ROUTES: usize = 10_000;

fn parse(sections: &str) -> Result<Configuration, Vec<ConfigError>> {
    Configuration::parse(&format!("[change]\nnumber = 1\n{sections}"))
}

fn target(service: &str, weight: u32) -> RouteTarget {
    RouteTarget { service: service.into(), weight }
}

/// Guards against values that are parsed into the wrong field, and against defaults that differ from the documentation.
#[test]
fn routes_are_parsed_with_defaults() {
    let config = parse(
        "[route all-1_a.b]\nhost = Fit.Example\nprefix = /\nkind = upload\ntimeout = 12300us\n\
         objective = 400ms\npriority = 3\nattempts = 5\nsplit = slow:90, fast_v1.2:10\n\
         [route few]\nhost = fit.example\nprefix = /slots/\nkind = once\nservice = fast_v1.2\n\
         [route both]\nhost = 10.0.0.1\nprefix = /a%20b/;c/\nkind = idempotent\nsplit = fast_v1.2:0, slow:4\n\
         [route long]\nhost = fit.example\nprefix = /long/\nkind = idempotent\nservice = batch\n\
         [service fast_v1.2]\ndeadline = 150ms\nhealth = /ok?deep=1\nconnections = 260\n\
         [service slow]\ndeadline = 3s\n[service batch]\ndeadline = 1h\n",
    )
    .unwrap();
    let expected = Route {
        name: "all-1_a.b".into(),
        host: "fit.example".into(),
        prefix: "/".into(),
        kind: RouteKind::Upload,
        timeout: Duration::from_secs_f64(0.0123),
        options: CallOptions { attempts: 5, priority: 3, objective: Duration::from_millis(400) },
        targets: vec![target("slow", 90), target("fast_v1.2", 10)],
        is_anonymous: false,
        is_split: true,
    };
    assert_eq!(config.routes[0], expected);
    let expected = Route {
        name: "few".into(),
        host: "fit.example".into(),
        prefix: "/slots/".into(),
        kind: RouteKind::Once,
        timeout: Duration::from_millis(150),
        options: CallOptions { attempts: 2, priority: 0, objective: Duration::from_millis(250) },
        targets: vec![target("fast_v1.2", 1)],
        is_anonymous: false,
        is_split: false,
    };
    assert_eq!(config.routes[1], expected);
    let timeouts: Vec<_> = config.routes[2..].iter().map(|route| route.timeout).collect();
    assert_eq!(timeouts, [Duration::from_secs(3), Duration::from_secs(600)]);
    let service = &config.services["fast_v1.2"];
    assert_eq!((&*service.health_path, service.max_connections), ("/ok?deep=1", 260));
    let service = &config.services["slow"];
    assert_eq!((&*service.health_path, service.max_connections), ("/probe", 250));
}

/// Guards against limits that are parsed into the wrong field, and against limits without their defaults.
#[test]
fn limits_are_parsed_with_defaults() {
    assert_eq!(parse("").unwrap().limits, Limits::default());
    let source = "[limits]\nheader-bytes = 8192\nbody-bytes = 0\nheader-timeout = 1500ms\nidle-timeout = 500us\n";
    let limits = Limits {
        header_bytes: 8192,
        body_bytes: 0,
        header_timeout: Duration::from_millis(1_500),
        idle_timeout: Duration::from_micros(500),
    };
    assert_eq!(parse(source).unwrap().limits, limits);
    let limits = Limits { idle_timeout: Duration::from_secs(9), ..Limits::default() };
    assert_eq!(parse("[limits]\nidle-timeout = 9s\n").unwrap().limits, limits);
}

/// Invalid sections. A line of the form `line @ message` causes an error whose message starts with `message`.
const INVALID_SECTIONS: [&str; 39] = [
    "[route] @ expected a name|host = a",
    "[route ..] @ expected a name",
    "[route a b] @ expected a name",
    "[route Upper] @ expected a name",
    "[service ..] @ expected a name",
    "[customer a.b] @ expected a name",
    "[limits of] @ unknown section",
    "[limits]|header-bytes = 0 @ expected a whole number",
    "[limits]|body-bytes = -1 @ expected a whole number",
    "[limits]|header-timeout = 0s @ expected a duration",
    "[limits]|idle-timeout = 60 @ expected a duration",
    "[limits]|idle = 60s @ unknown key",
    "[service h]|health = probe @ expected a path",
    "[service h]|health = /a b @ expected a path",
    "[service h]|health = @ expected a path",
    "[service h]|connections = 0 @ expected a whole number",
    "[service h]|connections = many @ expected a whole number",
    "[service d1]|depends = d2|deadline = 1500us @ 1500 us is not longer than the 2 ms|[service d2]|deadline = 2ms",
    "HOST|PREFIX|KIND|service = nowhere @ no service named 'nowhere'",
    "HOST|PREFIX|KIND|split = base:1, nowhere:2 @ no service named 'nowhere'",
    "HOST|PREFIX|KIND|split = base:1, base:2 @ service 'base' is named twice",
    "HOST|PREFIX|KIND|split = base:0, other:0 @ the weights of its services add up to nothing",
    "HOST|PREFIX|KIND|split = base, other @ expected services with whole weights",
    "HOST|PREFIX|KIND|split = base:-1 @ expected services with whole weights",
    "HOST|PREFIX|KIND|split = @ expected services with whole weights",
    "HOST|PREFIX|KIND|split = base:1 @ expected either a service or a split|SERVICE",
    "HOST|PREFIX|KIND|SERVICE|timeout = 0ms @ expected a duration above zero and of at most 10m",
    "HOST|PREFIX|KIND|SERVICE|timeout = 600000001us @ expected a duration above zero and of at most 10m",
    "HOST|PREFIX|KIND|SERVICE|timeout = 0.5s @ expected a duration above zero and of at most 10m",
    "HOST|PREFIX|KIND|SERVICE|objective = 0ms @ expected a duration",
    "HOST|PREFIX|KIND|SERVICE|priority = -1 @ expected a whole number",
    "HOST|PREFIX|KIND|SERVICE|attempts = 0 @ expected a whole number above 0",
    "HOST|PREFIX|KIND|SERVICE|colour = red @ unknown key",
    "HOST|PREFIX|kind = twice @ expected one of idempotent, download, once, upload|SERVICE",
    "HOST|prefix = slots/ @ expected a path that begins and ends with /|KIND|SERVICE",
    "HOST|prefix = /slots @ expected a path that begins and ends with /|KIND|SERVICE",
    "HOST|prefix = /slots?/ @ expected a path that begins and ends with /|KIND|SERVICE",
    "host = a.example:80 @ expected a host without a port|PREFIX|KIND|SERVICE",
    "host = @ expected a host without a port|PREFIX|KIND|SERVICE",
];

/// Guards against errors that are missed, reported at the wrong line or accompanied by false errors.
#[test]
fn errors_are_reported_at_their_lines() {
    for (index, sections) in INVALID_SECTIONS.iter().enumerate() {
        let (mut source, mut expected) = (vec!["[change]".to_string(), "number = 1".into()], Vec::new());
        let header = if sections.starts_with('[') { "" } else { "[route r]|" };
        let sections = format!("[service base]|[service other]|{header}{sections}");
        for line in sections.split('|') {
            let line = match line {
                "HOST" => "host = a.example",
                "PREFIX" => "prefix = /slots/",
                "KIND" => "kind = once",
                "SERVICE" => "service = base",
                line => line,
            };
            let (line, message) = line.split_once(" @ ").map_or((line, None), |(line, message)| (line, Some(message)));
            source.push(line.into());
            expected.extend(message.map(|message| (source.len(), message)));
        }
        let errors = Configuration::parse(&source.join("\n")).err().unwrap_or_default();
        let found: Vec<_> = errors.iter().map(|error| (error.line, &*error.message)).collect();
        let is_same = found.len() == expected.len()
            && found.iter().zip(&expected).all(|(a, b)| a.0 == b.0 && a.1.starts_with(b.1));
        assert!(is_same, "case {index}: expected {expected:?}, got {found:?} in {source:#?}");
    }
}

/// Guards against a route that is accepted without its required keys, and against reporting only the first missing key.
#[test]
fn missing_keys_are_reported_at_the_header() {
    let errors = parse("[route r]\n").unwrap_err();
    let found: Vec<_> = errors.iter().map(|error| (error.line, &*error.section, &*error.key)).collect();
    assert_eq!(
        found,
        [(3, "route r", "host"), (3, "route r", "kind"), (3, "route r", "prefix"), (3, "route r", "service")]
    );
    assert!(errors.iter().all(|error| error.message.starts_with("missing")), "{errors:?}");
}

/// Guards against two routes for the same requests, even if one has another error or its host is in upper case, and
/// against false errors for routes that share only the host or only the prefix.
#[test]
fn routes_with_equal_host_and_prefix_are_errors() {
    let mut sections = [
        "[service base]\n",
        "[route r1]\nhost = a.example\nprefix = /x/\nkind = once\nservice = base\n",
        "[route r2]\nkind = often\nservice = base\nprefix = /x/\nhost = A.Example\n",
        "[route r3]\nhost = a.example\nprefix = /x/y/\nkind = once\nservice = base\n",
        "[route r4]\nhost = b.example\nprefix = /x/\nkind = once\nservice = base\n",
        "[route r5]\nhost = a.example\nkind = once\nservice = base\nprefix = /X/\n",
    ];
    for seed in 0..50 {
        sections.shuffle(&mut SmallRng::seed_from_u64(seed));
        let source = sections.concat();
        let position = |section: &str| sections.iter().position(|s| s.contains(section)).unwrap();
        let [first, second] = if position("r1]") < position("r2]") { ["r1", "r2"] } else { ["r2", "r1"] };
        let header = source.lines().position(|line| line == format!("[route {second}]")).unwrap();
        let line = header + source.lines().skip(header).position(|line| line.starts_with("prefix")).unwrap() + 3;
        let message = format!("the same host and prefix as those of route '{first}'");
        let errors = parse(&source).unwrap_err();
        let found: Vec<_> = errors.iter().filter(|error| &*error.key == "prefix").collect();
        assert!(found.len() == 1 && errors.len() == 2, "seed {seed}: {errors:?}");
        assert_eq!((found[0].line, &*found[0].message), (line, &*message), "seed {seed}");
    }
}

/// Returns `count` routes. `form` selects whether they are distinct, match the same requests and have an invalid kind,
/// or have the same name.
fn routes(form: &str, count: usize) -> String {
    let route = |number: usize| {
        let (name, path, kind) = match form {
            "distinct" => (number, number, "once"),
            "equal" => (number, 0, "often"),
            _ => (0, number, "once"),
        };
        let (host, service) = (number % 100, number % 60);
        format!("[route r{name}]\nhost = h{host}.ex\nprefix = /p{path}/\nkind = {kind}\nservice = s{service}\n")
    };
    let services = (0..60).map(|number| format!("[service s{number}]\n"));
    services.chain((0..count).map(route)).collect()
}

/// Guards against a number of steps that grows quadratically: 8 times the routes would take up to 64 times the steps.
/// `examples/routes.rs` measures the time.
#[test]
fn steps_of_ten_thousand_routes_grow_linearly() {
    for (form, error_count) in [("distinct", 0), ("equal", 2 * ROUTES - 100), ("twice", 5 * (ROUTES - 1))] {
        let (small, large) = (routes(form, ROUTES / 8), routes(form, ROUTES));
        assert!(large.len() < MAX_CONFIG_BYTES);
        let counted = |source: &str| Configuration::parse_counted(&format!("[change]\nnumber = 1\n{source}"));
        let ((_, small), (config, large)) = (counted(&small), counted(&large));
        assert_eq!(config.err().map_or(0, |errors| errors.len()), error_count, "{form}");
        assert!(large >= 5 * ROUTES, "{form}: the lines are not counted: {large}");
        assert!(large <= 9 * small, "{form}: {small} steps for {} routes, {large} for {ROUTES}", ROUTES / 8);
    }
}
