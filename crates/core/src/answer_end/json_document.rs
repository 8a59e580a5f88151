//! Whether a JSON document is complete, by its brackets and strings.

/// The depth to which brackets are followed, one bit each.
const DEPTH_MAXIMUM: u32 = u64::BITS;

/// Follows a JSON document, in pieces of any size.
///
/// Only an object or an array shows by itself that it is complete; of any other bytes nothing is known.
#[derive(Clone, Debug, Default)]
pub struct JsonDocument {
    state: State,
    /// The open brackets, the innermost in the lowest bit; set for an object.
    brackets: u64,
    depth: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Nothing but white space so far.
    #[default]
    Before,
    /// Inside the outermost brackets.
    Inside,
    /// Inside a string.
    InString,
    /// Inside a string, after a backslash.
    InEscape,
    /// After the outermost brackets.
    After,
    /// Not a document that shows its end, or one that is nested too deeply.
    Unknown,
}

/// What is known of a document that ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentEnd {
    /// All of it was read.
    Complete,
    /// A part of it is missing.
    Truncated,
    /// The document doesn't show its end.
    Unknown,
}

impl JsonDocument {
    /// Follows the next bytes of the document.
    pub fn record(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.state = self.next_state(*byte);
        }
    }

    /// What is known if the document ends here.
    pub fn end(&self) -> DocumentEnd {
        match self.state {
            State::After => DocumentEnd::Complete,
            State::Inside | State::InString | State::InEscape => DocumentEnd::Truncated,
            State::Before | State::Unknown => DocumentEnd::Unknown,
        }
    }

    fn next_state(&mut self, byte: u8) -> State {
        match self.state {
            State::Before | State::After if byte.is_ascii_whitespace() => self.state,
            State::Before if matches!(byte, b'{' | b'[') => self.open(byte == b'{'),
            State::Before | State::After | State::Unknown => State::Unknown,
            State::InEscape => State::InString,
            State::InString => match byte {
                b'\\' => State::InEscape,
                b'"' => State::Inside,
                _ => State::InString,
            },
            State::Inside => match byte {
                b'"' => State::InString,
                b'{' | b'[' => self.open(byte == b'{'),
                b'}' | b']' => self.close(byte == b'}'),
                _ => State::Inside,
            },
        }
    }

    fn open(&mut self, is_object: bool) -> State {
        if self.depth == DEPTH_MAXIMUM {
            return State::Unknown;
        }
        self.depth += 1;
        self.brackets = self.brackets << 1 | u64::from(is_object);
        State::Inside
    }

    fn close(&mut self, is_object: bool) -> State {
        let opened_object = self.brackets & 1 == 1;
        if opened_object != is_object {
            return State::Unknown;
        }
        self.depth -= 1;
        self.brackets >>= 1;
        if self.depth == 0 { State::After } else { State::Inside }
    }
}
