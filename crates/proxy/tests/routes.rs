//! Routes: which requests belong to which services, and with which options.

mod support;

use {
    hemlockford_core::{
        config::{Configuration, RouteKind},
        dispatch::CallOptions,
        outcome::NotRunReason,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    support::{
        Script, TestProxy, fixed_response_server,
        platform::{self, LOOK_UP, OK, echoing_server, route},
        refused_address,
    },
};

fn get(host: &str, path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: {host}\r\n\r\n")
}

/// Guards against selecting a route other than the one with the same host and the longest prefix.
#[actix_rt::test]
async fn host_and_longest_prefix_select_the_service() {
    let (server, _) = echoing_server(OK).await;
    let mut script = platform::script(&[server.address]);
    let other = hemlockford_core::config::Route {
        name: "other".into(),
        host: "other.example".into(),
        ..route("/", RouteKind::Idempotent, &[("elsewhere", 1)])
    };
    script.config.routes = vec![
        route("/", RouteKind::Idempotent, &[("root", 1)]),
        route("/a/", RouteKind::Idempotent, &[("a", 1)]),
        route("/a/b/", RouteKind::Idempotent, &[("ab", 1)]),
        other,
    ];
    let proxy = TestProxy::start(script);
    let cases = [
        ("shop.example", "/a/b/c", "ab"),
        ("shop.example", "/a/b", "a"),
        ("shop.example", "/a?/a/b/", "root"),
        ("shop.example", "/a/%62/c", "a"),
        ("SHOP.Example:8080", "/b/a/b/c", "root"),
        ("other.example", "/a/b/c", "elsewhere"),
        ("ignored.example", "http://shop.example:80/a/", "a"),
    ];
    for (host, path, service) in cases {
        assert_eq!(proxy.call(&get(host, path)).await.status, 200, "{host} {path}");
        assert_eq!(&*proxy.log.borrow().calls.last().unwrap().service, service, "{host} {path}");
    }
    let calls = proxy.log.borrow().calls.len();
    for (host, path) in [("unknown.example", "/a/"), ("shop.example", "*")] {
        assert_eq!(proxy.call(&get(host, path)).await.status, 404, "{host} {path}");
    }
    assert_eq!(proxy.log.borrow().calls.len(), calls);
}

/// Guards against a path whose look-up takes quadratic time, by which one caller could block an entry.
#[actix_rt::test]
async fn a_path_of_many_slashes_is_looked_up_at_once() {
    let table = hemlockford_core::config::RouteTable::new(&platform::config());
    let path = "/".repeat(60_000);
    let start = Instant::now();
    for _ in 0..1_000 {
        assert!(table.find("shop.example", &path).is_none());
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
}

/// Guards against repeating a request by its method where the route forbids it, and the reverse, and against options
/// that do not reach the dispatcher.
#[actix_rt::test]
async fn the_route_sets_kind_and_options() {
    let (server, _) = echoing_server(OK).await;
    let mut script = platform::script(&[server.address]);
    let terms = CallOptions { attempts: 3, priority: 2, objective: Duration::from_millis(400) };
    script.config.routes[0].options = terms;
    let proxy = TestProxy::start(script);
    let cases = [
        ("POST /look-up/a", true, false),
        ("GET /look-up/a", true, false),
        ("GET /order/a", false, false),
        ("PUT /order/a", false, false),
        ("PUT /upload/a", false, true),
    ];
    for (target, idempotent, upload) in cases {
        let request = format!("{target} HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 0\r\n\r\n");
        assert_eq!(proxy.call(&request).await.status, 200, "{target}");
        let call = proxy.log.borrow().calls.last().unwrap().clone();
        assert_eq!((call.idempotent, call.upload), (idempotent, upload), "{target}");
        assert!(call.replayable, "the body of {target} is available");
        assert_eq!(call.options, if idempotent { terms } else { CallOptions::default() }, "{target}");
    }
}

/// Guards against a caller that waits for longer than its own deadline or the timeout of its route.
#[actix_rt::test]
async fn the_smaller_of_timeout_and_deadline_header_applies() {
    let (server, seen) = echoing_server(OK).await;
    let mut script = platform::script(&[server.address]);
    script.config.routes[0].timeout = Duration::from_millis(700);
    let proxy = TestProxy::start(script);
    for (stated, limit) in [("", 700), ("x-left: 300\r\n", 300), ("x-left: 60000\r\n", 700)] {
        let start = Instant::now();
        let request = format!("GET /look-up/a HTTP/1.1\r\nhost: shop.example\r\n{stated}\r\n");
        assert_eq!(proxy.call(&request).await.status, 200);
        let limit = Duration::from_millis(limit);
        let left = proxy.log.borrow().calls.last().unwrap().deadline - start;
        assert!(left >= limit && left <= limit + start.elapsed(), "{stated} {left:?}");
        let seen = seen.borrow_mut().pop().unwrap();
        let passed = seen.lines().find_map(|line| line.strip_prefix("x-left: ")).unwrap().parse::<u64>().unwrap();
        assert!(u128::from(passed) <= limit.as_millis(), "{seen}");
        assert_eq!(seen.matches("x-left: ").count(), 1, "{seen}");
    }
    let got = proxy.call("GET /look-up/a HTTP/1.1\r\nhost: shop.example\r\nx-left: soon\r\n\r\n").await;
    assert_eq!(got.status, 400);
}

/// Guards against weights that only hold on average: every sequence of requests must be close to the weights.
#[actix_rt::test]
async fn small_samples_keep_the_weights() {
    for seed in 0..5 {
        keeps_the_weights(seed).await;
    }
}

async fn keeps_the_weights(seed: u64) {
    let mut script = platform::script(&[refused_address()]);
    script.servers.clear();
    script.options.seed = seed;
    let targets = [("a", 70), ("b", 20), ("c", 10), ("none", 0)];
    script.config.routes = vec![route("/", RouteKind::Idempotent, &targets)];
    let proxy = TestProxy::start(script);
    let mut caller = proxy.caller().await;
    for _ in 0..100 {
        caller.send(&get("shop.example", "/a")).await;
        assert_eq!(caller.response().await.status, 503);
    }
    let calls: Vec<String> = proxy.log.borrow().calls.iter().map(|call| call.service.to_string()).collect();
    for length in [10, 20, 50] {
        for stretch in calls.windows(length) {
            for (service, weight) in targets {
                let count = stretch.iter().filter(|call| **call == service).count() as f64;
                let share = f64::from(weight) / 100.0 * length as f64;
                assert!((count - share).abs() < 2.0, "seed {seed}, {service}: {count} of {length} in {stretch:?}");
            }
        }
    }
    assert!(!calls.iter().any(|call| call == "none"));
}

/// Guards against entries that all start with the service of the greatest weight. With few requests at each of many
/// entries, the other services would get none.
#[actix_rt::test]
async fn entries_start_at_different_positions_of_a_split() {
    let mut first = 0;
    for seed in 0..60 {
        let mut script = platform::script(&[refused_address()]);
        script.servers.clear();
        script.options.seed = seed;
        script.config.routes = vec![route("/", RouteKind::Idempotent, &[("a", 1), ("b", 1)])];
        let proxy = TestProxy::start(script);
        proxy.call(&get("shop.example", "/a")).await;
        first += usize::from(&*proxy.log.borrow().calls[0].service == "a");
    }
    // For a fair choice the probability of a value outside of these bounds is below 1 in 10^8. The seeds are fixed.
    assert!((8..=52).contains(&first), "{first} of 60");
}

/// Guards against a 404 from an entry without a configuration. The status would state that no such route is
/// configured.
#[actix_rt::test]
async fn without_a_configuration_no_service_is_unknown() {
    let (server, seen) = fixed_response_server(OK).await;
    for mut script in [platform::script(&[server.address]), Script::to(server.address)] {
        script.config = Configuration::default();
        let proxy = TestProxy::start(script);
        for path in ["/look-up/a", "/catalogue/a", "/", "*"] {
            let got = proxy.call(&get("shop.example", path)).await;
            assert_eq!(got.status, 503, "{path}");
            assert!(got.header("retry-after").is_some(), "{path}");
        }
        proxy.config.send(Arc::new(platform::config())).unwrap();
        let got = proxy.call(&get("shop.example", "/unknown")).await;
        assert_eq!((got.status, got.header("retry-after")), (404, None));
    }
    assert!(seen.borrow().is_empty());
}

/// Guards against applying the routes of a configuration that was replaced.
#[actix_rt::test]
async fn a_new_configuration_applies_from_the_next_request_on() {
    let (server, _) = echoing_server(OK).await;
    let proxy = TestProxy::start(platform::script(&[server.address]));
    let mut caller = proxy.caller().await;
    for (number, service) in [(2, "one"), (3, "two")] {
        let routes = vec![route("/look-up/", RouteKind::Idempotent, &[(service, 1)])];
        proxy.config.send(Arc::new(Configuration { number, routes, ..Configuration::default() })).unwrap();
        caller.send(LOOK_UP).await;
        assert_eq!(caller.response().await.status, 200);
        assert_eq!(&*proxy.log.borrow().calls.last().unwrap().service, service);
    }
}

/// Guards against a 404 for a service of the current configuration that has not reached the dispatcher yet.
#[actix_rt::test]
async fn a_dispatcher_with_an_old_configuration_makes_no_service_unknown() {
    let mut script = platform::script(&[refused_address()]);
    script.servers.clear();
    script.reason = NotRunReason::UnknownService;
    let got = TestProxy::start(script).call(LOOK_UP).await;
    assert_eq!((got.status, got.header("retry-after")), (503, Some("0.25")));
}
