//! Decisions about one opaque request: where it is sent, whether it is sent again, and how it ends.

mod content;
mod engine_cache;
mod engine_model;
mod engine_tag;
mod exchange;
mod late_readings;
mod open_readings;
mod placement;
mod placement_config;
mod prompt;
mod prompt_index;
mod readings_message;
mod retry_budget;
mod short_reading;
mod suspicions;
mod telling_pace;
mod urgency;

pub use content::ContentId;
pub use engine_model::{EngineModel, Estimate, ReadingTotals};
pub use engine_tag::EngineTag;
pub use exchange::{Exchange, ExchangeRules, NextStep, SendOutcome};
pub use late_readings::{LateReadingId, LateReadings};
pub use open_readings::ReadingId;
pub use placement::{Candidate, Placed, Purpose, place};
pub use placement_config::{PlacementConfig, PlacementConfigError};
pub use prompt::{Prompt, PromptPart};
pub use prompt_index::{PromptIndex, PromptIndexConfig};
pub use readings_message::{FinishedReading, KeptParts, OpenReadings, ReadingsMessage, ReadingsNotice, ToldPart};
pub use retry_budget::{BudgetShare, SharedRetryBudget, SharedRetryBudgetConfig};
pub use short_reading::ShortReading;
pub use suspicions::{Suspicions, SuspicionsConfig, UnreachableNotice};
pub use telling_pace::{TellingPace, TellingPaceConfig};
pub use urgency::Urgency;
