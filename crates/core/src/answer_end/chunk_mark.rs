//! Whether a body that has neither a length nor chunks begins with the mark of a chunk.
//!
//! A back end that spoils the header of the coding still sends its body in chunks. Such a body looks like one that ends
//! with its connection, and the marks would be passed on as content.

/// The longest mark that is recognized, in hexadecimal digits: a chunk of 4 GiB.
const DIGITS_MAXIMUM: usize = 8;

/// What the first bytes of a body show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyStart {
    /// They may begin a mark: more bytes are needed.
    Undecided,
    /// They begin with the mark of a chunk: hexadecimal digits and a line end.
    ChunkMark,
    /// They are content.
    Content,
}

impl BodyStart {
    /// What `bytes`, the first ones of a body, show.
    pub fn of(bytes: &[u8]) -> Self {
        let digits = bytes.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        if digits > DIGITS_MAXIMUM {
            return BodyStart::Content;
        }
        match (digits, &bytes[digits..]) {
            (_, []) | (1.., [b'\r']) => BodyStart::Undecided,
            (1.., [b'\r', b'\n', ..]) => BodyStart::ChunkMark,
            _ => BodyStart::Content,
        }
    }
}
