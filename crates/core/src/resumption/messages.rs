//! The messages between nodes about software versions and the origins of streams.

use std::collections::BTreeMap;

use speedy::{Readable, Writable};

use super::back_end_tag::BackEndTag;
use super::service_tag::ServiceTag;
use super::software_version::SoftwareVersion;
use super::stream_origin::{StreamKey, StreamOrigin};
use super::version_knowledge::{VersionKey, VersionKnowledge};
use crate::store::Position;
use crate::world::Address;

/// A query for the software versions of back ends that the sender knows from a node that doesn't pass on versions.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VersionQuery {
    /// The address at which peers reach the sender.
    pub sender: Address,
    /// The back ends.
    pub back_ends: Vec<BackEndTag>,
}

impl VersionQuery {
    /// The most back ends in one query, so that it fits into a datagram.
    pub const BACK_ENDS_MAXIMUM: usize = 125;
}

/// The software versions of some back ends.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct VersionNotice {
    /// The address at which peers reach the sender.
    pub sender: Address,
    /// The store position as of which the sender knows them.
    pub position: Position,
    /// Versions and their back ends; `None` for those whose entries name none.
    pub versions: Vec<(Option<SoftwareVersion>, Vec<BackEndTag>)>,
}

impl VersionNotice {
    /// The most versions in one notice. With the back ends of one query and long names, it fits into a datagram.
    const VERSIONS_MAXIMUM: usize = 2;

    /// The notices of `sender` about `back_ends`, with the versions that `known_version` gives as of `position`.
    pub fn answers<'v>(
        sender: Address,
        position: Position,
        back_ends: &[BackEndTag],
        known_version: impl Fn(BackEndTag) -> Option<&'v VersionKnowledge>,
    ) -> Vec<VersionNotice> {
        let mut by_version: BTreeMap<Option<&SoftwareVersion>, Vec<BackEndTag>> = BTreeMap::new();
        for back_end in back_ends.iter().take(VersionQuery::BACK_ENDS_MAXIMUM) {
            if let Some(version) = known_version(*back_end) {
                by_version.entry(version.announced()).or_default().push(*back_end);
            }
        }
        let groups: Vec<(Option<SoftwareVersion>, Vec<BackEndTag>)> =
            by_version.into_iter().map(|(version, tags)| (version.cloned(), tags)).collect();
        let chunks = groups.chunks(Self::VERSIONS_MAXIMUM);
        chunks.map(|versions| VersionNotice { sender, position, versions: versions.to_vec() }).collect()
    }
}

/// The origin of a stream in a message between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReportedOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
    /// How long ago it began, in milliseconds.
    pub age_millis: u32,
}

/// Origins of streams that the sender relayed, for their replicas.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OriginNotice {
    /// The address at which the sender receives notices, which identifies it.
    pub sender: Address,
    /// The streams.
    pub origins: Vec<ReportedOrigin>,
}

impl OriginNotice {
    /// The most streams in one notice, so that it fits into a datagram.
    pub const ORIGINS_MAXIMUM: usize = 40;
}

/// A query for where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OriginQuery {
    /// The address at which the sender receives notices.
    pub sender: Address,
    /// The stream.
    pub stream: StreamKey,
    /// The service that it is to be resumed in.
    pub service: ServiceTag,
}

/// A version that served a service recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ReportedVersion {
    /// The version.
    pub key: VersionKey,
    /// How long ago its last back end left, in milliseconds; `None` while one serves.
    pub departed_millis: Option<u32>,
}

/// The answer to a query for where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OriginAnswer {
    /// The address at which the sender receives notices.
    pub sender: Address,
    /// The stream.
    pub stream: StreamKey,
    /// Where it began; `None` if the sender doesn't know.
    pub origin: Option<ReportedOrigin>,
    /// The versions that served the service recently, as far as they fit.
    pub versions: Vec<ReportedVersion>,
    /// For how long these are all versions that have served, in milliseconds.
    pub covered_millis: u32,
}

impl OriginAnswer {
    /// The most versions in one answer. Two suffice to show that a stream may have begun at another version.
    pub const VERSIONS_MAXIMUM: usize = 16;
}
