//! Steps of a script.

use {
    super::{MessageKind, RuleEffect},
    hemlockford_core::{dispatch::ServerState, units::parse_duration},
    std::{collections::BTreeMap, time::Duration},
};

/// Step of a script with its line number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Line number, starting at 1.
    pub line: usize,
    /// Name of the step.
    pub verb: Box<str>,
    /// Positional arguments.
    pub words: Vec<Box<str>>,
    /// Named arguments.
    pub named: BTreeMap<Box<str>, Box<str>>,
}

impl Step {
    /// Parses a script, skipping comments and empty lines.
    ///
    /// ```
    /// use hemlockford_scenario::script::Step;
    /// let steps = Step::parse_all("# comment\nsubmit e1 number=2 text=a\n");
    /// assert_eq!((steps[0].line, &*steps[0].verb), (2, "submit"));
    /// assert_eq!(steps[0].named["number"], "2".into());
    /// ```
    pub fn parse_all(source: &str) -> Vec<Self> {
        let lines = source.lines().enumerate();
        lines.filter_map(|(index, line)| Self::parse(index + 1, line)).collect()
    }

    fn parse(line: usize, source: &str) -> Option<Self> {
        let source = source.split('#').next().unwrap_or_default();
        let mut parts = source.split_whitespace();
        let verb = parts.next()?.into();
        let (mut words, mut named) = (Vec::new(), BTreeMap::new());
        for part in parts {
            match part.split_once('=') {
                Some((name, value)) => {
                    named.insert(name.into(), value.into());
                }
                None => words.push(part.into()),
            }
        }
        Some(Self { line, verb, words, named })
    }

    /// Returns a named argument.
    pub fn named(&self, name: &str) -> Option<&str> {
        self.named.get(name).map(|value| &**value)
    }

    /// Returns a required named argument.
    pub fn required(&self, name: &str) -> Result<&str, String> {
        self.named(name).ok_or_else(|| format!("{name}= is missing"))
    }

    /// Returns a positional argument.
    pub fn word(&self, index: usize) -> Result<&str, String> {
        self.words.get(index).map(|word| &**word).ok_or_else(|| format!("argument {} is missing", index + 1))
    }

    /// Returns a required named argument as a number.
    pub fn number(&self, name: &str) -> Result<u64, String> {
        self.required(name)?.parse().map_err(|_| format!("{name}= must be a whole number"))
    }

    /// Parses a duration.
    pub fn duration(text: &str) -> Result<Duration, String> {
        parse_duration(text).ok_or_else(|| format!("{text} is not a duration such as 2s"))
    }

    /// Returns the server state; the default is `ready`.
    pub fn server_state(&self) -> Result<ServerState, String> {
        Ok(match self.named("state").unwrap_or("ready") {
            "starting" => ServerState::Starting,
            "ready" => ServerState::Ready,
            "draining" => ServerState::Draining,
            "leaving" => ServerState::Leaving,
            other => return Err(format!("unknown server state {other}")),
        })
    }

    /// Returns the message kind; `None` if all kinds are meant.
    pub fn kind(&self) -> Result<Option<MessageKind>, String> {
        let Some(name) = self.named("kind") else { return Ok(None) };
        MessageKind::parse(name).map(Some).ok_or_else(|| format!("unknown message kind {name}"))
    }

    /// Returns the effect of the rule that the step defines.
    pub fn effect(&self) -> Result<RuleEffect, String> {
        let by = || Ok::<_, String>(Self::duration(self.required("by")?)?.as_millis() as u64);
        Ok(match &*self.verb {
            "drop" => RuleEffect::Drop,
            "delay" => RuleEffect::Delay(by()?),
            _ => RuleEffect::Duplicate(by()?),
        })
    }
}
