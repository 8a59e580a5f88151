//! Decides at which software version a stream goes on.

use std::collections::BTreeSet;
use std::time::Duration;

use super::messages::OriginAnswer;
use super::origin_table::{OriginLookup, OriginSource};
use super::service_tag::ServiceTag;
use super::stream_origin::StreamOrigin;
use super::version_knowledge::VersionKey;
use super::version_table::VersionTable;
use crate::time::Timestamp;

/// How it is known which version began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginEvidence {
    /// This node relayed its first event.
    Own,
    /// This node keeps it for another one.
    Replica,
    /// A peer answered.
    Peer,
    /// No other version can have begun it.
    OnlyVersion,
    /// It is not known.
    None,
}

impl OriginEvidence {
    /// The name in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            OriginEvidence::Own => "own",
            OriginEvidence::Replica => "replica",
            OriginEvidence::Peer => "peer",
            OriginEvidence::OnlyVersion => "only_version",
            OriginEvidence::None => "none",
        }
    }
}

/// Where a stream began, and how that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FoundOrigin {
    /// The service and the version.
    pub origin: StreamOrigin,
    /// How that is known.
    pub evidence: OriginEvidence,
    /// How long ago the stream began, if that is known.
    pub age: Option<Duration>,
}

/// The state of finding out where one stream began.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    service: ServiceTag,
    begun_at: Timestamp,
    /// Whether the request may have been sent to other services, in which the stream may have begun.
    has_other_services: bool,
    found: Option<FoundOrigin>,
    is_ambiguous: bool,
    /// The versions that can have begun it.
    possible: BTreeSet<VersionKey>,
    /// Whether `possible` contains all of them.
    is_complete: bool,
}

impl OriginSearch {
    /// Begins with what this node knows: `lookup` of the stream, and the versions in `table`.
    pub fn begin(
        lookup: OriginLookup,
        service: ServiceTag,
        has_other_services: bool,
        table: &VersionTable,
        now: Timestamp,
    ) -> Self {
        let mut search = OriginSearch {
            service,
            begun_at: now,
            has_other_services,
            found: None,
            is_ambiguous: lookup == OriginLookup::Ambiguous,
            possible: table.possible(service, now),
            is_complete: table.is_complete(now),
        };
        if let OriginLookup::Known { origin, began, source } = lookup {
            let evidence = match source {
                OriginSource::Own => OriginEvidence::Own,
                OriginSource::Peer => OriginEvidence::Replica,
            };
            search.find(origin, evidence, now.since(began), table);
        }
        search
    }

    /// Whether peers may know more.
    pub fn should_query_peers(&self) -> bool {
        self.found.is_none() && !self.is_ambiguous
    }

    /// Whether, by the versions known so far, only one can have begun the stream.
    pub fn has_single_version(&self) -> bool {
        self.is_complete && !self.has_other_services && self.possible.len() == 1
    }

    /// Records that the known versions may lack some.
    pub fn distrust_versions(&mut self) {
        self.is_complete = false;
    }

    /// Adds the answer of a peer. Returns whether the search is over.
    pub fn receive(&mut self, answer: &OriginAnswer, table: &VersionTable) -> bool {
        let kept_for = table.kept_for();
        for reported in &answer.versions {
            let departed = reported.departed_millis.map(|millis| Duration::from_millis(u64::from(millis)));
            if departed.is_none_or(|ago| ago < kept_for) {
                self.possible.insert(table.resolve(reported.key, self.begun_at).unwrap_or(reported.key));
            }
        }
        self.is_complete |= Duration::from_millis(u64::from(answer.covered_millis)) >= kept_for;
        if let Some(reported) = answer.origin {
            let age = Duration::from_millis(u64::from(reported.age_millis));
            match self.found {
                Some(found) => {
                    let began = self.begun_at - age;
                    self.is_ambiguous |= table.resolve(reported.origin.version, began) != Some(found.origin.version);
                }
                None => self.find(reported.origin, OriginEvidence::Peer, age, table),
            }
        }
        !self.should_query_peers()
    }

    /// Where the stream began; `None` if it may have begun at another version than the one that serves.
    pub fn end(self) -> Option<FoundOrigin> {
        if self.is_ambiguous {
            return None;
        }
        let only_version = || {
            let version = self.possible.first().copied().filter(|_| self.has_single_version())?;
            let origin = StreamOrigin { service: self.service, version };
            Some(FoundOrigin { origin, evidence: OriginEvidence::OnlyVersion, age: None })
        };
        self.found.or_else(only_version)
    }

    fn find(&mut self, origin: StreamOrigin, evidence: OriginEvidence, age: Duration, table: &VersionTable) {
        match table.resolve(origin.version, self.begun_at - age) {
            Some(version) => {
                let origin = StreamOrigin { version, ..origin };
                self.found = Some(FoundOrigin { origin, evidence, age: Some(age) });
            }
            None => self.is_ambiguous = true,
        }
    }
}
