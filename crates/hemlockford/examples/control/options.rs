//! Command-line options.

use {gumdrop::Options, std::path::PathBuf};

#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "idle, leave, change or restart; may be repeated, all by default", no_short)]
    pub part: Vec<String>,
    #[options(help = "duration of the measurement of the idle cost in seconds", default = "10", no_short)]
    pub seconds: u64,
    #[options(help = "number of changes to measure", default = "50", no_short)]
    pub changes: usize,
    #[options(help = "number of servers that leave", default = "10", no_short)]
    pub leaves: usize,
    #[options(help = "number of changes before the restarts", default = "1000", no_short)]
    pub history: u64,
    #[options(help = "number of restarts of each instance", default = "3", no_short)]
    pub restarts: usize,
    #[options(help = "CSV file to write the rows to", no_short, meta = "FILE")]
    pub out: Option<PathBuf>,
}

impl Arguments {
    /// Returns whether a part is to be measured.
    pub fn includes(&self, part: &str) -> bool {
        self.part.is_empty() || self.part.iter().any(|selected| selected == part)
    }
}
