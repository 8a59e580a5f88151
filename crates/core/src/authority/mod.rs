//! Authority over the engines of a pool: terms, succession, fences and orders.

mod order;

pub use order::{EngineReport, Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term};
