//! Claims of idempotency keys: a request that must not be repeated runs at most once.
//!
//! Before such a request is dispatched, its gateway claims the key at a majority of the key's holders. A
//! [`ClaimClient`] makes the claims of one gateway; a [`ClaimHolder`] holds the claims that the [`SlotMap`] assigns to
//! one node. `docs/adr/0006-at-most-once.md` explains why two requests can't both win a key.

mod attempt;
mod client;
mod config;
mod delivery;
mod holder;
mod leaving;
mod map_keeper;
mod map_keeper_config;
mod map_observer;
mod message;
mod record;
mod recorder;
mod slot_map;
mod slot_plan;
mod slot_state;
mod takeover;
mod usage;

pub use attempt::ClaimOutcome;
pub use client::{ClaimClient, ClaimDecision, ClaimWork};
pub use config::{ClaimConfig, ClaimConfigError};
pub use holder::ClaimHolder;
pub use map_keeper::{SLOT_MAP_KEY, SlotMapKeeper, SlotMapWork};
pub use map_keeper_config::SlotMapKeeperConfig;
pub use map_observer::ObservedNodes;
pub use message::{
    ClaimAnswer, ClaimEnvelope, ClaimMessage, ClaimRefusal, ClaimReply, ClaimRequest, HeldClaim, OutcomeAck,
    OutcomeReport, RecordedAnswer, RecordedOutcome, SlotStatus, TakeOverReply, TakeOverRequest, TransferredClaim,
};
pub use recorder::AnswerRecorder;
pub use slot_map::{
    ChangedSlot, HOLDERS, HolderSet, MapVersion, SLOTS, Slot, SlotHolder, SlotIndex, SlotMap, SlotMapChanges,
};
pub use slot_plan::{CandidateHolder, SlotObservation};
