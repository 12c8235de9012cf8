//! HTTP server of the admin listeners.

use {
    actix_http::{
        HttpService, Request, Response, StatusCode,
        body::BoxBody,
        header::{CONTENT_TYPE, HeaderValue},
    },
    actix_service::{Service, ServiceFactory, fn_service},
    bytes::Bytes,
    error_stack::ResultExt,
    futures_util::StreamExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    prometheus::{Registry, TextEncoder},
    std::{convert::Infallible, rc::Rc, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::Semaphore},
};

/// Maximum time for a request head to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay before the next attempt to accept a connection after a failure, which is mostly a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves connections, at most `max_connections` at the same time.
pub(crate) async fn serve<H, F>(listener: std::net::TcpListener, max_connections: usize, handle: H) -> Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let listener = TcpListener::from_std(listener).change_context(ErrorKind::Io)?;
    let factory = HttpService::build().client_request_timeout(HEAD_TIMEOUT).h1(fn_service(move |req| {
        let answer = handle(req);
        async move { Ok::<_, Infallible>(answer.await) }
    }));
    let Ok(service) = factory.new_service(()).await else {
        return Err(unavailable("cannot create the HTTP service of the admin listener"));
    };
    let service = Rc::new(service);
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return Ok(()) };
        let Ok((stream, peer)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        actix_rt::spawn(async move {
            // An error affects only this connection.
            let _ = service.call((stream, Some(peer))).await;
            drop(permit);
        });
    }
}

/// Reads a request body; returns `None` if it is longer than `max` or cannot be read.
pub(crate) async fn read_body(req: &mut Request, max: usize) -> Option<Vec<u8>> {
    let mut payload = req.take_payload();
    let mut body = Vec::new();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
        if body.len() > max {
            return None;
        }
    }
    Some(body)
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
