//! What the stand-ins share: a model that works in real time, a clock that can be paused, a server that can be killed.

mod clock;
mod process;
mod server;

pub use clock::PausableClock;
pub use process::{ModelOutput, ModelProcess, Submission, Ticket, TimedModel};
pub use server::StandInServer;
