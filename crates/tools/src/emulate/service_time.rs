//! Distribution of service times.

use {
    crate::quantity::parse_time,
    rand::{Rng, RngExt},
    std::{f64::consts::TAU, str::FromStr, time::Duration},
};

/// Distribution of the time that a call takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// The same time for every call.
    Constant(Duration),
    /// Exponential distribution with the given mean.
    Exponential(Duration),
    /// Lognormal distribution with the given mean and standard deviation of the logarithm.
    Lognormal(Duration, f64),
}

/// Default standard deviation of the natural logarithm, with which the 99th percentile is 2.8 times the mean.
const DEFAULT_SIGMA: f64 = 0.5;

impl ServiceTime {
    /// Samples the time of one call.
    pub fn sample(&self, rng: &mut impl Rng) -> Duration {
        match *self {
            Self::Constant(mean) => mean,
            Self::Exponential(mean) => mean.mul_f64(exponential(rng)),
            Self::Lognormal(mean, sigma) => {
                // Box-Muller transform. The first random number is kept above zero, because the logarithm of zero is
                // infinite.
                let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
                let normal = radius * (TAU * rng.random::<f64>()).cos();
                mean.mul_f64((sigma * normal - sigma * sigma / 2.0).exp())
            }
        }
    }
}

/// Samples the exponential distribution with mean 1.
pub(crate) fn exponential(rng: &mut impl Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

impl FromStr for ServiceTime {
    type Err = String;

    /// Parses `constant:5ms` (or just `5ms`), `exponential:5ms`, `lognormal:5ms` or `lognormal:5ms:0.8`.
    fn from_str(text: &str) -> Result<Self, String> {
        let mut parts = text.split(':');
        let (name, mean, sigma) = (parts.next().unwrap_or_default(), parts.next(), parts.next());
        match (name, mean, sigma, parts.next()) {
            (mean, None, None, None) => parse_time(mean).map(Self::Constant),
            ("constant", Some(mean), None, None) => parse_time(mean).map(Self::Constant),
            ("exponential", Some(mean), None, None) => parse_time(mean).map(Self::Exponential),
            ("lognormal", Some(mean), sigma, None) => {
                let sigma = sigma.map_or(Ok(DEFAULT_SIGMA), |sigma| sigma.parse().map_err(|_| sigma));
                match sigma {
                    Ok(sigma) if (0.0..=3.0).contains(&sigma) => Ok(Self::Lognormal(parse_time(mean)?, sigma)),
                    _ => Err(format!("'{text}': the standard deviation must be a number from 0 to 3")),
                }
            }
            _ => Err(format!(
                "'{text}' is not a service time such as 5ms, constant:5ms, exponential:5ms or lognormal:5ms:0.5"
            )),
        }
    }
}
