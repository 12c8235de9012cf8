//! Runs of one decoder over many inputs.

use {crate::Mutator, std::thread};

/// Seed of all runs.
pub const SEED: u64 = 20_261_204;
/// Bytes that a decoder may allocate whatever the length of its input, for an error with its place and backtrace.
const FIXED_BYTES: u64 = 16 * 1024;

/// A run of one decoder.
#[derive(Debug)]
pub struct Fuzz {
    name: &'static str,
    /// Source of the inputs.
    pub mutator: Mutator,
    per_byte: u64,
    inputs: usize,
    accepted: usize,
    most: u64,
}

/// Shows the input of a check that fails.
struct Shown<'a>(&'a [u8]);

impl Drop for Shown<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("seed {SEED}, input {:?}", self.0.escape_ascii().to_string());
        }
    }
}

impl Fuzz {
    /// Starts a run of a decoder that may hold `per_byte` bytes at a time for each byte of its input.
    ///
    /// ```
    /// use hemlockford_fuzz::Fuzz;
    /// let mut fuzz = Fuzz::new("numbers", 4);
    /// let parse = |input: &[u8]| std::str::from_utf8(input).ok()?.parse::<u8>().ok();
    /// fuzz.run(&[b"12".to_vec()], 100, parse, |_, number| assert_eq!(number.to_string().parse(), Ok(number)));
    /// ```
    pub fn new(name: &'static str, per_byte: u64) -> Self {
        Self { name, mutator: Mutator::new(SEED), per_byte, inputs: 0, accepted: 0, most: 0 }
    }

    /// Decodes random inputs and mutations of valid ones, and checks each value. Valid inputs must be accepted.
    pub fn run<T>(
        &mut self,
        valid: &[Vec<u8>],
        count: usize,
        decode: impl Fn(&[u8]) -> Option<T>,
        mut check: impl FnMut(&[u8], T),
    ) {
        assert!(!valid.is_empty(), "{}: no valid input", self.name);
        for input in valid {
            assert!(
                self.try_input(input, &decode, &mut check),
                "{}: {:?}",
                self.name,
                input.escape_ascii().to_string()
            );
        }
        for number in 0..count {
            let input = match number % 8 {
                0 => self.mutator.random(),
                1 => self.mutator.dense(),
                _ => {
                    let (input, other) = (self.mutator.below(valid.len()), self.mutator.below(valid.len()));
                    self.mutator.mutate(&valid[input], &valid[other])
                }
            };
            self.try_input(&input, &decode, &mut check);
        }
        let Self { name, inputs, accepted, most, .. } = self;
        println!("{name}: seed {SEED}, {inputs} inputs, {accepted} accepted, at most {most} bytes held");
    }

    /// Decodes one input and checks the value; returns whether there was one.
    pub fn try_input<T>(
        &mut self,
        input: &[u8],
        decode: impl Fn(&[u8]) -> Option<T>,
        mut check: impl FnMut(&[u8], T),
    ) -> bool {
        let _shown = Shown(input);
        let mut value = None;
        let held = allocation_counter::measure(|| value = decode(input)).bytes_max;
        let bound = FIXED_BYTES + self.per_byte * input.len() as u64;
        assert!(held <= bound, "{}: {held} bytes held for {} of input, bound {bound}", self.name, input.len());
        self.inputs += 1;
        self.most = self.most.max(held);
        let is_accepted = value.is_some();
        self.accepted += usize::from(is_accepted);
        if let Some(value) = value {
            check(input, value);
        }
        is_accepted
    }
}
