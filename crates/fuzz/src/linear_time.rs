//! Check that the run time of a parser is linear in the length of its input.

use std::time::{Duration, Instant};

/// Ratio of the lengths of the two inputs.
const LENGTH_RATIO: u32 = 16;
/// Tolerated slowdown beyond the length ratio, as a factor, to allow for a busy machine. A quadratic parser slows down
/// by 16.
const TOLERANCE: u32 = 5;
/// Number of runs for each input, of which the fastest counts.
const RUNS: usize = 5;
/// Shorter times are rounded up to this before they are compared.
const MIN_COMPARED_TIME: Duration = Duration::from_millis(1);

/// Panics if the run time of a parser grows faster than the length of its input. `generate` returns an input of about
/// the given number of bytes.
///
/// ```
/// hemlockford_fuzz::check_linear_time("sum", 1_000, |bytes| vec![1; bytes], |input| {
///     input.iter().map(|byte| u64::from(*byte)).sum::<u64>();
/// });
/// ```
pub fn check_linear_time(name: &str, bytes: usize, generate: impl Fn(usize) -> Vec<u8>, parse: impl Fn(&[u8])) {
    let time = |input: &[u8]| {
        let run = |_| {
            let start = Instant::now();
            parse(input);
            start.elapsed()
        };
        (0..RUNS).map(run).min().unwrap_or_default()
    };
    let (short, long) = (time(&generate(bytes)), time(&generate(bytes * LENGTH_RATIO as usize)));
    println!("{name}: {short:?} for {bytes} bytes, {long:?} for {LENGTH_RATIO} times as many");
    assert!(
        long <= short.max(MIN_COMPARED_TIME) * LENGTH_RATIO * TOLERANCE,
        "{name}: run time is not linear: {short:?} and {long:?}"
    );
}
