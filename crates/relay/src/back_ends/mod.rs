//! Connections to back ends, their load and health, and single sends of requests.

mod answer_body;
mod answer_head;
mod end_proof;
mod liveness;
mod load;
mod notices;
mod own_call;
mod pool;
mod send;

pub use answer_body::{AnswerBody, BodyError};
pub use answer_head::{head_fault, keep_alive};
pub use end_proof::{EndProof, EndProver};
pub use liveness::set_liveness;
pub use load::{BackEndLoads, InFlight};
pub use notices::SharedNotices;
pub use own_call::{OwnConnection, address_to, get_request};
pub use pool::{
    BackEndLiveness, ConnectError, ConnectionLoss, ConnectionPool, Detour, Lease, PoolLimits, UsedConnections,
};
pub use send::{AnswerInProgress, SendFailure, Sent, is_unacknowledged, send};
