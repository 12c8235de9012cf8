//! Admin listener of an instance of a fleet.

use {
    super::{
        AdminRequest,
        replica_status::ReplicaStatus,
        replica_task::{ReplicaMessage, ReplicaRequest},
        translator::Translator,
    },
    crate::{
        admin_connection::AdminConnection,
        http::{has_body, metrics_response, read_body, response, serve, text_response},
    },
    actix_http::{
        ConnectionType, Method, Request, Response, StatusCode,
        body::BoxBody,
        header::{HeaderValue, LOCATION},
    },
    hemlockford_core::{
        config::MAX_CONFIG_BYTES,
        errors::Result,
        fleet::{Arrival, ReplicaAnswer},
    },
    hemlockford_proxy::ClientBudget,
    prometheus::Registry,
    serde_json::json,
    std::{rc::Rc, time::Duration},
    tokio::sync::{mpsc, oneshot, watch},
};

/// Maximum body size. A configuration in the format of the platform is at most four times as long as in INI format.
const MAX_BODY_BYTES: usize = 4 * MAX_CONFIG_BYTES;

/// Time from the arrival of an order to the check whether its sender still waits. After an interruption, TCP delivers the end
/// of the connection one round trip after the order.
const SENDER_CHECK_DELAY: Duration = Duration::from_millis(50);

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
        let connection = req.conn_data::<Rc<AdminConnection>>().cloned();
        if method == Method::GET {
            // Closing spares reading a body that no page needs.
            let has_body = has_body(&mut req);
            drop(req);
            let mut response = self.answer(method, path, Vec::new(), connection.as_deref()).await;
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
        self.answer(method, path, body, connection.as_deref()).await
    }

    async fn answer(
        &self,
        method: Method,
        path: Box<str>,
        body: Vec<u8>,
        connection: Option<&AdminConnection>,
    ) -> Response<BoxBody> {
        match self.translator.parse_request(method, path.clone(), body).await {
            Some(Ok(request)) => self.handle_request(request, connection).await,
            Some(Err(reply)) => response(reply.status, reply.content_type, reply.body),
            None if &*path == "/metrics" => metrics_response(&self.registry),
            None if &*path == "/status" && self.status.is_some() => self.status_response(),
            None if &*path == "/live" => text_response(StatusCode::OK, "ok\n"),
            None => text_response(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    async fn handle_request(&self, request: AdminRequest, connection: Option<&AdminConnection>) -> Response<BoxBody> {
        let request = match request {
            AdminRequest::Ready if self.readiness.is_ready() => return text_response(StatusCode::OK, "ok\n"),
            AdminRequest::Ready => return text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            AdminRequest::Announce(record) => ReplicaRequest::Announce(record),
            AdminRequest::Depart { server, incarnation } => ReplicaRequest::Depart { server, incarnation },
            AdminRequest::Submit(text) => match self.translator.check_submission(text).await {
                Ok(config) => ReplicaRequest::Submit(config),
                Err(answer) => return self.respond(answer, connection).await,
            },
            AdminRequest::Read => ReplicaRequest::Read,
            AdminRequest::Evacuate { data_centre, is_active, known } => {
                let arrival = match known {
                    Some(known) => Arrival::Redirected(known),
                    None => arrival(connection).await,
                };
                ReplicaRequest::Evacuate { data_centre, is_active, arrival }
            }
        };
        let (reply, rx) = oneshot::channel();
        if let Some(replica) = &self.replica {
            // If the channel is closed, the reply sender is dropped and the request is answered as unavailable.
            let _ = replica.send(ReplicaMessage::Request(request, reply));
        }
        self.respond(rx.await.unwrap_or(ReplicaAnswer::Unavailable), connection).await
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

    async fn respond(&self, answer: ReplicaAnswer, connection: Option<&AdminConnection>) -> Response<BoxBody> {
        let reply = self.translator.build_reply(answer).await;
        let mut response = response(reply.status, reply.content_type, reply.body);
        if let Some(path) = reply.location
            && let Some(Ok(address)) = connection.map(AdminConnection::local_addr)
            && let Ok(location) = HeaderValue::try_from(format!("http://{address}{path}"))
        {
            response.headers_mut().insert(LOCATION, location);
        }
        response
    }
}

/// Returns what is known of the time at which the request was sent that arrived last on a connection.
async fn arrival(connection: Option<&AdminConnection>) -> Arrival {
    let Some((connection, accepted_at)) = connection.and_then(|it| Some((it, it.accepted_for_request()?))) else {
        return Arrival::Unknown;
    };
    actix_rt::time::sleep(SENDER_CHECK_DELAY).await;
    if connection.is_closed() { Arrival::Unknown } else { Arrival::Accepted(accepted_at) }
}
