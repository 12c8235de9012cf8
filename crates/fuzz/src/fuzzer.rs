//! Runs a decoder on many inputs and checks its memory use and results.

use {crate::Mutator, std::thread};

/// Seed of all fuzz tests.
pub const SEED: u64 = 20_261_204;
/// Bytes that a decoder may allocate independently of the input length, for an error with its location and backtrace.
const FIXED_ALLOWANCE_BYTES: u64 = 16 * 1024;

/// Fuzz test of one decoder.
#[derive(Debug)]
pub struct Fuzzer {
    name: &'static str,
    /// Generator of the inputs.
    pub mutator: Mutator,
    memory_per_byte: u64,
    inputs: usize,
    accepted: usize,
    peak_bytes: u64,
}

/// Prints the input when the decoder or a check panics.
struct PrintOnPanic<'a>(&'a [u8]);

impl Drop for PrintOnPanic<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("seed {SEED}, input {:?}", self.0.escape_ascii().to_string());
        }
    }
}

impl Fuzzer {
    /// Creates a fuzz test of a decoder that may allocate up to `memory_per_byte` bytes for each byte of its input.
    ///
    /// ```
    /// use hemlockford_fuzz::Fuzzer;
    /// let mut fuzz = Fuzzer::new("numbers", 4);
    /// let parse = |input: &[u8]| std::str::from_utf8(input).ok()?.parse::<u8>().ok();
    /// fuzz.run(&[b"12".to_vec()], 100, parse, |_, number| assert_eq!(number.to_string().parse(), Ok(number)));
    /// ```
    pub fn new(name: &'static str, memory_per_byte: u64) -> Self {
        Self { name, mutator: Mutator::new(SEED), memory_per_byte, inputs: 0, accepted: 0, peak_bytes: 0 }
    }

    /// Decodes the valid inputs, which must be accepted, and then `count` random or mutated ones; runs `check` on each
    /// decoded value.
    pub fn run<T>(
        &mut self,
        valid: &[Vec<u8>],
        count: usize,
        decode: impl Fn(&[u8]) -> Option<T>,
        mut check: impl FnMut(&[u8], T),
    ) {
        assert!(!valid.is_empty(), "{}: no valid inputs", self.name);
        for input in valid {
            assert!(
                self.try_input(input, &decode, &mut check),
                "{}: valid input was rejected: {:?}",
                self.name,
                input.escape_ascii().to_string()
            );
        }
        for index in 0..count {
            let input = match index % 8 {
                0 => self.mutator.random_bytes(),
                1 => self.mutator.structured_bytes(),
                _ => {
                    let (input, other) =
                        (self.mutator.random_index(valid.len()), self.mutator.random_index(valid.len()));
                    self.mutator.mutate(&valid[input], &valid[other])
                }
            };
            self.try_input(&input, &decode, &mut check);
        }
        let Self { name, inputs, accepted, peak_bytes, .. } = self;
        println!("{name}: seed {SEED}, {inputs} inputs, {accepted} accepted, peak allocation {peak_bytes} bytes");
    }

    /// Decodes one input and runs `check` on the value; returns whether the input was accepted.
    pub fn try_input<T>(
        &mut self,
        input: &[u8],
        decode: impl Fn(&[u8]) -> Option<T>,
        mut check: impl FnMut(&[u8], T),
    ) -> bool {
        let _print_on_panic = PrintOnPanic(input);
        let mut value = None;
        let peak = allocation_counter::measure(|| value = decode(input)).bytes_max;
        let limit = FIXED_ALLOWANCE_BYTES + self.memory_per_byte * input.len() as u64;
        assert!(
            peak <= limit,
            "{}: allocated {peak} bytes for {} bytes of input, limit {limit}",
            self.name,
            input.len()
        );
        self.inputs += 1;
        self.peak_bytes = self.peak_bytes.max(peak);
        let is_accepted = value.is_some();
        self.accepted += usize::from(is_accepted);
        if let Some(value) = value {
            check(input, value);
        }
        is_accepted
    }
}
