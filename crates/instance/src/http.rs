//! HTTP server of the admin listeners.

use {
    crate::{admin_connection::AdminConnection, answer_gate::AnswerGate, client_stream::ClientStream},
    actix_http::{
        HttpService, Payload, Request, Response, StatusCode,
        body::BoxBody,
        header::{CONTENT_TYPE, HeaderValue},
    },
    actix_service::{Service, ServiceFactory, fn_service},
    bytes::Bytes,
    error_stack::ResultExt,
    futures_util::StreamExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    hemlockford_net::BootClock,
    hemlockford_proxy::{ClientBudget, ClientGuard, ClientKind, ClientState},
    prometheus::{Registry, TextEncoder},
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{net::TcpListener, select},
};

/// Maximum time for a request head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time without progress while a body arrives.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time without progress while a response is read.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which connections without progress are looked for.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Size of the segments in which a body is kept while it arrives.
const SEGMENT_BYTES: usize = 16 * 1_024;
/// Bytes that a connection holds besides a body: its buffers for reading and writing.
const CONNECTION_BYTES: usize = 24 * 1_024;
/// Delay before the next attempt to accept a connection after a failure, which is mostly a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves connections. The budget decides which of them are closed if there are too many.
pub(crate) async fn serve<H, F>(listener: std::net::TcpListener, clients: ClientBudget, handle: H) -> Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
    let factory = HttpService::build()
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(HEAD_TIMEOUT)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(stream.client().clone());
            data.insert(stream.connection().clone());
            data.insert(stream.gate().clone());
        })
        .h1(fn_service(move |mut req: Request| {
            let client = req.conn_data::<Rc<ClientGuard>>().cloned();
            let gate = req.conn_data::<Rc<AnswerGate>>().cloned();
            if let Some(connection) = req.conn_data::<Rc<AdminConnection>>() {
                connection.begin_request();
            }
            let handle = handle.clone();
            async move {
                let (Some(client), Some(gate)) = (client, gate) else { return Ok(handle(req).await) };
                gate.pass().await;
                if !has_body(&mut req) {
                    gate.close();
                }
                client.set_state(ClientState::Running);
                let answer = handle(req).await;
                gate.close();
                client.set_state(ClientState::Response);
                Ok::<_, Infallible>(answer)
            }
        }));
    let Ok(service) = factory.new_service(()).await else {
        return Err(unavailable("cannot create the HTTP service of the admin listener"));
    };
    let service = Rc::new(service);
    let checked = clients.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            checked.close_overdue(ClientKind::Admin, time_limit);
        }
    });
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let accepted_at = BootClock::now();
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let client = Rc::new(clients.admit(ClientKind::Admin, peer.ip()).await);
        client.hold(0, CONNECTION_BYTES);
        actix_rt::spawn(async move {
            let stream = ClientStream::new(stream, accepted_at, client.clone());
            select! {
                biased;
                () = client.closed() => {}
                // An error affects only this connection.
                _ = service.call((stream, Some(peer))) => {}
            }
        });
    }
}

/// Returns how long a client may make no progress.
fn time_limit(state: ClientState) -> Option<Duration> {
    match state {
        // Idle connections are subject to the HTTP service's keep-alive time.
        ClientState::Idle | ClientState::Running => None,
        ClientState::Head => Some(HEAD_TIMEOUT),
        ClientState::Body => Some(BODY_TIMEOUT),
        ClientState::Response => Some(RESPONSE_TIMEOUT),
    }
}

/// Reads a request body; returns `None` if it is longer than `max` or cannot be read.
pub(crate) async fn read_body(req: &mut Request, max: usize) -> Option<Vec<u8>> {
    let client = req.conn_data::<Rc<ClientGuard>>().cloned();
    let mut payload = req.take_payload();
    let mut body = HeldBody { segments: Vec::new(), length: 0, client };
    body.set_state(ClientState::Body);
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.ok()?;
        if body.length + chunk.len() > max {
            return None;
        }
        body.extend(&chunk);
    }
    body.set_state(ClientState::Running);
    if let Some(gate) = req.conn_data::<Rc<AnswerGate>>() {
        gate.close();
    }
    Some(body.segments.concat())
}

/// Returns whether a request has a body.
pub(crate) fn has_body(req: &mut Request) -> bool {
    !matches!(req.payload(), Payload::None)
}

/// A body that is being read, as the budget of the process counts it.
struct HeldBody {
    /// Segments of equal capacity. A single buffer that grows would leave blocks of every size behind.
    segments: Vec<Vec<u8>>,
    length: usize,
    client: Option<Rc<ClientGuard>>,
}

impl HeldBody {
    fn extend(&mut self, mut chunk: &[u8]) {
        self.length += chunk.len();
        while !chunk.is_empty() {
            let room = self.segments.last().map_or(0, |segment| SEGMENT_BYTES - segment.len());
            if room == 0 {
                self.segments.push(Vec::with_capacity(SEGMENT_BYTES));
                self.hold(self.segments.len() - 1, self.segments.len());
                continue;
            }
            let (part, rest) = chunk.split_at(room.min(chunk.len()));
            if let Some(segment) = self.segments.last_mut() {
                segment.extend_from_slice(part);
            }
            chunk = rest;
        }
    }

    /// Changes the number of segments that the budget knows.
    fn hold(&self, before: usize, after: usize) {
        if let Some(client) = &self.client {
            client.hold(before * SEGMENT_BYTES, after * SEGMENT_BYTES);
        }
    }

    fn set_state(&self, state: ClientState) {
        if let Some(client) = &self.client {
            client.set_state(state);
        }
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.hold(self.segments.len(), 0);
    }
}

pub(crate) fn text_response(status: StatusCode, body: &str) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(body.to_owned()))
}

pub(crate) fn response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<BoxBody> {
    let mut response = Response::new(status).set_body(BoxBody::new(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

pub(crate) fn metrics_response(registry: &Registry) -> Response<BoxBody> {
    match TextEncoder::new().encode_to_string(&registry.gather()) {
        Ok(body) => text_response(StatusCode::OK, &body),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}
