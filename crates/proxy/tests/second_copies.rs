//! Servers that send a second copy of a response, late, on a connection that is in use again.

mod support;

use {
    hemlockford_core::dispatch::AttemptResult,
    std::{cell::Cell, rc::Rc, time::Duration},
    support::{Caller, Message, Script, Server, TestProxy, platform, serve, sleep_ms},
};

/// When the second copy of a response is sent.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// In the same write as the response.
    AtOnce,
    /// Half of it with the response, and the rest later.
    Split,
    /// While the connection is idle.
    Idle,
    /// When the next request has arrived, before its response.
    BeforeNext,
    /// When the next request has arrived, split around its response.
    AroundNext,
}

const MOMENTS: [Moment; 5] = [Moment::AtOnce, Moment::Split, Moment::Idle, Moment::BeforeNext, Moment::AroundNext];

/// Which interface the servers speak, and whether they repeat the request id.
#[derive(Clone, Copy, Debug)]
enum Interface {
    Platform,
    Product { echoes: bool },
}

impl Interface {
    fn id_header(self) -> &'static str {
        match self {
            Self::Platform => "x-id",
            Self::Product { .. } => "hemlockford-request-id",
        }
    }

    fn request(self, method: &str, path: &str) -> String {
        let body = if method == "POST" { "content-length: 2\r\n\r\nhi" } else { "\r\n" };
        match self {
            Self::Platform => {
                let route = if method == "POST" { "order" } else { "look-up" };
                format!("{method} /{route}/{path} HTTP/1.1\r\nhost: shop.example\r\nx-id: id-{path}\r\n{body}")
            }
            Self::Product { .. } => format!("{method} /catalogue/{path} HTTP/1.1\r\nhost: a\r\n{body}"),
        }
    }

    fn proxy(self, server: &Server) -> TestProxy {
        TestProxy::start(match self {
            Self::Platform => platform::script(&[server.address]),
            Self::Product { .. } => Script::to(server.address),
        })
    }

    /// Returns the response to a request, whose body is the path.
    fn response(self, request: &Message) -> String {
        let method = request.head.split(' ').next().unwrap_or_default();
        let path = request.head.split(' ').nth(1).unwrap_or_default();
        let id = request.header(self.id_header()).expect("the request has an id");
        let echo = match self {
            Self::Product { echoes: false } => String::new(),
            _ => format!("{}: {id}\r\n", self.id_header()),
        };
        let body = if method == "HEAD" { "" } else { path };
        format!("HTTP/1.1 200 OK\r\n{echo}content-length: {}\r\n\r\n{body}", path.len())
    }
}

/// Starts a server that sends a second copy of each response.
async fn copying_server(interface: Interface, moment: Moment) -> Server {
    serve(move |mut io: Caller, _| async move {
        let mut copy = String::new();
        while let Some(request) = io.message(false).await {
            let response = interface.response(&request);
            let (begin, rest) = copy.split_at(copy.len() / 2);
            match moment {
                Moment::AtOnce => io.send(&response.repeat(2)).await,
                Moment::Split => {
                    let (begin, rest) = response.split_at(response.len() / 2);
                    io.send(&format!("{response}{begin}")).await;
                    sleep_ms(10).await;
                    io.send(rest).await;
                }
                Moment::Idle => {
                    io.send(&response).await;
                    sleep_ms(10).await;
                    io.send(&response).await;
                }
                Moment::BeforeNext => io.send(&format!("{copy}{response}")).await,
                Moment::AroundNext => {
                    io.send(begin).await;
                    sleep_ms(5).await;
                    io.send(&format!("{rest}{response}")).await;
                }
            }
            copy = response;
        }
    })
    .await
}

/// Sends requests one after the other, each as another caller, and checks that none gets the response of another.
async fn check(interface: Interface, moment: Moment, methods: [&str; 2], pause: u64) {
    let server = copying_server(interface, moment).await;
    let proxy = interface.proxy(&server);
    for number in 0..6 {
        let method = methods[number % 2];
        let path = format!("path-{number}");
        let mut caller = proxy.caller().await;
        caller.send(&interface.request(method, &path)).await;
        let got = caller.message(method == "HEAD").await.expect("a response");
        let case = format!("{interface:?} {moment:?} {method} after {pause} ms, request {number}");
        match got.status {
            200 if method == "HEAD" => assert_eq!(got.body, b"", "{case}"),
            200 => assert!(got.body.ends_with(path.as_bytes()), "{case}: {:?}", String::from_utf8_lossy(&got.body)),
            status => assert_eq!(status, 502, "{case}: {}", got.head),
        }
        sleep_ms(pause).await;
    }
}

/// Guards against a caller that gets the response to another request, whatever the methods and whenever the second copy
/// arrives.
#[actix_rt::test]
async fn a_second_copy_reaches_nobody() {
    for interface in [Interface::Platform, Interface::Product { echoes: true }] {
        for moment in MOMENTS {
            for methods in [["GET", "GET"], ["GET", "POST"], ["HEAD", "GET"]] {
                for pause in [0, 30] {
                    check(interface, moment, methods, pause).await;
                }
            }
        }
    }
}

/// Guards against the copies that can be recognized without an id: those that are there before the connection is used
/// again.
#[actix_rt::test]
async fn a_second_copy_without_an_id_is_noticed_on_an_idle_connection() {
    for moment in [Moment::AtOnce, Moment::Split, Moment::Idle] {
        check(Interface::Product { echoes: false }, moment, ["GET", "POST"], 30).await;
    }
}

/// Guards against an id that callers choose, with which a copy could pass as the response to another caller's request.
#[actix_rt::test]
async fn callers_do_not_choose_the_id_of_the_product() {
    let server = copying_server(Interface::Product { echoes: true }, Moment::BeforeNext).await;
    let proxy = Interface::Product { echoes: true }.proxy(&server);
    for number in 0..4 {
        let request = format!("GET /catalogue/{number} HTTP/1.1\r\nhost: a\r\nhemlockford-request-id: same\r\n\r\n");
        let got = proxy.call(&request).await;
        assert!(got.status == 502 || got.body.ends_with(number.to_string().as_bytes()), "{}", got.head);
        assert_eq!(got.header("hemlockford-request-id"), None);
    }
}

/// Guards against a copy that reaches a later request of the same caller, sent before the first response.
#[actix_rt::test]
async fn a_second_copy_reaches_no_pipelined_request() {
    for moment in MOMENTS {
        let server = copying_server(Interface::Platform, moment).await;
        let proxy = Interface::Platform.proxy(&server);
        for _ in 0..3 {
            let mut caller = proxy.caller().await;
            let requests: String =
                (0..4).map(|number| Interface::Platform.request("GET", &number.to_string())).collect();
            caller.send(&requests).await;
            for number in 0..4 {
                let got = actix_rt::time::timeout(Duration::from_secs(3), caller.response()).await.expect("a response");
                let is_own = got.status == 200 && got.body == format!("/look-up/{number}").as_bytes();
                assert!(is_own || got.status == 502, "{moment:?} {number}: {}", got.head);
            }
        }
    }
}

/// Guards against the late second copy of a rejected health check, which has no id, that is taken for the rejection of a
/// request which runs: it would run at a second server as well, or its caller would be told that it did not run.
#[actix_rt::test]
async fn a_rejection_without_the_id_rejects_no_request() {
    for moment in [Moment::BeforeNext, Moment::AroundNext] {
        for status in ["503 Busy", "429 Slow down", "421 Misdirected"] {
            let rejection = format!("HTTP/1.1 {status}\r\nx-not-run: 1\r\ncontent-length: 2\r\n\r\nno");
            let ran = Rc::new(Cell::new(0));
            let runs = ran.clone();
            let copying = serve(move |mut io: Caller, _| {
                let (rejection, runs) = (rejection.clone(), runs.clone());
                async move {
                    let mut number = 0;
                    while let Some(request) = io.message(false).await {
                        runs.set(runs.get() + 1);
                        let response = platform::echo(platform::OK, &request);
                        // The first answer leaves the connection in the pool.
                        let copy = if number == 0 { "" } else { &*rejection };
                        let begin = if matches!(moment, Moment::AroundNext) { copy.len() / 2 } else { 0 };
                        let (begin, rest) = copy.split_at(begin);
                        io.send(begin).await;
                        sleep_ms(5).await;
                        io.send(&format!("{rest}{response}")).await;
                        number += 1;
                    }
                }
            })
            .await;
            let (other, seen) = platform::echoing_server(platform::OK).await;
            let proxy = TestProxy::start(platform::script(&[copying.address, other.address]));
            assert_eq!(proxy.call(platform::ORDER).await.status, 200);
            let got = proxy.call(platform::ORDER).await;
            assert_eq!(got.status, 502, "{moment:?} {status}: it ran, but its answer is lost: {}", got.head);
            assert_eq!((ran.get(), seen.borrow().len()), (2, 0), "{moment:?} {status}");
            assert_eq!(proxy.results()[..2], [AttemptResult::Complete, AttemptResult::BadAnswer]);
        }
    }
}
