//! Authentication of requests by the API keys of customers.

mod support;

use {
    hemlockford_core::{
        config::{ApiKey, Configuration, Customer},
        dispatch::AttemptResult,
    },
    hemlockford_proxy::ProxyOptions,
    std::sync::Arc,
    support::{
        Caller, Script, TestProxy,
        keys::{config_without, look_up, open, order, script},
        platform::{self, OK, echoing_server},
    },
    tokio::{net::TcpStream, sync::mpsc},
};

/// Guards against a key that reaches a server, and against a customer's name that the client chose.
#[actix_rt::test]
async fn the_server_receives_the_customer_and_not_the_key() {
    let (server, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(script(&[server.address]));
    let cases = [
        (look_up("x-key: k1\r\n"), Some("kovar")),
        (look_up("X-KEY: k2\r\nX-Customer: lunt\r\nx-customer: third\r\n"), Some("kovar")),
        (order("x-customer:\r\nx-key:  k3 \r\n"), Some("lunt")),
        (look_up("x-key: k1\r\nconnection: x-key, x-customer\r\n"), Some("kovar")),
        (open(""), None),
        (open("x-key: k4\r\n"), None),
        (open("x-customer: lunt\r\nX-Customer: kovar\r\n"), None),
        (open("x-customer: lunt\r\nx-key: k1\r\n"), Some("kovar")),
    ];
    for (request, customer) in cases {
        assert_eq!(proxy.call(&request).await.status, 200, "{request}");
        let got = seen.borrow_mut().pop().unwrap();
        let names: Vec<_> = got.lines().filter_map(|line| line.strip_prefix("x-customer: ")).collect();
        assert_eq!(names, customer.into_iter().collect::<Vec<_>>(), "{request}{got}");
        assert!(!got.to_ascii_lowercase().contains("x-key"), "{request}{got}");
        let call = proxy.log.borrow().calls.last().unwrap().clone();
        assert_eq!(&*call.customer, customer.unwrap_or("(anonymous)"));
        assert_eq!(call.options.priority, if customer == Some("lunt") { 3 << 16 } else { 0 });
    }
}

/// Guards against requests without a valid key that reach a server or the dispatcher, and against invalid input that
/// ends the connection or the process.
#[actix_rt::test]
async fn requests_without_one_valid_key_are_refused() {
    let (server, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(script(&[server.address]));
    let mut caller = proxy.caller().await;
    let long = format!("x-key: {}\r\n", "k".repeat(16 * 1_024));
    let cases = [
        "",
        "x-key: k4\r\n",
        "x-key: K1\r\n",
        "x-key:\r\n",
        "x-key: k1, k1\r\n",
        "x-key: k1 k2\r\n",
        "x-key: k1\r\nx-key: k1\r\n",
        "x-key: k1\r\nx-key: k4\r\n",
        "x-key:\r\nx-key: k1\r\n",
        "x-key: k\u{e9}1\r\n",
        "x-key: \u{1f511}\r\n",
        "x-customer: kovar\r\n",
        &long,
    ];
    for fields in cases {
        for request in [look_up(fields), order(fields)] {
            caller.send(&request).await;
            let got = caller.response().await;
            assert_eq!(got.status, 401, "{request}{}", got.head);
            assert!(got.header("www-authenticate").is_some() && got.header("connection").is_none(), "{}", got.head);
        }
        assert_eq!(proxy.call(&look_up(fields).replace("look-up", "none")).await.status, 404, "{fields}");
    }
    assert!(proxy.log.borrow().calls.is_empty() && seen.borrow().is_empty());
    assert_eq!(proxy.call(&look_up("x-key: k1\r\n").replace("look-up", "none")).await.status, 404);
    caller.send(&look_up("x-key: k1\r\n")).await;
    assert_eq!(caller.response().await.status, 200);
    let refused = proxy.registry.gather();
    let refused = refused.iter().find(|family| family.name() == "hemlockford_calls_total").unwrap();
    let labels = |metric: &prometheus::proto::Metric| format!("{:?}", metric.get_label());
    let refused = refused.get_metric().iter().find(|metric| labels(metric).contains("unknown-key")).unwrap();
    assert_eq!(refused.get_counter().get_value(), (cases.len() * 2) as f64);
}

/// Guards against bytes outside ASCII, line folding and other forms of a header line by which a parser may be misled.
#[actix_rt::test]
async fn malformed_header_lines_are_refused() {
    let (server, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(script(&[server.address]));
    let cases = [
        "x-key: k\u{0}1\r\n",
        "x-key : k1\r\n",
        "x-key: k4\r\n k1\r\n",
        "x-key: k1\r\nx-customer : lunt\r\n",
        "x-key: k1\r\nx-id: 7\r\n x-customer: lunt\r\n",
        "x-k\u{e9}y: k1\r\n",
    ];
    for fields in cases {
        let got = proxy.call(&look_up(fields)).await;
        assert!(matches!(got.status, 400 | 401), "{fields:?} {}", got.head);
    }
    for raw in [b"k\xff1".as_slice(), b"\x80", b"\xc3\x28"] {
        let mut request = look_up("x-key: ").into_bytes();
        let end = request.len() - 2;
        request.splice(end..end, raw.iter().chain(b"\r\n").copied());
        let mut caller = proxy.caller().await;
        tokio::io::AsyncWriteExt::write_all(&mut caller.io, &request).await.unwrap();
        assert_eq!(caller.response().await.status, 401);
    }
    assert!(seen.borrow().is_empty());
    assert_eq!(proxy.call(&look_up("x-key: k1\r\n")).await.status, 200);
}

/// Guards against a head limit that is passed by a long key.
#[actix_rt::test]
async fn a_key_above_the_limit_of_heads_is_refused() {
    let mut script = script(&[support::refused_address()]);
    script.config.limits.header_bytes = 16_384;
    let proxy = TestProxy::start(script);
    assert_eq!(proxy.call(&look_up(&format!("x-key: {}\r\n", "k".repeat(16_384)))).await.status, 431);
    assert_eq!(proxy.call(&look_up(&format!("x-key: {}\r\n", "k".repeat(16_000)))).await.status, 401);
}

/// Guards against a key of one request that counts for those behind it on the same connection.
#[actix_rt::test]
async fn each_pipelined_request_has_its_own_key() {
    let (server, seen) = echoing_server(OK).await;
    let proxy = TestProxy::start(script(&[server.address]));
    let mut caller = proxy.caller().await;
    let keys = [("k1", 200), ("k3", 200), ("k4", 401), ("k2", 200), ("", 401), ("k3", 200)];
    let requests = keys.map(|(key, _)| look_up(&format!("x-mark: {key}\r\nx-key: {key}\r\n")));
    caller.send(&requests.concat()).await;
    for (key, status) in keys {
        assert_eq!(caller.response().await.status, status, "{key}");
    }
    for got in seen.borrow().iter() {
        let value = |name: &str| got.lines().find_map(|line| line.strip_prefix(name).map(str::to_owned));
        let expected = if value("x-mark: ").as_deref() == Some("k3") { "lunt" } else { "kovar" };
        assert_eq!(value("x-customer: ").as_deref(), Some(expected), "{got}");
    }
    assert_eq!(seen.borrow().len(), 4);
}

/// Guards against a removed key that keep-alive connections continue to use, and against the removal of one key that
/// Guards against a call that waited and runs under a key that was removed meanwhile, and against a refusal or another
/// Guards against a relayed call without its key, with a name that the client chose, or served under a key that the other
/// entry does not hold, and against a wrong 401 because the other entry lags behind.
#[actix_rt::test]
async fn the_other_entry_authenticates_a_relayed_call() {
    let (server, seen) = echoing_server(OK).await;
    let other = TestProxy::start(script(&[server.address]));
    let entry = TestProxy::start(Script { relay_attempts: Some(2), ..script(&[other.relay_address]) });
    for fields in ["x-key: k1\r\n", "x-key: k1\r\nconnection: x-key\r\nx-customer: lunt\r\n"] {
        for request in [look_up(fields), order(fields)] {
            assert_eq!(entry.call(&request).await.status, 200, "{request}");
            let got = seen.borrow_mut().pop().unwrap();
            assert!(got.contains("x-customer: kovar") && !got.contains("x-key") && !got.contains("lunt"), "{got}");
        }
    }
    assert_eq!(entry.call(&open("x-customer: lunt\r\n")).await.status, 200);
    assert!(!seen.borrow_mut().pop().unwrap().contains("x-customer"));
    other.config.send_replace(Arc::new(config_without("k1")));
    let got = entry.call(&order("x-key: k1\r\n")).await;
    assert_eq!((got.status, entry.results().pop()), (503, Some(AttemptResult::Shed)), "{}", got.head);
    assert!(seen.borrow().is_empty() && other.log.borrow().calls.iter().all(|call| &*call.customer != "lunt"));
    // A direct request without the header of relayed calls is not served under a name that it states.
    let mut caller = Caller { io: TcpStream::connect(other.relay_address).await.unwrap(), buf: Vec::new() };
    caller.send(&look_up("hemlockford-relay: 2\r\nx-customer: kovar\r\n")).await;
    assert_eq!(caller.response().await.status, 401);
}

/// Guards against refusals that cannot be told apart by customer, and against a label for each of any number of customers.
#[actix_rt::test]
async fn refused_calls_are_counted_by_customer() {
    let mut script = Script { servers: Vec::new(), ..script(&[support::refused_address()]) };
    for number in 0..200 {
        let keys = Some([ApiKey::parse(&format!("key-{number}")).unwrap()].into());
        script.config.customers.insert(format!("c{number}").into(), Customer { keys, ..Customer::default() });
    }
    let proxy = TestProxy::start(script);
    let refusals = || {
        let families = proxy.registry.gather();
        let family = families.into_iter().find(|family| family.name() == "hemlockford_customer_refusals_total");
        family.map_or(Vec::new(), |mut family| family.take_metric())
    };
    for fields in ["x-key: k1\r\n", "x-key: k2\r\n", ""] {
        assert_eq!(proxy.call(&open(fields)).await.status, 503);
    }
    let labels = |metric: &prometheus::proto::Metric| {
        let labels: Vec<_> = metric.get_label().iter().map(|label| label.value().to_owned()).collect();
        (labels.join(" "), metric.get_counter().get_value())
    };
    let mut counted: Vec<_> = refusals().iter().map(labels).collect();
    counted.sort_by(|a, b| a.0.cmp(&b.0));
    assert_eq!(counted, [("(anonymous) no-server".into(), 1.0), ("kovar no-server".into(), 2.0)]);
    for number in 0..200 {
        assert_eq!(proxy.call(&look_up(&format!("x-key: key-{number}\r\n"))).await.status, 503);
    }
    let counted: Vec<_> = refusals().iter().map(labels).collect();
    assert_eq!(counted.len(), 129, "customers with a label of their own, and all others");
    assert!(counted.iter().any(|(labels, count)| labels == "(other) no-server" && *count == 74.0), "{counted:?}");
}

/// Guards against headers that are changed, and requests that are refused, although no customer has keys.
#[actix_rt::test]
async fn without_customers_with_keys_headers_pass_unchanged() {
    let (server, seen) = echoing_server(OK).await;
    let mut script = platform::script(&[server.address]);
    script.config.customers.insert("kovar".into(), Customer { weight: 3, ..Customer::default() });
    let proxy = TestProxy::start(script);
    for request in [look_up("x-key: k1\r\nx-key: k2\r\nx-customer: lunt\r\n"), order("x-customer: lunt\r\n")] {
        assert_eq!(proxy.call(&request).await.status, 200);
        let got = seen.borrow_mut().pop().unwrap();
        let fields = request.lines().filter(|line| line.starts_with("x-key") || line.starts_with("x-customer"));
        assert!(fields.into_iter().all(|field| got.contains(field)), "{got}");
        assert_eq!(&*proxy.log.borrow().calls.last().unwrap().customer, "default");
    }
}

/// Guards against requests that are served, or refused for good, before the keys are known.
#[actix_rt::test]
async fn requests_before_the_first_configuration_are_told_to_come_back() {
    let script = Script { config: Configuration::default(), ..platform::script(&[support::refused_address()]) };
    let proxy = TestProxy::start(script);
    for request in [look_up("x-key: k1\r\n"), look_up("")] {
        let got = proxy.call(&request).await;
        assert_eq!((got.status, got.header("retry-after")), (503, Some("0.25")), "{}", got.head);
    }
}

/// Guards against keys that are ignored on the product's own interface, and against claims of one customer that another
/// one can see there by stating its name.
#[actix_rt::test]
async fn keys_apply_to_the_product_interface_and_its_claims() {
    let (claims, mut requested) = mpsc::unbounded_channel();
    let (server, seen) = support::fixed_response_server(OK).await;
    let text = format!("{}\n[customer kovar]\nkeys = k1\n[customer lunt]\nkeys = k3\n", support::CONFIG);
    let config = Configuration::parse(&text).unwrap();
    let proxy = TestProxy::start(Script { config, claims: Some(claims), ..Script::to(server.address) });
    let get = |fields: &str| format!("GET /catalogue/a HTTP/1.1\r\nhost: x\r\n{fields}\r\n");
    assert_eq!(proxy.call(&get("hemlockford-customer: kovar\r\n")).await.status, 401);
    assert_eq!(proxy.call(&get("hemlockford-customer: lunt\r\nhemlockford-credential: k1\r\n")).await.status, 200);
    let got = seen.borrow_mut().pop().unwrap();
    assert!(got.contains("hemlockford-customer: kovar") && !got.contains("credential"), "{got}");
    for (key, customer) in [("k1", "kovar"), ("k3", "lunt")] {
        let fields = format!(
            "hemlockford-customer: kovar\r\nhemlockford-credential: {key}\r\nidempotency-key: 7\r\n\
             content-length: 0\r\n"
        );
        let mut caller = proxy.caller().await;
        caller.send(&format!("POST /booking/a HTTP/1.1\r\nhost: x\r\n{fields}\r\n")).await;
        let Some(hemlockford_proxy::ClaimMessage::Claim(claim, reply)) = requested.recv().await else { panic!() };
        assert_eq!(&*claim.customer, customer);
        drop(reply);
    }
}

/// Guards against customers that are taken for one another when the requests that crash servers are recognized.
#[actix_rt::test]
async fn the_customer_is_part_of_the_fingerprint() {
    let (_heads, suspect_heads) = tokio::sync::watch::channel(Default::default());
    let mut crashes = Vec::new();
    for key in ["k1", "k2", "k3"] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            let (mut io, _) = listener.accept().await.unwrap();
            let _ = tokio::io::AsyncReadExt::read(&mut io, &mut [0; 4_096]).await;
        });
        let script = script(&[address]);
        let options = ProxyOptions { suspect_heads: Some(suspect_heads.clone()), ..script.options };
        let proxy = TestProxy::start(Script { options, ..script });
        assert_eq!(proxy.call(&look_up(&format!("x-key: {key}\r\n"))).await.status, 502);
        crashes.push(proxy.log.borrow().crashes[0].head);
    }
    assert!(crashes[0] == crashes[1] && crashes[1] != crashes[2]);
}
