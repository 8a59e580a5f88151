//! Decisions about one opaque request: where it is sent, whether it is sent again, and how it ends.

mod exchange;
mod placement;
mod prompt;
mod prompt_index;
mod readings_message;
mod retry_budget;

pub use exchange::{Exchange, ExchangeRules, NextStep, SendOutcome};
pub use placement::{Candidate, PlacementLimits, Purpose, place};
pub use prompt::{Prompt, PromptPart};
pub use prompt_index::{PromptIndex, PromptIndexConfig, ReadingId};
pub use readings_message::{FinishedReading, KeptParts, OpenReading, ReadingsMessage, ReadingsNotice, ToldPart};
pub use retry_budget::{BudgetShare, SharedRetryBudget, SharedRetryBudgetConfig};
