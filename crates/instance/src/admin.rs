//! Admin listener, on which servers announce themselves, operators submit configurations and the platform checks
//! health.

use {
    crate::{
        control::ControlMessage,
        http::{metrics_response, read_body, response, serve, text_response},
    },
    actix_http::{Method, Request, Response, StatusCode, body::BoxBody},
    hemlockford_core::{
        burn::BurnReport, config::MAX_CONFIG_BYTES, control::SubmitAnswer, errors::Result, registry::Announcement,
    },
    hemlockford_net::BootClock,
    hemlockford_proxy::ClientBudget,
    prometheus::Registry,
    std::time::Instant,
    tokio::sync::{mpsc, oneshot, watch},
};

/// Serves the admin listener.
#[derive(Clone)]
pub(crate) struct AdminTask {
    pub(crate) control: mpsc::UnboundedSender<ControlMessage>,
    pub(crate) reports: mpsc::UnboundedSender<oneshot::Sender<BurnReport>>,
    pub(crate) serve_until: watch::Receiver<Option<Instant>>,
    pub(crate) is_draining: watch::Receiver<bool>,
    /// Whether the list of servers is complete enough to serve calls.
    pub(crate) are_servers_known: watch::Receiver<bool>,
    pub(crate) registry: Registry,
    pub(crate) clients: ClientBudget,
}

impl AdminTask {
    pub(crate) async fn run(self, listener: std::net::TcpListener) -> Result<()> {
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
        match (method, &*path) {
            (Method::POST, "/announce") => self.announce(&mut req).await,
            (Method::POST, "/submit") => self.submit(&mut req).await,
            (Method::GET, "/status") => self.status().await,
            (Method::GET, "/report") => self.report(req.uri().query() == Some("format=text")).await,
            (Method::GET, "/metrics") => metrics_response(&self.registry),
            (Method::GET, "/live") => text_response(StatusCode::OK, "ok\n"),
            (Method::GET, "/ready") => self.ready(),
            _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    async fn announce(&self, req: &mut Request) -> Response<BoxBody> {
        let Some(body) = read_body(req, MAX_CONFIG_BYTES).await else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
        };
        match serde_json::from_slice(&body) {
            Ok(announcement) => self.accept_announcement(announcement),
            Err(e) => text_response(StatusCode::BAD_REQUEST, &format!("{e}\n")),
        }
    }

    fn accept_announcement(&self, announcement: Announcement) -> Response<BoxBody> {
        if let Err(error) = announcement.check() {
            return text_response(StatusCode::UNPROCESSABLE_ENTITY, &format!("{error}\n"));
        }
        let _ = self.control.send(ControlMessage::Announce(announcement));
        text_response(StatusCode::OK, "ok\n")
    }

    async fn submit(&self, req: &mut Request) -> Response<BoxBody> {
        let Some(body) = read_body(req, MAX_CONFIG_BYTES).await else {
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
        };
        let Ok(source) = std::str::from_utf8(&body) else {
            return text_response(StatusCode::BAD_REQUEST, "not UTF-8\n");
        };
        let (reply, rx) = oneshot::channel();
        let _ = self.control.send(ControlMessage::Submit(source.into(), reply));
        let (status, body) = status_and_body(rx.await.unwrap_or(SubmitAnswer::Unknown));
        text_response(status, &body)
    }

    async fn status(&self) -> Response<BoxBody> {
        let (reply, rx) = oneshot::channel();
        let _ = self.control.send(ControlMessage::Status(reply));
        match rx.await {
            Ok(status) => json_response(&status),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }

    async fn report(&self, is_text: bool) -> Response<BoxBody> {
        let (reply, rx) = oneshot::channel();
        let _ = self.reports.send(reply);
        match rx.await {
            Ok(report) if is_text => text_response(StatusCode::OK, &report.summary().to_string()),
            Ok(report) => json_response(&report),
            Err(_) => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }

    fn ready(&self) -> Response<BoxBody> {
        if *self.is_draining.borrow() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "shutting down\n");
        }
        if self.serve_until.borrow().is_none_or(|until| BootClock::now() >= until) {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "configuration not current\n");
        }
        if !*self.are_servers_known.borrow() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "servers not known yet\n");
        }
        text_response(StatusCode::OK, "ok\n")
    }
}

/// Returns the HTTP status and the body that report a result to an operator.
fn status_and_body(answer: SubmitAnswer) -> (StatusCode, String) {
    match answer {
        SubmitAnswer::Accepted { number, digest, everywhere: true } => {
            (StatusCode::OK, format!("accepted {number} {digest}, in force on every live instance\n"))
        }
        SubmitAnswer::Accepted { number, digest, everywhere: false } => {
            (StatusCode::OK, format!("accepted {number} {digest}, not yet in force on every live instance\n"))
        }
        SubmitAnswer::Invalid(errors) => {
            (StatusCode::UNPROCESSABLE_ENTITY, errors.iter().map(|error| format!("{error}\n")).collect())
        }
        SubmitAnswer::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the text is too long\n".into()),
        SubmitAnswer::Conflict { number, winner } => {
            (StatusCode::CONFLICT, format!("change {number} is held by another text, digest {winner}\n"))
        }
        SubmitAnswer::Superseded { current } => {
            (StatusCode::CONFLICT, format!("superseded: the current change is {current}\n"))
        }
        SubmitAnswer::NotAccepted => {
            (StatusCode::SERVICE_UNAVAILABLE, "not accepted: no control leader can be reached; try again\n".into())
        }
        SubmitAnswer::Unknown => {
            (StatusCode::GATEWAY_TIMEOUT, "unknown whether accepted; submitting the same text again is safe\n".into())
        }
    }
}

fn json_response(value: &impl serde::Serialize) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => response(StatusCode::OK, "application/json", body.into()),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e}\n")),
    }
}
