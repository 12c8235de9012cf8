//! Formats in which servers report their load.

use hemlockford_core::dispatch::{LoadReport, NOMINAL_PACE};

/// Format in which servers report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadFormat {
    /// `in_flight/slots`.
    #[default]
    InFlight,
    /// The list `running,waiting,slots,pace`. `,pace` is optional and defaults to 100.
    List,
}

impl LoadFormat {
    /// Parses a report; `None` if it does not have this format.
    ///
    /// ```
    /// use {hemlockford_core::dispatch::LoadReport, hemlockford_proxy::LoadFormat};
    /// let report = LoadReport { in_flight: 3, slots: 2, pace: 150 };
    /// assert_eq!(LoadFormat::List.parse("2, 1, 2, 150"), Some(report));
    /// assert_eq!(LoadFormat::List.parse("2,1,2"), Some(LoadReport { pace: 100, ..report }));
    /// assert_eq!(LoadFormat::InFlight.parse("3/2").map(|report| report.slots), Some(2));
    /// ```
    pub fn parse(self, text: &str) -> Option<LoadReport> {
        if self == Self::InFlight {
            return LoadReport::parse(text);
        }
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
        let mut next = || numbers.next().flatten();
        let (running, waiting, slots) = (next()?, next()?, next()?);
        let pace = numbers.next().unwrap_or(Some(NOMINAL_PACE))?;
        let report = LoadReport { in_flight: running.saturating_add(waiting), slots, pace };
        numbers.next().is_none().then_some(report)
    }
}
