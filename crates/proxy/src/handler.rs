//! One call, from the caller's request to the answer.

use {
    crate::{
        answer::{AnswerBody, Attempt},
        connection::{Answer, Connection},
        gate::{Decision, Gate},
        headers,
        pool::Pool,
    },
    actix_http::{
        HttpMessage, Method, Request, Response, ResponseHead, StatusCode,
        body::{BodySize, BoxBody},
        header,
    },
    futures_util::StreamExt,
    hemlockford_core::{
        dispatch::{AttemptResult, Call, LOAD_HEADER, LoadReport},
        ids::{CallId, ServerId},
        outcome::{NotRunReason, Outcome, UnknownReason},
        text::Text,
    },
    std::{
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

const DEFAULT_CUSTOMER: &str = "default";
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles the calls of one worker.
pub(crate) struct Handler {
    pub(crate) gate: Gate,
    pub(crate) pool: Pool,
    pub(crate) text: watch::Receiver<Arc<Text>>,
    pub(crate) next_call: std::cell::Cell<CallId>,
}

struct Target {
    server: ServerId,
    address: SocketAddr,
    fresh: bool,
}

impl Handler {
    pub(crate) async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let call = match self.call(&req) {
            Ok(call) => call,
            Err(reason) => return reject(Outcome::NotRun(reason), RETRY_AFTER),
        };
        let mut decision = self.gate.arrive(call.clone());
        loop {
            let target = match decision.await {
                Ok(Decision::Send { server, address, fresh_connection }) => {
                    Target { server, address, fresh: fresh_connection }
                }
                Ok(Decision::Reject { outcome, retry_after }) => return reject(outcome, retry_after),
                Err(_) => return reject(Outcome::NotRun(NotRunReason::ShuttingDown), RETRY_AFTER),
            };
            let mut attempt = Attempt {
                gate: self.gate.clone(),
                call: call.id,
                server: target.server.clone(),
                start: Instant::now(),
                report: None,
                is_reported: false,
            };
            let left = call.deadline.saturating_duration_since(Instant::now());
            let exchange = self.exchange(&mut req, &call, &target, &mut attempt);
            let result = actix_rt::time::timeout(left, exchange).await.unwrap_or(Err(AttemptResult::Timeout));
            match result {
                Ok((head, answer)) => return self.respond(head, answer, attempt, target.address),
                Err(result) => {
                    let finish = attempt.end(result);
                    decision = self.gate.fail(finish);
                }
            }
        }
    }

    fn call(&self, req: &Request) -> Result<Call, NotRunReason> {
        let service = req.path().trim_start_matches('/').split('/').next().unwrap_or_default();
        let text = self.text.borrow();
        let default_deadline = text.services.get(service).ok_or(NotRunReason::UnknownService)?.deadline;
        let stated = headers::number(req.headers(), &headers::DEADLINE).map(Duration::from_millis);
        let customer = req.headers().get(headers::CUSTOMER).and_then(|value| value.to_str().ok());
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        let method = req.method();
        Ok(Call {
            id,
            service: service.into(),
            customer: customer.unwrap_or(DEFAULT_CUSTOMER).into(),
            idempotent: method.is_idempotent(),
            replayable: method.is_safe(),
            deadline: Instant::now() + stated.unwrap_or(default_deadline).min(default_deadline),
            depth: headers::number(req.headers(), &headers::DEPTH).unwrap_or_default(),
            retry_allowance: req.headers().contains_key(headers::ALLOWANCE),
            upload: !matches!(body_size(req), BodySize::None | BodySize::Sized(0)),
        })
    }

    async fn exchange(
        &self,
        req: &mut Request,
        call: &Call,
        target: &Target,
        attempt: &mut Attempt,
    ) -> Result<(ResponseHead, Body), AttemptResult> {
        let pooled = self.pool.take(target.address, target.fresh);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => Connection::open(target.address).await.map_err(|_| AttemptResult::RefusedBeforeWrite)?,
        };
        let left = call.deadline.saturating_duration_since(Instant::now());
        let head = Rc::new(headers::request_head(req.head(), req.peer_addr(), left, call.depth));
        let size = body_size(req);
        let broken = |_| AttemptResult::BrokenAfterWrite;
        connection.write_head(&head, size).await.map_err(broken)?;
        if !matches!(size, BodySize::None | BodySize::Sized(0)) {
            let mut body = req.take_payload();
            while let Some(chunk) = body.next().await {
                connection.write_chunk(chunk.map_err(|_| AttemptResult::CallerLeft)?).await.map_err(broken)?;
            }
            connection.write_end().await.map_err(broken)?;
        }
        let (head, answer) = match connection.read_head().await {
            Answer::Empty(head, connection) => (head, Body::Empty(connection)),
            Answer::Streamed(head, stream) => (head, Body::Streamed(stream)),
            Answer::Unbounded | Answer::Cut => return Err(AttemptResult::BrokenAfterWrite),
        };
        attempt.report = head.headers.get(LOAD_HEADER).and_then(|value| LoadReport::parse(value.to_str().ok()?));
        Ok((head, answer))
    }

    fn respond(
        &self,
        head: ResponseHead,
        answer: Body,
        mut attempt: Attempt,
        address: SocketAddr,
    ) -> Response<BoxBody> {
        let mut response = Response::new(head.status);
        *response.headers_mut() = headers::end_to_end(&head.headers);
        response.headers_mut().insert(headers::OUTCOME, headers::outcome_value(Outcome::Answered));
        match answer {
            Body::Empty(connection) => {
                if connection.keep_alive() {
                    self.pool.put(address, connection);
                }
                attempt.finish(AttemptResult::Complete);
                response.set_body(BoxBody::new(()))
            }
            Body::Streamed(stream) => {
                let size = headers::number(&head.headers, &header::CONTENT_LENGTH);
                let size = size.map_or(BodySize::Stream, BodySize::Sized);
                let pool = self.pool.clone();
                response.set_body(BoxBody::new(AnswerBody { stream: Some(stream), size, attempt, pool, address }))
            }
        }
    }
}

enum Body {
    Empty(Connection),
    Streamed(crate::connection::AnswerStream),
}

fn body_size(req: &Request) -> BodySize {
    if let Some(length) = headers::number(req.headers(), &header::CONTENT_LENGTH) {
        return BodySize::Sized(length);
    }
    match *req.method() {
        Method::GET | Method::HEAD if !req.headers().contains_key(header::TRANSFER_ENCODING) => BodySize::None,
        _ if req.headers().contains_key(header::TRANSFER_ENCODING) => BodySize::Stream,
        _ => BodySize::None,
    }
}

fn reject(outcome: Outcome, retry_after: Duration) -> Response<BoxBody> {
    let status = StatusCode::from_u16(outcome.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(status);
    response.headers_mut().insert(headers::OUTCOME, headers::outcome_value(outcome));
    let seconds = retry_after.as_millis().div_ceil(1_000) as u64;
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    if matches!(outcome, Outcome::Unknown(UnknownReason::BadAnswer)) {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    let body = format!("{}\n", outcome.header_value());
    response.set_body(BoxBody::new(body))
}
