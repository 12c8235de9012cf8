//! A call of the load generator: sends the request and classifies the answer.

use {
    super::{
        connection::{BodyEnd, Connection, IdleState},
        outcome::{CallOutcome, FaultKind},
        pacer::DueCall,
        pipeline::{Answer, MissingAnswer, PipelinedConnection},
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
    std::{net::SocketAddr, rc::Rc},
};

/// Name of the response header with the outcome of a call.
const OUTCOME: &str = hemlockford_core::outcome::OUTCOME_HEADER;

/// A request with the content that its answer must have.
pub(super) struct Call {
    target: SocketAddr,
    method: Method,
    head: RequestHead,
    size: BodySize,
    body: Bytes,
    expected_content: Content,
}

impl Call {
    /// Creates the call of an arrival.
    pub(super) fn new(worker: &Worker, due: &DueCall, request_id: &str) -> Self {
        let options = &worker.options;
        let number = due.arrival.number;
        let target = options.targets[number as usize % options.targets.len()];
        let method = worker.methods[due.arrival.method].clone();
        let path = format!("/{}/{request_id}", options.service);
        let mut head = RequestHead::default();
        head.method = method.clone();
        head.uri = path.parse::<Uri>().unwrap_or_default();
        let mut insert = |name: HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::from_str(value) {
                head.headers.insert(name, value);
            }
        };
        insert(header::HOST, &target.to_string());
        insert(headers::REQUEST, request_id);
        insert(headers::ANSWER_BYTES, &options.answer_bytes.to_string());
        if let Some(name) = &options.customers[due.arrival.customer].name {
            insert(headers::CUSTOMER, name);
        }
        if let Some(deadline) = options.deadline {
            insert(headers::DEADLINE, &deadline.as_millis().to_string());
        }
        if options.send_idempotency_keys && !method.is_idempotent() {
            insert(headers::IDEMPOTENCY_KEY, request_id);
        }
        let is_upload = ![Method::GET, Method::HEAD, Method::DELETE].contains(&method) && options.upload_bytes > 0;
        let (size, body) = if is_upload {
            insert(headers::UPLOAD_BYTES, &options.upload_bytes.to_string());
            let body = Content::new(&path, request_id, options.upload_bytes).into_bytes();
            let size = if options.chunked { BodySize::Stream } else { BodySize::Sized(body.len() as u64) };
            (size, body.into())
        } else {
            (BodySize::None, Bytes::new())
        };
        Self {
            target,
            method,
            head,
            size,
            body,
            expected_content: Content::new(&path, request_id, options.answer_bytes),
        }
    }

    /// Sends the call and reads its answer.
    pub(super) async fn run(self, worker: &Worker) -> CallOutcome {
        if worker.options.pipeline > 1 && self.method == Method::GET {
            return self.run_pipelined(worker).await;
        }
        let mut connection = match self.connect(worker).await {
            Ok(connection) => connection,
            Err(outcome) => return outcome,
        };
        let Self { target, method, head, size, body, mut expected_content } = self;
        let written = connection.write(head, size, body, worker.options.chunk_bytes).await;
        // A server may answer and close the connection before it has read the whole request, so the answer is read even
        // if writing the request failed.
        let Some(head) = connection.read_head().await else {
            let reason = if written.is_err() { "broken-request" } else { "no-answer" };
            return CallOutcome::Unknown(reason.into());
        };
        let is_checked = head.status.is_success() && method != Method::HEAD;
        let body_end = connection.read_body(|part| {
            if is_checked {
                expected_content.compare(part);
            }
        });
        let BodyEnd::Complete(connection) = body_end.await else { return CallOutcome::Unknown("cut-off".into()) };
        if let Some(connection) = connection.filter(|_| written.is_ok()) {
            worker.release(target, connection);
        }
        let executions = text(&head, &headers::EXECUTION).and_then(|value| value.parse().ok()).unwrap_or(1);
        match expected_content.status() {
            _ if executions > 1_u32 && !method.is_idempotent() => CallOutcome::Fault(FaultKind::Repeated),
            status => outcome(&head, status, is_checked),
        }
    }

    /// Sends the call on a connection with others in progress and reads its answer.
    async fn run_pipelined(self, worker: &Worker) -> CallOutcome {
        let Self { target, head, mut expected_content, .. } = self;
        let connection = match worker.pipelined(target) {
            Some(connection) => connection,
            None => match PipelinedConnection::open(target).await {
                Ok(connection) => {
                    let connection = Rc::new(connection);
                    worker.add_pipelined(target, connection.clone());
                    connection
                }
                Err(_) => return CallOutcome::NotRun("no-connection".into()),
            },
        };
        let Ok(answer) = connection.send(head) else { return CallOutcome::Unknown("broken-request".into()) };
        match answer.await {
            Ok(Ok(Answer { head, body })) => {
                let is_checked = head.status.is_success();
                body.iter().filter(|_| is_checked).for_each(|part| expected_content.compare(part));
                outcome(&head, expected_content.status(), is_checked)
            }
            Ok(Err(MissingAnswer::Unread)) => CallOutcome::NotRun("unread".into()),
            Ok(Err(MissingAnswer::Lost)) | Err(_) => CallOutcome::Unknown("no-answer".into()),
        }
    }

    async fn connect(&self, worker: &Worker) -> Result<Connection, CallOutcome> {
        while let Some(mut connection) = worker.take_idle(self.target) {
            match connection.check_idle() {
                IdleState::Open => return Ok(connection),
                IdleState::Closed => {}
                // Unexpected bytes can only be a second answer to an earlier request.
                IdleState::UnexpectedData => return Err(CallOutcome::Fault(FaultKind::Repeated)),
            }
        }
        Connection::open(self.target).await.map_err(|_| CallOutcome::NotRun("no-connection".into()))
    }
}

/// Derives the outcome of a call from a complete answer.
fn outcome(head: &ResponseHead, content: ContentStatus, is_checked: bool) -> CallOutcome {
    match content {
        ContentStatus::Mismatched if is_checked => CallOutcome::Fault(FaultKind::Wrong),
        ContentStatus::Incomplete if is_checked => CallOutcome::Fault(FaultKind::Partial),
        _ => classify(head),
    }
}

/// Derives the outcome of a call from the head of a complete answer.
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
