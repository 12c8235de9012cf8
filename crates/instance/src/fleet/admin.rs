//! Admin listener of an instance of a fleet.

use {
    super::{
        AdminRequest,
        replica_status::ReplicaStatus,
        replica_task::{ReplicaMessage, ReplicaRequest},
        translator::Translator,
    },
    crate::http::{has_body, metrics_response, read_body, response, serve, text_response},
    actix_http::{ConnectionType, Method, Request, Response, StatusCode, body::BoxBody},
    hemlockford_core::{config::MAX_CONFIG_BYTES, errors::Result, fleet::ReplicaAnswer},
    hemlockford_proxy::ClientBudget,
    prometheus::Registry,
    serde_json::json,
    tokio::sync::{mpsc, oneshot, watch},
};

/// Maximum body size. A configuration in the format of the platform is at most four times as long as in INI format.
const MAX_BODY_BYTES: usize = 4 * MAX_CONFIG_BYTES;

/// Inputs that determine whether the instance is ready for callers.
#[derive(Clone)]
pub(super) struct Readiness {
    pub(super) is_link_ready: watch::Receiver<bool>,
    pub(super) is_draining: watch::Receiver<bool>,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        *self.is_link_ready.borrow() && !*self.is_draining.borrow()
    }
}

/// Serves the admin listener.
#[derive(Clone)]
pub(super) struct AdminTask {
    pub(super) translator: Translator,
    /// Channel to the replica task; `None` for an entry.
    pub(super) replica: Option<mpsc::UnboundedSender<ReplicaMessage>>,
    pub(super) readiness: Readiness,
    pub(super) registry: Registry,
    /// State of the replica; `None` for an entry.
    pub(super) status: Option<watch::Receiver<ReplicaStatus>>,
    pub(super) clients: ClientBudget,
}

impl AdminTask {
    pub(super) async fn run(self, listener: std::net::TcpListener) -> Result<()> {
        let clients = self.clients.clone();
        let handle = move |req| {
            let admin = self.clone();
            async move { admin.handle(req).await }
        };
        serve(listener, clients, handle).await
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let method = req.method().clone();
        let path: Box<str> = req.path().into();
        if method == Method::GET {
            // Closing spares reading a body that no page needs.
            let has_body = has_body(&mut req);
            drop(req);
            let mut response = self.answer(method, path, Vec::new()).await;
            if has_body {
                response.head_mut().set_connection_type(ConnectionType::Close);
            }
            return response;
        }
        let max = self.translator.max_body(&path).unwrap_or(MAX_BODY_BYTES);
        let Some(body) = read_body(&mut req, max).await else {
            let mut response =
                text_response(StatusCode::PAYLOAD_TOO_LARGE, &format!("the body is longer than {max} bytes\n"));
            response.head_mut().set_connection_type(ConnectionType::Close);
            return response;
        };
        self.answer(method, path, body).await
    }

    async fn answer(&self, method: Method, path: Box<str>, body: Vec<u8>) -> Response<BoxBody> {
        match self.translator.parse_request(method, path.clone(), body).await {
            Some(Ok(request)) => self.handle_request(request).await,
            Some(Err(reply)) => response(reply.status, reply.content_type, reply.body),
            None if &*path == "/metrics" => metrics_response(&self.registry),
            None if &*path == "/status" && self.status.is_some() => self.status_response(),
            None if &*path == "/live" => text_response(StatusCode::OK, "ok\n"),
            None => text_response(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    async fn handle_request(&self, request: AdminRequest) -> Response<BoxBody> {
        let request = match request {
            AdminRequest::Ready if self.readiness.is_ready() => return text_response(StatusCode::OK, "ok\n"),
            AdminRequest::Ready => return text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            AdminRequest::Announce(record) => ReplicaRequest::Announce(record),
            AdminRequest::Depart { server, incarnation } => ReplicaRequest::Depart { server, incarnation },
            AdminRequest::Submit(text) => match self.translator.check_submission(text).await {
                Ok(config) => ReplicaRequest::Submit(config),
                Err(answer) => return self.respond(answer).await,
            },
            AdminRequest::Read => ReplicaRequest::Read,
            AdminRequest::Evacuate { data_centre, is_active } => ReplicaRequest::Evacuate { data_centre, is_active },
        };
        let (reply, rx) = oneshot::channel();
        if let Some(replica) = &self.replica {
            // If the channel is closed, the reply sender is dropped and the request is answered as unavailable.
            let _ = replica.send(ReplicaMessage::Request(request, reply));
        }
        self.respond(rx.await.unwrap_or(ReplicaAnswer::Unavailable)).await
    }

    fn status_response(&self) -> Response<BoxBody> {
        let status = self.status.as_ref().map(|status| status.borrow().clone()).unwrap_or_default();
        let status = json!({
            "leading": status.is_leading,
            "current": status.is_current,
            "change": status.change,
            "evacuated": status.evacuated,
        });
        response(StatusCode::OK, "application/json", status.to_string().into())
    }

    async fn respond(&self, answer: ReplicaAnswer) -> Response<BoxBody> {
        let reply = self.translator.build_reply(answer).await;
        response(reply.status, reply.content_type, reply.body)
    }
}
