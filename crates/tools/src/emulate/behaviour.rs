//! Faulty and unusual behaviour of a stand-in server, which can be switched at run time.

use {hemlockford_core::dispatch::ServerState, serde::Serialize};

/// Behaviour of a stand-in server. Modes are cumulative until `normal` resets all of them except the announced state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Behaviour {
    /// State that the server announces; it serves calls in every state.
    pub state: ServerState,
    /// Factor applied to the service time.
    pub factor: f64,
    /// Whether every call is answered at once with status 500.
    pub fail_fast: bool,
    /// Number of waiting calls at which further calls are rejected.
    pub shed: Option<u32>,
    /// Seconds after which the server wants further calls, stated in its rejections.
    pub retry_after: Option<f64>,
    /// Number of waiting calls at which further calls, and all later ones on their connections, are never answered.
    pub hang_when_full: Option<u32>,
    /// Whether every answer states that the server is leaving.
    pub says_leaving: bool,
    /// Where answers are truncated.
    pub cut: Option<Truncation>,
    /// Which part of an answer has no end.
    pub endless: Option<EndlessPart>,
    /// Whether answers use chunked encoding instead of a content length.
    pub chunked: bool,
    /// Whether calls are accepted but never answered.
    pub hung: bool,
    /// Whether announcements are suppressed.
    pub silent: bool,
    /// How the server reports its load.
    pub report: LoadReporting,
    /// Whether the server is down as after a crash: no listener, no connections and no announcements.
    pub down: bool,
}

/// Where an answer is truncated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Truncation {
    /// Before the end given by its content length.
    Length,
    /// Before the last chunk.
    Chunked,
    /// Before the response head is sent.
    Head,
}

/// The part of an answer that has no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EndlessPart {
    /// A header of the answer.
    Head,
    /// The body, in chunks.
    Body,
}

/// How a server reports its number of active calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LoadReporting {
    /// The actual number.
    Honest,
    /// A number that may be out of date by up to this many milliseconds.
    LagMs(u64),
    /// A fixed number.
    Fixed(u32),
    /// No report.
    Absent,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            state: ServerState::Ready,
            factor: 1.0,
            fail_fast: false,
            shed: None,
            retry_after: None,
            hang_when_full: None,
            says_leaving: false,
            cut: None,
            endless: None,
            chunked: false,
            hung: false,
            silent: false,
            report: LoadReporting::Honest,
            down: false,
        }
    }
}

impl Behaviour {
    /// Applies a mode in the syntax of the control listener's query and of the `--mode` option.
    ///
    /// ```
    /// use hemlockford_tools::emulate::Behaviour;
    /// let mut behaviour = Behaviour::default();
    /// behaviour.apply("mode=straggler&factor=10").unwrap();
    /// assert_eq!(behaviour.factor, 10.0);
    /// assert!(behaviour.apply("mode=straggler&factor=fast").is_err());
    /// behaviour.apply("mode=normal").unwrap();
    /// assert_eq!(behaviour, Behaviour::default());
    /// ```
    pub fn apply(&mut self, query: &str) -> Result<(), String> {
        let value = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(name, _)| *name == key).map(|(_, value)| value)
        };
        match value("mode").unwrap_or_default() {
            "normal" => *self = Self { state: self.state, ..Self::default() },
            "starting" => self.state = ServerState::Starting,
            "ready" => self.state = ServerState::Ready,
            "draining" => self.state = ServerState::Draining,
            "leaving" => self.state = ServerState::Leaving,
            "straggler" => {
                let factor: f64 = number("factor", value("factor").unwrap_or("10"))?;
                if !(0.0..=1e6).contains(&factor) {
                    return Err("factor: expected a number from 0 to 1000000".into());
                }
                self.factor = factor;
            }
            "fail-fast" => self.fail_fast = true,
            "shed" => {
                let retry_after = value("retry-after").map(|seconds| number("retry-after", seconds)).transpose()?;
                if retry_after.is_some_and(|seconds: f64| !(0.0..=1e6).contains(&seconds)) {
                    return Err("retry-after: expected a number of seconds from 0 to 1000000".into());
                }
                self.shed = Some(number("bound", value("bound").unwrap_or("0"))?);
                self.retry_after = retry_after;
            }
            "hang-when-full" => self.hang_when_full = Some(number("bound", value("bound").unwrap_or("0"))?),
            "says-leaving" => self.says_leaving = true,
            "endless" => {
                self.endless = Some(match value("part").unwrap_or("body") {
                    "head" => EndlessPart::Head,
                    "body" => EndlessPart::Body,
                    other => return Err(format!("part: '{other}' is none of head, body")),
                });
            }
            "cut" => {
                self.cut = Some(match value("body").unwrap_or("length") {
                    "length" => Truncation::Length,
                    "chunked" => Truncation::Chunked,
                    "head" => Truncation::Head,
                    other => return Err(format!("body: '{other}' is none of length, chunked, head")),
                });
            }
            "chunked" => self.chunked = true,
            "hung" => self.hung = true,
            "silent" => self.silent = true,
            "crash" => self.down = true,
            "report" => {
                self.report = match (value("fixed"), value("lag-ms")) {
                    (Some(fixed), None) => LoadReporting::Fixed(number("fixed", fixed)?),
                    (None, Some(lag)) => LoadReporting::LagMs(number("lag-ms", lag)?),
                    (None, None) => LoadReporting::Absent,
                    (Some(_), Some(_)) => return Err("fixed and lag-ms exclude each other".into()),
                };
            }
            other => {
                return Err(format!(
                    "mode '{other}' is none of normal, starting, ready, draining, leaving, straggler, fail-fast, \
                     shed, hang-when-full, says-leaving, cut, endless, chunked, hung, silent, report, crash, restart"
                ));
            }
        }
        Ok(())
    }
}

fn number<T: std::str::FromStr>(key: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{key}: '{text}' is not a number"))
}
