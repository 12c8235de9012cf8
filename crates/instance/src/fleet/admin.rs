//! The admin listener of an instance of a fleet.

use {
    super::{
        AdminReply, AdminRequest, Interface,
        replica_task::{Ask, ReplicaMessage},
    },
    actix_http::{
        HttpService, Request, Response, StatusCode,
        body::BoxBody,
        header::{CONTENT_TYPE, HeaderValue},
    },
    actix_service::{Service, ServiceFactory, fn_service},
    error_stack::ResultExt,
    futures_util::StreamExt,
    hemlockford_core::{
        errors::{ErrorKind, Result, unavailable},
        fleet::ReplicaAnswer,
        text::MAX_TEXT_BYTES,
    },
    prometheus::{Registry, TextEncoder},
    std::{convert::Infallible, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot, watch},
    },
};

/// Time within which a request head must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest body that is read: a configuration of the platform is at most four times its text.
const MAX_BODY_BYTES: usize = 4 * MAX_TEXT_BYTES;

/// Whether the instance takes callers.
#[derive(Clone)]
pub(super) struct Readiness {
    pub(super) is_in_step: watch::Receiver<bool>,
    pub(super) is_draining: watch::Receiver<bool>,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        *self.is_in_step.borrow() && !*self.is_draining.borrow()
    }
}

/// Serves the admin listener.
#[derive(Clone)]
pub(super) struct AdminTask {
    pub(super) interface: Rc<dyn Interface>,
    /// Way to the replica's task; an entry has none.
    pub(super) replica: Option<mpsc::UnboundedSender<ReplicaMessage>>,
    pub(super) readiness: Readiness,
    pub(super) registry: Registry,
}

impl AdminTask {
    pub(super) async fn run(self, listener: std::net::TcpListener) -> Result<()> {
        let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
        let factory = HttpService::build().client_request_timeout(HEAD_TIMEOUT).h1(fn_service(move |req| {
            let admin = self.clone();
            async move { Ok::<_, Infallible>(admin.handle(req).await) }
        }));
        let Ok(service) = factory.new_service(()).await else {
            return Err(unavailable("HTTP service cannot be built"));
        };
        let service = Rc::new(service);
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                // Mostly a lack of file descriptors.
                actix_rt::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let service = service.clone();
            actix_rt::spawn(async move {
                // An error concerns this connection only.
                let _ = service.call((stream, Some(peer))).await;
            });
        }
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let method = req.method().clone();
        let path: Box<str> = req.path().into();
        let Some(body) = read_body(&mut req).await else {
            return text(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
        };
        match self.interface.read(&method, &path, &body) {
            Some(Ok(request)) => self.ask(request).await,
            Some(Err(reply)) => respond(reply),
            None if &*path == "/metrics" => self.metrics(),
            None if &*path == "/live" => text(StatusCode::OK, "ok\n"),
            None => text(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    async fn ask(&self, request: AdminRequest) -> Response<BoxBody> {
        let ask = match request {
            AdminRequest::Ready if self.readiness.is_ready() => return text(StatusCode::OK, "ok\n"),
            AdminRequest::Ready => return text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            AdminRequest::Announce(record) => Ask::Announce(record),
            AdminRequest::Depart { server, born } => Ask::Depart { server, born },
            AdminRequest::Submit(source) => Ask::Submit(source),
            AdminRequest::Read => Ask::Read,
        };
        let (reply, rx) = oneshot::channel();
        if let Some(replica) = &self.replica {
            // A closed channel drops the reply, which is answered below.
            let _ = replica.send(ReplicaMessage::Ask(ask, reply));
        }
        respond(self.interface.reply(rx.await.unwrap_or(ReplicaAnswer::Unavailable)))
    }

    fn metrics(&self) -> Response<BoxBody> {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(body) => text(StatusCode::OK, &body),
            Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
        }
    }
}

/// Reads a body of bounded size.
async fn read_body(req: &mut Request) -> Option<Vec<u8>> {
    let mut payload = req.take_payload();
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_BODY_BYTES {
            return None;
        }
    }
    Some(body)
}

fn text(status: StatusCode, body: &str) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(body.to_owned()))
}

fn respond(reply: AdminReply) -> Response<BoxBody> {
    let mut response = Response::new(reply.status).set_body(BoxBody::new(reply.body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(reply.content_type));
    response
}
