//! Streams that callers take up again after an interruption, and the software versions of back ends.
//!
//! Back ends of several software versions may serve a service side by side. What two versions write doesn't fit
//! together, so a stream may be resumed only at a back end of the version that began it. The node that relays a stream's
//! first event records the stream's origin and sends it to a few replicas, whose rank any node computes from the stream's key.
//! A node that is asked to resume a stream finds the origin in its own records, or queries the replicas. If it is unknown, the
//! stream is resumed only where no other version can have begun it.

mod back_end_tag;
mod decision;
mod messages;
mod origin_table;
mod replicas;
mod retention;
mod service_tag;
mod service_versions;
mod software_version;
mod stream_origin;
mod version_knowledge;
mod version_table;

pub use back_end_tag::BackEndTag;
pub use decision::{FoundOrigin, OriginEvidence, OriginSearch};
pub use messages::{
    OriginAnswer, OriginNotice, OriginQuery, ReportedOrigin, ReportedVersion, VersionNotice, VersionQuery,
};
pub use origin_table::{OriginLookup, OriginSource, OriginTable};
pub use replicas::RankedPeers;
pub use retention::retention;
pub use service_tag::ServiceTag;
pub use service_versions::ServiceVersions;
pub use software_version::{SoftwareVersion, VersionFingerprint};
pub use stream_origin::{StreamKey, StreamOrigin};
pub use version_knowledge::{BackEndVersion, RecordedVersion, VersionKey, VersionKnowledge};
pub use version_table::VersionTable;
