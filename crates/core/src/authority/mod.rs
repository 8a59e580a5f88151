//! Authority over the engines of a pool: terms, succession, fences and orders.

mod arbiter;
mod order;

pub use arbiter::EngineArbiter;
pub use order::{EngineReport, Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term};
