//! A platform with its own header names and rules, whose services are selected by routes.

use {
    super::{Caller, Message, Script, Server, serve},
    hemlockford_core::{
        config::{Configuration, Route, RouteKind, RouteTarget},
        dispatch::CallOptions,
    },
    hemlockford_proxy::{Dialect, HeaderName, LoadFormat, ProxyOptions, RequestIdEcho, ServiceSelection},
    std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration},
};

pub const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// An idempotent request. `ORDER` is a non-idempotent one.
pub const LOOK_UP: &str = "GET /look-up/a HTTP/1.1\r\nhost: shop.example\r\nx-id: 7\r\n\r\n";
pub const ORDER: &str = "POST /order/a HTTP/1.1\r\nhost: shop.example\r\nx-id: 8\r\ncontent-length: 2\r\n\r\nhi";

pub fn dialect() -> Dialect {
    Dialect {
        selection: ServiceSelection::Routes,
        deadline_header: HeaderName::from_static("x-left"),
        credential_header: Some(HeaderName::from_static("x-key")),
        customer_header: Some(HeaderName::from_static("x-customer")),
        request_id_header: Some(HeaderName::from_static("x-id")),
        request_id_echo: RequestIdEcho::Required,
        expected_server_header: Some(HeaderName::from_static("x-for")),
        load_header: HeaderName::from_static("x-load"),
        load_format: LoadFormat::List,
        not_run_header: HeaderName::from_static("x-not-run"),
        not_run_value: None,
        leaving_header: HeaderName::from_static("x-leaving"),
        limit_header: Some(HeaderName::from_static("x-limit")),
        warm_up_header: Some(HeaderName::from_static("x-cold")),
        fractional_retry_after: true,
        product_headers: false,
        states_outcome: false,
        keep_alive_reuse: true,
        close_delimited: true,
        keeps_server_errors: true,
    }
}

pub fn route(prefix: &str, kind: RouteKind, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| RouteTarget { service: (*service).into(), weight: *weight };
    Route {
        name: prefix.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind,
        timeout: Duration::from_secs(2),
        options: CallOptions::default(),
        targets: targets.iter().map(target).collect(),
        is_anonymous: false,
        is_split: targets.len() > 1,
    }
}

pub fn config() -> Configuration {
    let routes = vec![
        route("/look-up/", RouteKind::Idempotent, &[("catalogue", 1)]),
        route("/order/", RouteKind::Once, &[("booking", 1)]),
        route("/upload/", RouteKind::Upload, &[("intake", 1)]),
    ];
    Configuration { number: 1, routes, ..Configuration::default() }
}

/// Script of a worker of the platform whose calls are sent to the servers one after the other.
pub fn script(servers: &[SocketAddr]) -> Script {
    let options = ProxyOptions { reuse_delay: Duration::ZERO, ..ProxyOptions::fleet(dialect(), 1) };
    Script { servers: servers.to_vec(), options, config: config(), ..Script::to(servers[0]) }
}

/// Returns a response with an additional header field.
pub fn with(response: &str, field: &str) -> String {
    response.replacen("\r\n", &format!("\r\n{field}\r\n"), 1)
}

/// Returns a response that echoes the id of a request.
pub fn echo(response: &str, request: &Message) -> String {
    with(response, &format!("x-id: {}", request.header("x-id").unwrap_or("missing")))
}

/// Starts a server that sends the same response, with the request id echoed, to every request, and records the
/// requests.
pub async fn echoing_server(response: &'static str) -> (Server, Rc<RefCell<Vec<String>>>) {
    let seen = Rc::new(RefCell::new(Vec::new()));
    let requests = seen.clone();
    let server = serve(move |mut io: Caller, _| {
        let requests = requests.clone();
        async move {
            while let Some(request) = io.message(false).await {
                requests.borrow_mut().push(format!("{}{}", request.head, String::from_utf8_lossy(&request.body)));
                io.send(&echo(response, &request)).await;
            }
        }
    });
    (server.await, seen)
}
