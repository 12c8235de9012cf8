//! The interface of a platform that stand-in servers imitate.

use {
    crate::quantity::parse_time,
    actix_http::header::HeaderName,
    std::{str::FromStr, time::Duration},
};

/// What stand-in servers do beyond the product's own interface. All of it is off by default.
#[derive(Clone, Debug, Default)]
pub struct ServerInterface {
    /// Request header that every answer repeats.
    pub request_id_header: Option<HeaderName>,
    /// Request header that names the server which is meant; any other server answers 421 and runs nothing.
    pub expected_server_header: Option<HeaderName>,
    /// Request header with the milliseconds that are left, in place of the product's own.
    pub deadline_header: Option<HeaderName>,
    /// Header that marks a rejection: the request did not run and never will.
    pub not_run_header: Option<HeaderName>,
    /// Header of every answer with the load as `running,waiting,slots,pace`.
    pub load_header: Option<HeaderName>,
    /// Whether the pace of work changes every 300 ms.
    pub varies_pace: bool,
    /// Calls that may wait for a slot; more are rejected.
    pub queue_limit: Option<u32>,
    /// Time after which an idle connection is closed, named in `keep-alive: timeout=N` in whole seconds.
    pub idle_timeout: Option<Duration>,
    /// Path that answers at once, without taking a slot.
    pub health_path: Option<Box<str>>,
    /// Part of the answers that are sent once more, before the next answer on their connection.
    pub duplicate_answer_share: f64,
    /// Part of the answers without a length, which end with their connection.
    pub close_delimited_share: f64,
}

impl ServerInterface {
    /// Applies abilities, as the `--interface` option writes them.
    ///
    /// ```
    /// use hemlockford_tools::emulate::ServerInterface;
    /// let mut interface = ServerInterface::default();
    /// interface.apply("request-id=x-id&queue=4&keep-alive=10s&without-length=0.1").unwrap();
    /// assert_eq!((interface.queue_limit, interface.close_delimited_share), (Some(4), 0.1));
    /// assert!(interface.apply("queue=long").is_err());
    /// assert!(interface.apply("colour=red").is_err());
    /// ```
    pub fn apply(&mut self, query: &str) -> Result<(), String> {
        for pair in query.split('&') {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            match key {
                "request-id" => self.request_id_header = Some(parse(key, value)?),
                "expected-server" => self.expected_server_header = Some(parse(key, value)?),
                "deadline" => self.deadline_header = Some(parse(key, value)?),
                "not-run" => self.not_run_header = Some(parse(key, value)?),
                "load" => self.load_header = Some(parse(key, value)?),
                "pace" if value.is_empty() => self.varies_pace = true,
                "queue" => self.queue_limit = Some(parse(key, value)?),
                "keep-alive" => self.idle_timeout = Some(parse_time(value)?),
                "health" if value.starts_with('/') => self.health_path = Some(value.into()),
                "second-answers" => self.duplicate_answer_share = share(key, value)?,
                "without-length" => self.close_delimited_share = share(key, value)?,
                "pace" | "health" => return Err(format!("{key}: '{value}' is not a value of it")),
                _ => {
                    return Err(format!(
                        "'{key}' is none of request-id, expected-server, deadline, not-run, load, pace, queue, \
                         keep-alive, health, second-answers, without-length"
                    ));
                }
            }
        }
        Ok(())
    }
}

fn parse<T: FromStr>(key: &str, value: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("{key}: '{value}' is not a value of it"))
}

fn share(key: &str, value: &str) -> Result<f64, String> {
    let share = parse(key, value)?;
    if (0.0..=1.0).contains(&share) { Ok(share) } else { Err(format!("{key}: '{value}' is not from 0 to 1")) }
}
