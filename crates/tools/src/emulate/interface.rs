//! Server interface of a platform, which stand-in servers can imitate.

use {
    crate::quantity::parse_time,
    actix_http::header::HeaderName,
    std::{str::FromStr, time::Duration},
};

/// Features of stand-in servers beyond the interface of Hemlockford itself, all disabled by default.
#[derive(Clone, Debug, Default)]
pub struct ServerInterface {
    /// Request header whose value every answer repeats.
    pub request_id_header: Option<HeaderName>,
    /// Request header with the name of the intended server; any other server answers 421 and does not run the call.
    pub expected_server_header: Option<HeaderName>,
    /// Request header with the remaining milliseconds, instead of the deadline header of Hemlockford.
    pub deadline_header: Option<HeaderName>,
    /// Response header of a rejection, which guarantees that the request was not and will not be executed.
    pub not_run_header: Option<HeaderName>,
    /// Response header by which a server states that it is leaving.
    pub leaving_header: Option<HeaderName>,
    /// Response header of every answer, with the load as `running,waiting,slots,pace`.
    pub load_header: Option<HeaderName>,
    /// Whether the pace at which calls run changes every 300 ms.
    pub varies_pace: bool,
    /// Maximum number of calls that wait for a slot; further calls are rejected.
    pub queue_limit: Option<u32>,
    /// Time after which an idle connection is closed, announced in whole seconds as `keep-alive: timeout=N`.
    pub idle_timeout: Option<Duration>,
    /// Path of the health check, which is answered without taking a slot.
    pub health_path: Option<Box<str>>,
    /// Share of the answers that are sent a second time, before the next answer on the same connection.
    pub duplicate_answer_share: f64,
    /// Share of the answers that have no content length and are delimited by the end of the connection.
    pub close_delimited_share: f64,
}

impl ServerInterface {
    /// Enables features in the syntax of the `--interface` option.
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
                "leaving" => self.leaving_header = Some(parse(key, value)?),
                "load" => self.load_header = Some(parse(key, value)?),
                "pace" if value.is_empty() => self.varies_pace = true,
                "queue" => self.queue_limit = Some(parse(key, value)?),
                "keep-alive" => self.idle_timeout = Some(parse_time(value)?),
                "health" if value.starts_with('/') => self.health_path = Some(value.into()),
                "second-answers" => self.duplicate_answer_share = parse_share(key, value)?,
                "without-length" => self.close_delimited_share = parse_share(key, value)?,
                "pace" | "health" => return Err(format!("{key}: invalid value '{value}'")),
                _ => {
                    return Err(format!(
                        "unknown feature '{key}'; expected one of request-id, expected-server, deadline, not-run, \
                         leaving, load, pace, queue, keep-alive, health, second-answers, without-length"
                    ));
                }
            }
        }
        Ok(())
    }
}

fn parse<T: FromStr>(key: &str, value: &str) -> Result<T, String> {
    value.parse().map_err(|_| format!("{key}: invalid value '{value}'"))
}

fn parse_share(key: &str, value: &str) -> Result<f64, String> {
    let share = parse(key, value)?;
    if (0.0..=1.0).contains(&share) { Ok(share) } else { Err(format!("{key}: '{value}' is not a number from 0 to 1")) }
}
