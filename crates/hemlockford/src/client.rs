//! HTTP requests to the admin listener of an instance.

use {
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    std::{net::SocketAddr, time::Duration},
};

/// Largest answer of an admin listener; a report of 60 services stays far below it.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Answer of an admin listener.
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
}

/// Gets a page.
pub(crate) async fn get(from: SocketAddr, path: &str, timeout: Duration) -> Result<Answer> {
    let request = client(timeout).get(format!("http://{from}{path}"));
    receive(request.send().await).await
}

/// Posts a body.
pub(crate) async fn post(to: SocketAddr, path: &str, body: String, timeout: Duration) -> Result<Answer> {
    let request = client(timeout).post(format!("http://{to}{path}"));
    receive(request.send_body(body).await).await
}

fn client(timeout: Duration) -> awc::Client {
    // A redirect of a submission would send it a second time.
    awc::Client::builder().disable_redirects().timeout(timeout).finish()
}

async fn receive(answer: core::result::Result<awc::ClientResponse, awc::error::SendRequestError>) -> Result<Answer> {
    let mut answer = answer.map_err(|e| unavailable(format!("no answer: {e}")))?;
    let status = answer.status().as_u16();
    let body = answer.body().limit(MAX_ANSWER_BYTES).await.change_context(ErrorKind::Unavailable)?;
    Ok(Answer { status, body: String::from_utf8_lossy(&body).into() })
}
