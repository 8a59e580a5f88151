//! Authority over the engines of a pool: terms, succession, fences, orders, and the changes made by orders.
//!
//! A node runs one [`PoolControl`] per pool. It combines [`PoolAuthority`], which acquires and keeps the authority,
//! with [`RoleChanger`], which drains, orders and verifies under it. [`EngineArbiter`] implements the engines' side.

mod arbiter;
mod config;
mod control;
mod engine_change;
mod engine_readiness;
mod engine_state;
mod fences;
mod message;
mod order;
mod pool_authority;
mod record;
mod record_store;
mod role_changer;
mod state;
mod succession;
mod target;

pub use arbiter::EngineArbiter;
pub use config::{AuthorityConfig, AuthorityError, RoleChangeConfig};
pub use control::{PoolControl, PoolControlConfig, PoolObservation};
pub use engine_state::{CompletedChange, EngineActivity, EngineState, GiveUpReason};
pub use message::{
    AuthorityAction, AuthorityEvent, AuthorityInput, AuthorityMessage, AuthorityRole, AuthorityStatus, FencedEngine,
};
pub use order::{EngineReport, Order, OrderAction, OrderId, OrderRefusal, OrderReply, Term};
pub use pool_authority::PoolAuthority;
pub use record::{AuthorityRecord, RecordAt, SUCCESSORS, TermGrant};
pub use record_store::StoreCounters;
pub use role_changer::{
    ChangeCounters, EngineSpecification, EngineStatus, OrderTiming, PoolActivity, RoleChanger, RoleFloors,
};
pub use target::{EngineTarget, RoleCandidate, TargetRoles};
