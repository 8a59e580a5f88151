//! The configuration of the deployment: its content, and how a version comes into force at every node.
//!
//! A version is *staged* by a compare-and-set in the platform's store, is disseminated between the nodes, and is
//! brought into force once every live node holds it. It is *accepted* once every live node has it in force. See
//! `docs/adr/0004-configuration.md`.

mod acknowledgements;
mod change;
mod config;
mod content;
mod coordination;
mod item;
mod message;
mod record;
mod replacement;
mod replica;
mod spread;
mod status;
mod store_client;
mod synchronization;
mod validate;
mod versions;
mod view;

pub use change::Change;
pub use config::{ReplicaConfig, ReplicaConfigError};
pub use content::{Configuration, ConfigurationVersion, PolicyChoice, TrialArm};
pub use message::{ConfigurationMessage, Holding, ProbeId, Watermarks, ZoneHolding};
pub use record::{
    CONFIGURATION_KEY, CONFIRMED_MAXIMUM, ConfigurationRecord, ConfigurationSnapshot, ConfirmedPlan, PlanId,
    STAGED_MAXIMUM, StageError, VersionChange, configuration_key,
};
pub use replacement::{ChangeError, Replacement};
pub use replica::{ConfigurationAction, ConfigurationInput, ConfigurationReplica};
pub use status::{ConfigurationStatus, PendingVersion, VersionState};
pub use store_client::StoreToken;
pub use validate::ConfigurationError;
pub(crate) use validate::Problems;
pub use versions::VersionedConfiguration;
pub use view::{LiveMember, LiveView, MembersDigest};
