//! How nodes learn from each other what is in the store: a few read it and feed the rest; digests of what each node has
//! lead to pulls of what is newer where that does not suffice.

mod configuration_update;
mod list_changes;
mod message;
mod peer_table;
mod readers;

pub use configuration_update::{
    ConfigurationChanges, ConfigurationHistory, ConfigurationUpdate, InvalidUpdate, PackedUpdate,
};
pub use list_changes::{ListChanges, ListStep};
pub use message::{Digest, KnowledgeAges, PeerAddresses, PeerMessage, Pull, PullAnswer, StageNotice};
pub use peer_table::{PeerTable, PeerTableConfig};
pub use readers::{Readers, ReadersConfig};
