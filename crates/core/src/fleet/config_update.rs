//! Updates of the configuration text that an entry has to a newer one.

use {
    crate::{collections::FastMap, config::MAX_CONFIG_BYTES, ids::ChangeNumber},
    derive_more::Debug,
    miniz_oxide::{deflate::compress_to_vec, inflate::decompress_to_vec_with_limit},
    serde::{Deserialize, Serialize},
};

/// Compression level, the fastest one, as a replica has little processor time.
const COMPRESSION_LEVEL: u8 = 1;
/// Maximum size of the steps before compression, in bytes: a text of maximum length, with the overhead of its steps.
const MAX_STEP_BYTES: usize = MAX_CONFIG_BYTES + 64 * 1_024;

/// One step in building the new text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Step {
    /// Copies lines of the text that the entry has.
    Copy {
        /// Index of the first line.
        first: u32,
        /// Number of lines.
        count: u32,
    },
    /// Inserts new lines.
    Insert(#[debug("{} bytes", _0.len())] Box<str>),
}

/// An update of the configuration text that an entry has to a newer one. Its size depends on what has changed, so that
/// a change does not occupy the link of an entry for as long as the whole text would.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigUpdate {
    /// Number of the new change.
    pub number: ChangeNumber,
    /// Number of the change whose text is updated; 0 for the empty text.
    pub base: ChangeNumber,
    /// Compressed steps.
    #[debug("{} bytes", steps.len())]
    steps: Box<[u8]>,
    /// Checksum (CRC-32) of the new text.
    checksum: u32,
}

impl ConfigUpdate {
    /// Creates the update of a text to the text of a newer change.
    ///
    /// ```
    /// use hemlockford_core::fleet::ConfigUpdate;
    /// let (old, new) = ("[change]\nnumber = 1\n", "[change]\nnumber = 2\n");
    /// let update = ConfigUpdate::between((1, old), (2, new));
    /// assert_eq!(update.apply(old).as_deref(), Some(new));
    /// assert_eq!(update.apply("another text\n"), None);
    /// ```
    pub fn between((base, old): (ChangeNumber, &str), (number, new): (ChangeNumber, &str)) -> Self {
        let steps = steps(old, new);
        // Encoding into a growing buffer cannot fail. An empty update is rejected by its checksum.
        let encoded = postcard::to_extend(&steps, Vec::new()).unwrap_or_default();
        let steps = compress_to_vec(&encoded, COMPRESSION_LEVEL).into();
        Self { number, base, steps, checksum: crc32fast::hash(new.as_bytes()) }
    }

    /// Returns the number of bytes that grow with the change.
    pub fn size(&self) -> usize {
        self.steps.len()
    }

    /// Returns the new text, or `None` if the update does not belong to this text.
    pub fn apply(&self, old: &str) -> Option<Box<str>> {
        let encoded = decompress_to_vec_with_limit(&self.steps, MAX_STEP_BYTES).ok()?;
        let steps: Vec<Step> = postcard::from_bytes(&encoded).ok()?;
        let lines: Vec<&str> = old.split_inclusive('\n').collect();
        let mut new = String::new();
        for step in &steps {
            match step {
                Step::Copy { first, count } => {
                    let first = usize::try_from(*first).ok()?;
                    let end = first.checked_add(usize::try_from(*count).ok()?)?;
                    for line in lines.get(first..end)? {
                        new.push_str(line);
                        if new.len() > MAX_CONFIG_BYTES {
                            return None;
                        }
                    }
                }
                Step::Insert(text) => new.push_str(text),
            }
            if new.len() > MAX_CONFIG_BYTES {
                return None;
            }
        }
        (crc32fast::hash(new.as_bytes()) == self.checksum).then(|| new.into())
    }
}

/// Returns the steps that build the new text from lines of the old one. A run of copied lines begins at the first
/// occurrence of a line behind the previous run, because most lines stay in their order and many lines occur often.
fn steps(old: &str, new: &str) -> Vec<Step> {
    let old: Vec<&str> = old.split_inclusive('\n').collect();
    let mut positions: FastMap<&str, Vec<usize>> = FastMap::default();
    for (position, line) in old.iter().enumerate() {
        positions.entry(line).or_default().push(position);
    }
    let (mut steps, mut inserted, mut next) = (Vec::new(), String::new(), 0);
    let mut rest = new.split_inclusive('\n').peekable();
    while let Some(line) = rest.next() {
        let first = if old.get(next) == Some(&line) { Some(next) } else { position_from(&positions, line, next) };
        let Some(first) = first else {
            inserted.push_str(line);
            continue;
        };
        if !inserted.is_empty() {
            steps.push(Step::Insert(std::mem::take(&mut inserted).into()));
        }
        next = first + 1;
        while let Some(line) = rest.peek()
            && old.get(next) == Some(line)
        {
            rest.next();
            next += 1;
        }
        steps.push(Step::Copy { first: first as u32, count: (next - first) as u32 });
    }
    if !inserted.is_empty() {
        steps.push(Step::Insert(inserted.into()));
    }
    steps
}

/// Returns the first position of a line at or behind `next`, or else its first position.
fn position_from(positions: &FastMap<&str, Vec<usize>>, line: &str, next: usize) -> Option<usize> {
    let all = positions.get(line)?;
    all.get(all.partition_point(|position| *position < next)).or(all.first()).copied()
}
