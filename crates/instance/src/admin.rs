//! The admin listener: servers announce themselves, operators submit, the platform asks for health.

use {
    crate::control::ControlMessage,
    actix_http::{HttpService, Method, Request, Response, StatusCode, body::BoxBody},
    actix_service::{Service, ServiceFactory, fn_service},
    error_stack::ResultExt,
    futures_util::StreamExt,
    hemlockford_core::{
        errors::{ErrorKind, Result, unavailable},
        text::MAX_TEXT_BYTES,
    },
    std::{convert::Infallible, rc::Rc},
    tokio::{
        net::TcpListener,
        sync::{mpsc, oneshot},
    },
};

/// Serves the admin listener.
#[derive(Clone)]
pub(crate) struct AdminTask {
    pub(crate) control: mpsc::UnboundedSender<ControlMessage>,
}

impl AdminTask {
    pub(crate) async fn run(self, listener: std::net::TcpListener) -> Result<()> {
        let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
        let factory = HttpService::build().h1(fn_service(move |req| {
            let admin = self.clone();
            async move { Ok::<_, Infallible>(admin.handle(req).await) }
        }));
        let Ok(service) = factory.new_service(()).await else {
            return Err(unavailable("HTTP service cannot be built"));
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
        let method = req.method().clone();
        let path: Box<str> = req.path().into();
        match (method, &*path) {
            (Method::POST, "/announce") => self.announce(&mut req).await,
            (Method::POST, "/submit") => self.submit(&mut req).await,
            (Method::GET, "/live" | "/ready") => text(StatusCode::OK, "ok\n"),
            _ => text(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }

    async fn announce(&self, req: &mut Request) -> Response<BoxBody> {
        let Some(body) = read_body(req).await else { return text(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n") };
        match serde_json::from_slice(&body) {
            Ok(announcement) => {
                let _ = self.control.send(ControlMessage::Announce(announcement));
                text(StatusCode::OK, "ok\n")
            }
            Err(e) => text(StatusCode::BAD_REQUEST, &format!("{e}\n")),
        }
    }

    async fn submit(&self, req: &mut Request) -> Response<BoxBody> {
        let Some(body) = read_body(req).await else { return text(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n") };
        let Ok(source) = std::str::from_utf8(&body) else { return text(StatusCode::BAD_REQUEST, "not UTF-8\n") };
        let (reply, rx) = oneshot::channel();
        let _ = self.control.send(ControlMessage::Submit(source.into(), reply));
        match rx.await {
            Ok(Ok(number)) => text(StatusCode::OK, &format!("accepted {number}\n")),
            Ok(Err(faults)) => {
                let lines: String = faults.iter().map(|fault| format!("{fault}\n")).collect();
                text(StatusCode::UNPROCESSABLE_ENTITY, &lines)
            }
            Err(_) => text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
        }
    }
}

/// Reads a body of bounded size.
async fn read_body(req: &mut Request) -> Option<Vec<u8>> {
    let mut payload = req.take_payload();
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > MAX_TEXT_BYTES {
            return None;
        }
    }
    Some(body)
}

fn text(status: StatusCode, body: &str) -> Response<BoxBody> {
    Response::new(status).set_body(BoxBody::new(body.to_owned()))
}
