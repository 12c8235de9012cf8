//! Options of the program.

use {gumdrop::Options, std::path::PathBuf};

#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print this help")]
    pub help: bool,
    #[options(help = "idle, leave, change or restart; may be repeated, all by default", no_short)]
    pub part: Vec<String>,
    #[options(help = "seconds for which the idle cost is measured", default = "10", no_short)]
    pub seconds: u64,
    #[options(help = "changes whose time to be in force is measured", default = "50", no_short)]
    pub changes: usize,
    #[options(help = "servers that leave", default = "10", no_short)]
    pub leaves: usize,
    #[options(help = "changes before the restarts", default = "1000", no_short)]
    pub history: u64,
    #[options(help = "restarts of each instance", default = "3", no_short)]
    pub restarts: usize,
    #[options(help = "file that the rows are written to as CSV", no_short, meta = "FILE")]
    pub out: Option<PathBuf>,
}

impl Arguments {
    /// Returns whether a part is measured.
    pub fn includes(&self, part: &str) -> bool {
        self.part.is_empty() || self.part.iter().any(|chosen| chosen == part)
    }
}
