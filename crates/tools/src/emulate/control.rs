//! Control listener, which switches the behaviour of stand-in servers and serves their counters.

use {
    super::{executions::Executions, shared_state::SharedState},
    actix_http::{HttpService, Method, Request, Response, StatusCode, body::BoxBody, header},
    actix_service::{Service, ServiceFactory, fn_service},
    error_stack::ResultExt,
    futures_util::StreamExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    serde_json::json,
    std::{convert::Infallible, rc::Rc, sync::Arc},
    tokio::net::TcpListener,
};

/// Maximum size of a list of request ids.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Control listener of one process.
#[derive(Clone)]
pub(super) struct Control {
    pub(super) servers: Arc<[Arc<SharedState>]>,
    pub(super) executions: Arc<Executions>,
}

impl Control {
    pub(super) async fn run(self, listener: std::net::TcpListener) -> Result<()> {
        let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
        let factory = HttpService::build().h1(fn_service(move |req| {
            let control = self.clone();
            async move { Ok::<_, Infallible>(control.handle(req).await) }
        }));
        let Ok(service) = factory.new_service(()).await else {
            return Err(unavailable("cannot build the HTTP service of the control listener"));
        };
        let service = Rc::new(service);
        loop {
            let Ok((stream, peer)) = listener.accept().await else { continue };
            let service = service.clone();
            actix_rt::spawn(async move {
                let _ = service.call((stream, Some(peer))).await;
            });
        }
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        match (req.method().clone(), req.path()) {
            (Method::GET, "/executions") => json(StatusCode::OK, &self.executions()),
            (Method::POST, "/executions") => {
                let mut payload = req.take_payload();
                let mut body = Vec::new();
                while let Some(Ok(chunk)) = payload.next().await {
                    if body.len() + chunk.len() > MAX_BODY_BYTES {
                        return json(StatusCode::PAYLOAD_TOO_LARGE, &json!({"error": "body too long"}));
                    }
                    body.extend_from_slice(&chunk);
                }
                let text = String::from_utf8_lossy(&body);
                json(StatusCode::OK, &json!({"executed": self.executions.executed(text.lines())}))
            }
            (Method::POST, path) if path.starts_with("/control/") => {
                let name = path.trim_start_matches("/control/");
                self.apply_mode(name, req.uri().query().unwrap_or_default())
            }
            _ => json(StatusCode::NOT_FOUND, &json!({"error": "no such page"})),
        }
    }

    /// Returns the counters of all servers.
    pub(super) fn executions(&self) -> serde_json::Value {
        let report = self.executions.report();
        let servers: Vec<_> = self.servers.iter().map(|server| server.report()).collect();
        let now = self.servers.first().map_or(0, |server| server.now_ms());
        json!({
            "now_ms": now,
            "executions": report,
            "service_time_late_us": self.executions.lateness(),
            "servers": servers,
        })
    }

    fn apply_mode(&self, name: &str, query: &str) -> Response<BoxBody> {
        let mut selected = self.servers.iter().filter(|server| name == "all" || *server.name == *name).peekable();
        if selected.peek().is_none() {
            return json(StatusCode::NOT_FOUND, &json!({"error": format!("no server named '{name}'")}));
        }
        let mut behaviours = serde_json::Map::new();
        for server in selected {
            match server.apply(query) {
                Ok(behaviour) => behaviours.insert(server.name.to_string(), json!(behaviour)),
                Err(error) => return json(StatusCode::BAD_REQUEST, &json!({"error": error})),
            };
        }
        json(StatusCode::OK, &json!(behaviours))
    }
}

fn json(status: StatusCode, value: &serde_json::Value) -> Response<BoxBody> {
    let mut response = Response::new(status).set_body(BoxBody::new(format!("{value}\n")));
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}
