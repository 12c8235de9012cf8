//! Time of a parser as its input grows.

use std::time::{Duration, Instant};

/// Factor between the lengths of the two inputs.
const FACTOR: u32 = 16;
/// Slowdown beyond the factor that is put down to the machine. A quadratic parser has one of 16.
const TOLERANCE: u32 = 5;
/// Repetitions, of which the shortest counts.
const ROUNDS: usize = 5;
/// Time that is too short to be compared.
const SHORTEST: Duration = Duration::from_millis(1);

/// Fails if the time of a parser grows faster than its input. `make` returns an input of about so many bytes.
///
/// ```
/// hemlockford_fuzz::check_growth("sum", 1_000, |bytes| vec![1; bytes], |input| {
///     input.iter().map(|byte| u64::from(*byte)).sum::<u64>();
/// });
/// ```
pub fn check_growth(name: &str, bytes: usize, make: impl Fn(usize) -> Vec<u8>, parse: impl Fn(&[u8])) {
    let time = |input: &[u8]| {
        let round = |_| {
            let start = Instant::now();
            parse(input);
            start.elapsed()
        };
        (0..ROUNDS).map(round).min().unwrap_or_default()
    };
    let (short, long) = (time(&make(bytes)), time(&make(bytes * FACTOR as usize)));
    println!("{name}: {short:?} for {bytes} bytes, {long:?} for {FACTOR} times as many");
    assert!(long <= short.max(SHORTEST) * FACTOR * TOLERANCE, "{name}: {short:?} and {long:?}");
}
