//! The engine model on a real socket, in the engines' dialect, with faults that can be switched on.

mod faults;
mod generation;
mod handle;
mod handler;
mod kv_client;
mod process;

pub use faults::EngineFaults;
pub use handle::{EngineHandle, EngineServer, EngineServerError};
