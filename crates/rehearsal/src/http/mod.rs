//! What the stand-ins' servers share: a server that can be killed and started again, and a clock that can be paused.

mod clock;
mod server;

pub use clock::PausableClock;
pub use server::StandInServer;
