//! Messages between havengate nodes: frames, version handshake and the speedy codec.

mod codec;
mod forward;
mod frame;
mod handshake;
mod packing;
mod peer;

pub use codec::{WireError, decode, encode};
pub use forward::{ForwardReply, ForwardRequest, PoolLoad, RevocationOutcome};
pub use frame::{
    FRAME_MAXIMUM_BYTES, LENGTH_BYTES, frame_of, payload_length, read_counted_frame, read_frame, write_frame,
};
pub use handshake::{Hello, PROTOCOL_VERSION, Purpose, read_hello, write_hello};
pub use packing::{pack, unpack};
pub use peer::PeerMessage;
