//! HTTP client for the admin and caller listeners of an instance.

use {
    awc::http::header::CONTENT_LENGTH,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    std::{net::SocketAddr, time::Duration},
};

/// Maximum size of an answer body. A report on 60 services is far smaller.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Answer of an instance.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Sends a GET request.
pub(crate) async fn get(from: SocketAddr, path: &str, timeout: Duration) -> Result<Answer> {
    let request = client(timeout).get(format!("http://{from}{path}"));
    read_answer(request.send().await).await
}

/// Sends a POST request with a body.
pub(crate) async fn post(to: SocketAddr, path: &str, body: String, timeout: Duration) -> Result<Answer> {
    let request = client(timeout).post(format!("http://{to}{path}"));
    read_answer(request.send_body(body).await).await
}

fn client(timeout: Duration) -> awc::Client {
    // Following a redirect would send a submission a second time.
    awc::Client::builder().disable_redirects().timeout(timeout).finish()
}

async fn read_answer(
    answer: core::result::Result<awc::ClientResponse, awc::error::SendRequestError>,
) -> Result<Answer> {
    let mut answer = answer.map_err(|e| unavailable(format!("no answer: {e}")))?;
    let status = answer.status().as_u16();
    // The library takes the end of the connection for the end of a body, whatever was announced.
    let length = answer.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    let body = answer.body().limit(MAX_ANSWER_BYTES).await.change_context(ErrorKind::Unavailable)?;
    if length != Some(body.len()) {
        return Err(unavailable("the answer was cut off, or states no length"));
    }
    Ok(Answer { status, body: String::from_utf8_lossy(&body).into() })
}
