//! What a stand-in server does differently from a good one, switchable while it runs.

use {hemlockford_core::dispatch::ServerState, serde::Serialize};

/// What a stand-in server does; modes add up until `normal` clears them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Behaviour {
    /// State that it announces. It runs what it is sent in any state.
    pub state: ServerState,
    /// Factor of the service time.
    pub factor: f64,
    /// Whether it answers 500 at once.
    pub fail_fast: bool,
    /// Waiting calls from which on it refuses new ones.
    pub shed: Option<u32>,
    /// Where it cuts its answers off.
    pub cut: Option<Cut>,
    /// Whether its answers are chunked instead of having a length.
    pub chunked: bool,
    /// Whether it never answers.
    pub hung: bool,
    /// Whether its announcements are lost.
    pub silent: bool,
    /// What it reports as its load.
    pub report: Report,
    /// Whether it is down as after a crash: no listener, no connection, no announcement.
    pub down: bool,
}

/// How an answer is cut off half way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Cut {
    /// Before the end of its stated length.
    Length,
    /// Before the last chunk.
    Chunked,
    /// Before its head.
    Head,
}

/// What a server reports as the number of its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Report {
    /// The truth.
    Honest,
    /// The truth as it was up to this number of milliseconds ago.
    LagMs(u64),
    /// Always this number.
    Fixed(u32),
    /// Nothing.
    Absent,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            state: ServerState::Ready,
            factor: 1.0,
            fail_fast: false,
            shed: None,
            cut: None,
            chunked: false,
            hung: false,
            silent: false,
            report: Report::Honest,
            down: false,
        }
    }
}

impl Behaviour {
    /// Applies a mode, as the query of the control listener or the `--mode` option writes it.
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
            "shed" => self.shed = Some(number("bound", value("bound").unwrap_or("0"))?),
            "cut" => {
                self.cut = Some(match value("body").unwrap_or("length") {
                    "length" => Cut::Length,
                    "chunked" => Cut::Chunked,
                    "head" => Cut::Head,
                    other => return Err(format!("body: '{other}' is none of length, chunked, head")),
                });
            }
            "chunked" => self.chunked = true,
            "hung" => self.hung = true,
            "silent" => self.silent = true,
            "crash" => self.down = true,
            "report" => {
                self.report = match (value("fixed"), value("lag-ms")) {
                    (Some(fixed), None) => Report::Fixed(number("fixed", fixed)?),
                    (None, Some(lag)) => Report::LagMs(number("lag-ms", lag)?),
                    (None, None) => Report::Absent,
                    (Some(_), Some(_)) => return Err("fixed and lag-ms exclude each other".into()),
                };
            }
            other => {
                return Err(format!(
                    "mode '{other}' is none of normal, starting, ready, draining, leaving, straggler, fail-fast, \
                     shed, cut, chunked, hung, silent, report, crash, restart"
                ));
            }
        }
        Ok(())
    }
}

fn number<T: std::str::FromStr>(key: &str, text: &str) -> Result<T, String> {
    text.parse().map_err(|_| format!("{key}: '{text}' is not a number"))
}
