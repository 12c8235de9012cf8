//! Verification of call outcomes against the executions at the stand-in servers.

use {
    super::summary::Verification,
    error_stack::ResultExt,
    hemlockford_core::errors::{ErrorKind, Result, unavailable},
    serde_json::Value,
    std::{net::SocketAddr, time::Duration},
};

/// Timeout of a request to the control listener. A list of half a million ids takes well under a second on loopback.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length of an answer, which may contain every id of a full list.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Compares the executions at the stand-in servers with the outcomes at the callers.
pub(super) async fn verify(control: SocketAddr, reported_not_run: &[Box<str>]) -> Result<Verification> {
    let client = awc::Client::builder().disable_redirects().timeout(REQUEST_TIMEOUT).finish();
    let url = format!("http://{control}/executions");
    let report = read_json(client.get(&url).send().await).await?;
    let executed = read_json(client.post(&url).send_body(reported_not_run.join("\n")).await).await?;
    let executions = &report["executions"];
    let number = |key: &str| {
        executions[key].as_u64().ok_or_else(|| unavailable(format!("the answer of {url} has no number '{key}'")))
    };
    let executed_ids = executed["executed"].as_array().into_iter().flatten().filter_map(Value::as_str);
    Ok(Verification {
        repeated: number("repeated_non_idempotent")?,
        wrong_uploads: number("wrong_uploads")?,
        ran_but_denied: executed_ids.map(Into::into).collect(),
    })
}

async fn read_json<S>(
    answer: core::result::Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
) -> Result<Value>
where
    S: futures_util::Stream<Item = core::result::Result<bytes::Bytes, actix_http::error::PayloadError>> + Unpin,
{
    let mut answer = answer.map_err(|e| unavailable(format!("request to the control listener failed: {e}")))?;
    let body = answer.body().limit(MAX_ANSWER_BYTES).await.change_context(ErrorKind::Unavailable)?;
    serde_json::from_slice(&body).change_context(ErrorKind::Corrupt)
}
