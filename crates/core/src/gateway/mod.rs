//! The gateway's decisions: which pool and dispatcher a request is sent to, what happens when a hop fails, and how its
//! answer is assembled.
//!
//! A [`PoolPicker`] ranks targets, a [`GatewayRequest`] drives one request through them to its verdict, and its
//! [`AnswerAssembler`] passes each part of the answer on once and in order.

mod answer_assembler;
mod config;
mod event;
mod pool_picker;
mod request;

pub use answer_assembler::{AnswerAssembler, AssemblerCounters};
pub use config::{GatewayConfig, GatewayConfigError};
pub use event::{AttemptNumber, GatewayAction, GatewayEvent, Target};
pub use pool_picker::{PoolLoad, PoolOption, PoolPicker};
pub use request::GatewayRequest;
