//! The stand-in engine: one model of an engine, in virtual time and on a real socket.

mod answer;
pub mod model;
pub mod server;

pub use answer::{answer_length, expected_text};
