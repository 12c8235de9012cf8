//! Asks the stand-in servers what they ran.

use {
    super::summary::Verification,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// Time for one question; a list of half a million ids takes well under a second on loopback.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer: every id of a full list is named.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Compares what the stand-in servers ran with what the callers were told.
pub(super) async fn verify(control: SocketAddr, denied: &[Box<str>]) -> Result<Verification> {
    let client = awc::Client::builder().disable_redirects().timeout(TIMEOUT).finish();
    let url = format!("http://{control}/executions");
    let report = read(client.get(&url).send().await).await?;
    let executed = read(client.post(&url).send_body(denied.join("\n")).await).await?;
    let executions = &report["executions"];
    let number = |key: &str| executions[key].as_u64().ok_or_else(|| unavailable(format!("no '{key}' in {url}")));
    let ran = executed["executed"].as_array().into_iter().flatten().filter_map(Value::as_str);
    Ok(Verification {
        repeated: number("repeated_non_idempotent")?,
        wrong_uploads: number("wrong_uploads")?,
        ran_but_denied: ran.map(Into::into).collect(),
    })
}

async fn read<S>(answer: core::result::Result<awc::ClientResponse<S>, awc::error::SendRequestError>) -> Result<Value>
where
    S: futures_util::Stream<Item = core::result::Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let mut answer = answer.map_err(|e| unavailable(format!("control listener: {e}")))?;
    let body = answer.body().limit(MAX_ANSWER_BYTES).await.change_context(ErrorKind::Unavailable)?;
    serde_json::from_slice(&body).change_context(ErrorKind::Corrupt)
}
