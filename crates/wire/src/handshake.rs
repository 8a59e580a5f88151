//! The first frame in each direction of a connection: the sender, its protocol version and the connection's purpose.

use std::io::{Read, Write};

use havengate_core::membership::Member;
use speedy::{Readable, Writable};

use crate::codec::WireError;
use crate::frame::{read_frame, write_frame};

/// The version of the messages in this crate. Any change to their layout increments it.
pub const PROTOCOL_VERSION: u16 = 1;

const MAGIC: u32 = 0x4847_5445;

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum Purpose {
    /// Control messages in one direction, from the side that connected.
    Control,
    /// Requests, one at a time, and their answers.
    Forward,
}

/// Introduces one side of a connection to the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct Hello {
    magic: u32,
    version: u16,
    /// The sender.
    pub member: Member,
    /// What the connection is for.
    pub purpose: Purpose,
}

impl Hello {
    /// Creates an introduction with this node's protocol version.
    pub fn new(member: Member, purpose: Purpose) -> Self {
        Hello { magic: MAGIC, version: PROTOCOL_VERSION, member, purpose }
    }
}

/// Writes an introduction.
///
/// # Errors
/// When the connection fails.
pub fn write_hello(stream: &mut impl Write, hello: Hello) -> Result<(), WireError> {
    write_frame(stream, &hello).map(drop)
}

/// Reads the other side's introduction.
///
/// # Errors
/// When the connection fails, the other side is not a havengate node, or its protocol version differs.
pub fn read_hello(stream: &mut impl Read) -> Result<Hello, WireError> {
    let hello: Hello = read_frame(stream)?;
    if hello.magic != MAGIC {
        return Err(WireError::NotHavengate);
    }
    if hello.version != PROTOCOL_VERSION {
        return Err(WireError::VersionMismatch { theirs: hello.version, ours: PROTOCOL_VERSION });
    }
    Ok(hello)
}
