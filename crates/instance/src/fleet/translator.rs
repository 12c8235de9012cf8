//! Translation of long requests and answers outside of the thread of the instance.
//!
//! A configuration of thousands of routes takes longer to parse or to format than the other replicas wait for a
//! heartbeat. On a machine with a part of a core this would cost the leadership, and the operator's attempts to read the
//! configuration would prevent the next election.

use {
    super::{AdminReply, AdminRequest, PlatformInterface},
    actix_http::Method,
    actix_rt::task::spawn_blocking,
    hemlockford_core::{
        config::{CheckedConfig, LONG_CONFIG_BYTES},
        fleet::{ReplicaAnswer, check_submission},
        ids::ChangeNumber,
    },
    std::sync::Arc,
    tokio::sync::{Mutex, Semaphore},
};

/// The last configuration that was formatted, and its format on the platform.
struct FormattedConfig {
    number: ChangeNumber,
    text: Box<str>,
    reply: AdminReply,
}

/// Translates requests and answers of the admin listener.
#[derive(Clone)]
pub(super) struct Translator {
    interface: Arc<dyn PlatformInterface>,
    /// Limits the memory that long requests take at the same time.
    permits: Arc<Semaphore>,
    /// Held while a configuration is formatted, so that concurrent reads of it format it once.
    formatted: Arc<Mutex<Option<FormattedConfig>>>,
}

impl Translator {
    pub(super) fn new(interface: Arc<dyn PlatformInterface>) -> Self {
        Self { interface, permits: Arc::new(Semaphore::new(1)), formatted: Arc::default() }
    }

    /// Returns the maximum size of the body of a request, if the interface has one of its own.
    pub(super) fn max_body(&self, path: &str) -> Option<usize> {
        self.interface.max_body(path)
    }

    /// Parses a request; returns `None` if the request is not part of the interface.
    pub(super) async fn parse_request(
        &self,
        method: Method,
        path: Box<str>,
        body: Vec<u8>,
    ) -> Option<Result<AdminRequest, AdminReply>> {
        let interface = self.interface.clone();
        let is_long = body.len() >= LONG_CONFIG_BYTES;
        self.run(is_long, move || interface.parse_request(&method, &path, &body)).await?
    }

    /// Checks a submitted configuration. Returns the answer to one that cannot be submitted.
    pub(super) async fn check_submission(&self, text: Box<str>) -> Result<CheckedConfig, ReplicaAnswer> {
        let is_long = text.len() >= LONG_CONFIG_BYTES;
        self.run(is_long, move || check_submission(text)).await.unwrap_or(Err(ReplicaAnswer::Unavailable))
    }

    /// Builds the response for an answer of the replica.
    pub(super) async fn build_reply(&self, answer: ReplicaAnswer) -> AdminReply {
        let ReplicaAnswer::Current { number, text } = answer else { return self.interface.build_reply(answer) };
        let mut formatted = self.formatted.lock().await;
        if let Some(formatted) = &*formatted
            && formatted.number == number
            && formatted.text == text
        {
            return formatted.reply.clone();
        }
        let (interface, copy) = (self.interface.clone(), text.clone());
        let build = move || interface.build_reply(ReplicaAnswer::Current { number, text: copy });
        match self.run(text.len() >= LONG_CONFIG_BYTES, build).await {
            Some(reply) => {
                *formatted = Some(FormattedConfig { number, text, reply: reply.clone() });
                reply
            }
            None => self.interface.build_reply(ReplicaAnswer::Unavailable),
        }
    }

    /// Runs a translation, a long one on another thread. Returns `None` if it was not run to its end.
    async fn run<T: Send + 'static>(&self, is_long: bool, translate: impl FnOnce() -> T + Send + 'static) -> Option<T> {
        if !is_long {
            return Some(translate());
        }
        let _permit = self.permits.acquire().await.ok()?;
        spawn_blocking(translate).await.ok()
    }
}
