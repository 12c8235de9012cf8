//! Measured runs of an entry process under load.

use {
    super::Slope,
    std::{cmp::Ordering, str::FromStr},
};

/// Resource usage of an entry process during one run of `hemlockford load`, as counted by the kernel.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryRun {
    /// Rate in calls per second.
    pub rate: f64,
    /// Processor time of all threads per second of the run, in milliseconds.
    pub processor_ms: f64,
    /// Resident memory at the end of the run, in KB.
    pub resident_kb: f64,
}

impl FromStr for EntryRun {
    type Err = String;

    /// Parses `RATE:MS:KB`.
    ///
    /// ```
    /// use hemlockford_tools::slopes::EntryRun;
    /// let run: EntryRun = "1000:61.5:9000".parse().unwrap();
    /// assert_eq!((run.rate, run.processor_ms, run.resident_kb), (1_000.0, 61.5, 9_000.0));
    /// assert!("1000:x:1".parse::<EntryRun>().is_err());
    /// assert!("0:61.5:9000".parse::<EntryRun>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<Self, String> {
        let numbers: Option<Vec<f64>> = text.split(':').map(|part| part.parse().ok()).collect();
        match numbers.as_deref() {
            Some([rate, processor_ms, resident_kb]) if *rate > 0.0 => {
                Ok(Self { rate: *rate, processor_ms: *processor_ms, resident_kb: *resident_kb })
            }
            _ => Err(format!("'{text}' is not of the form RATE:MS:KB")),
        }
    }
}

/// Returns the processor time and memory of an entry by the rate of calls. For each rate, these are the runs with the
/// least and with the most processor time. Other load on the machine can only increase it.
pub(super) fn slope(runs: &[EntryRun]) -> Slope {
    let mut slope = Slope::new(
        "entry",
        "One entry process under load",
        "calls/s",
        &["processor us of a call", "share of a core in %", "resident KB"],
    );
    let mut runs = runs.to_vec();
    runs.sort_by(|a, b| (a.rate, a.processor_ms).partial_cmp(&(b.rate, b.processor_ms)).unwrap_or(Ordering::Equal));
    let runs_by_rate: Vec<&[EntryRun]> = runs.chunk_by(|a, b| a.rate == b.rate).collect();
    for (line, is_least) in [("least of all runs", true), ("most of all runs", false)] {
        for run in runs_by_rate.iter().filter_map(|runs| if is_least { runs.first() } else { runs.last() }) {
            let (rate, processor) = (run.rate, run.processor_ms);
            slope.push(line, rate, &[processor * 1e3 / rate, processor / 10.0, run.resident_kb]);
        }
    }
    slope
}
