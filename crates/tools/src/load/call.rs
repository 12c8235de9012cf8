//! One call: its request, its answer and what is learned from it.

use {
    super::{
        connection::{Connection, End, Idle},
        outcome::{CallOutcome, FaultKind},
        pacer::Due,
        worker::Worker,
    },
    crate::{
        content::{Content, ContentStatus},
        headers,
    },
    actix_http::{
        Method, RequestHead, ResponseHead, Uri,
        body::BodySize,
        header::{self, HeaderName, HeaderValue},
    },
    bytes::Bytes,
    std::net::SocketAddr,
};

/// Name of the response header that carries the outcome.
const OUTCOME: &str = hemlockford_core::outcome::OUTCOME_HEADER;

/// The request of one call with what its answer must be.
pub(super) struct Call {
    target: SocketAddr,
    method: Method,
    head: RequestHead,
    size: BodySize,
    body: Bytes,
    expected: Content,
}

impl Call {
    /// Makes the call of an arrival.
    pub(super) fn new(worker: &Worker, due: &Due, request: &str) -> Self {
        let options = &worker.options;
        let number = due.arrival.number;
        let target = options.targets[number as usize % options.targets.len()];
        let method = worker.methods[due.arrival.method].clone();
        let path = format!("/{}/{request}", options.service);
        let mut head = RequestHead::default();
        head.method = method.clone();
        head.uri = path.parse::<Uri>().unwrap_or_default();
        let mut insert = |name: HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                head.headers.insert(name, value);
            }
        };
        insert(header::HOST, &target.to_string());
        insert(headers::REQUEST, request);
        insert(headers::ANSWER_BYTES, &options.answer_bytes.to_string());
        if let Some(name) = &options.customers[due.arrival.customer].name {
            insert(headers::CUSTOMER, name);
        }
        if let Some(deadline) = options.deadline {
            insert(headers::DEADLINE, &deadline.as_millis().to_string());
        }
        if options.send_idempotency_keys && !method.is_idempotent() {
            insert(headers::IDEMPOTENCY_KEY, request);
        }
        let is_upload = ![Method::GET, Method::HEAD, Method::DELETE].contains(&method) && options.upload_bytes > 0;
        let (size, body) = if is_upload {
            insert(headers::UPLOAD_BYTES, &options.upload_bytes.to_string());
            let body = Content::new(&path, request, options.upload_bytes).into_bytes();
            let size = if options.chunked { BodySize::Stream } else { BodySize::Sized(body.len() as u64) };
            (size, body.into())
        } else {
            (BodySize::None, Bytes::new())
        };
        Self { target, method, head, size, body, expected: Content::new(&path, request, options.answer_bytes) }
    }

    /// Sends the call and reads its answer.
    pub(super) async fn run(self, worker: &Worker) -> CallOutcome {
        let mut connection = match self.take(worker).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome,
        };
        let Self { target, method, head, size, body, mut expected } = self;
        let written = connection.write(head, size, body, worker.options.chunk_bytes).await;
        // A server may answer and close before it has read the whole request, so that the answer is read
        // even when the request could not be written to its end.
        let Some(head) = connection.read_head().await else {
            let reason = if written.is_err() { "broken-request" } else { "no-answer" };
            return CallOutcome::Unknown(reason.into());
        };
        let is_checked = head.status.is_success() && method != Method::HEAD;
        let end = connection.read_body(|part| {
            if is_checked {
                expected.compare(part);
            }
        });
        let End::Whole(connection) = end.await else { return CallOutcome::Unknown("cut-off".into()) };
        if let Some(connection) = connection.filter(|_| written.is_ok()) {
            worker.put(target, connection);
        }
        let executions = text(&head, &headers::EXECUTION).and_then(|value| value.parse().ok()).unwrap_or(1);
        match expected.status() {
            ContentStatus::Mismatched if is_checked => CallOutcome::Fault(FaultKind::Wrong),
            ContentStatus::Incomplete if is_checked => CallOutcome::Fault(FaultKind::Partial),
            _ if executions > 1_u32 && !method.is_idempotent() => CallOutcome::Fault(FaultKind::Repeated),
            _ => classify(&head),
        }
    }

    async fn take(&self, worker: &Worker) -> Result<Connection, CallOutcome> {
        while let Some(mut connection) = worker.take(self.target) {
            match connection.idle() {
                Idle::Open => return Ok(connection),
                Idle::Closed => {}
                // The bytes can only be a second answer to an earlier request.
                Idle::Unasked => return Err(CallOutcome::Fault(FaultKind::Repeated)),
            }
        }
        Connection::open(self.target).await.map_err(|_| CallOutcome::NotRun("no-connection".into()))
    }
}

/// Returns what the head of a whole answer says.
fn classify(head: &ResponseHead) -> CallOutcome {
    if head.headers.contains_key(headers::SHED) {
        return CallOutcome::NotRun("shed".into());
    }
    let outcome = text(head, &HeaderName::from_static(OUTCOME)).unwrap_or("answered");
    match outcome.split_once("; ") {
        Some(("not-run", reason)) => CallOutcome::NotRun(reason.into()),
        Some(("unknown", reason)) => CallOutcome::Unknown(reason.into()),
        _ => CallOutcome::Answered(head.status.as_u16()),
    }
}

fn text<'a>(head: &'a ResponseHead, name: &HeaderName) -> Option<&'a str> {
    head.headers.get(name)?.to_str().ok()
}
