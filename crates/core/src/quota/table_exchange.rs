//! The exchange of a configuration's limits between nodes: splitting a table into notices and assembling it from them.

use std::time::Duration;

use super::limit::TenantLimitTable;
use super::message::{NamedLimit, TenantLimitNotice};
use crate::routing::ConfigurationNumber;
use crate::time::Timestamp;
use crate::world::Address;

/// The most bytes of the limits in one notice. The rest of a datagram of 1,400 bytes is left for the sender, the
/// version and the numbers.
const PART_MAXIMUM_BYTES: usize = 1_330;

/// The bytes of a limit with its tenant apart from the name: the length of the name, rate, burst, unit and default cost.
const LIMIT_BYTES: usize = 4 + 8 + 8 + 4 + 8;

/// The most parts of a table that are accepted, which bounds the memory that a malformed notice can take.
const PARTS_MAXIMUM: u16 = 1_024;

/// Parts to which none is added for this time are discarded. With a query every 200 ms, five answers did not fit, for
/// example because the first part came from a malformed notice with another number of parts.
const PARTS_RETENTION: Duration = Duration::from_secs(1);

/// Splits `table` into the notices for another node; none when it can't be sent, because a name is longer than a notice
/// or there are too many limits.
///
/// All nodes split a table in the same way, so that a table can be assembled from parts of different senders.
pub fn split_into_notices(
    table: &TenantLimitTable,
    sender: Address,
    version: ConfigurationNumber,
) -> Vec<TenantLimitNotice> {
    let (mut parts, mut part, mut part_bytes) = (Vec::new(), Vec::new(), 0);
    for (tenant, limit) in table.iter() {
        let bytes = LIMIT_BYTES + tenant.as_str().len();
        if bytes > PART_MAXIMUM_BYTES {
            return Vec::new();
        }
        if part.len() >= TenantLimitNotice::LIMITS_MAXIMUM || part_bytes + bytes > PART_MAXIMUM_BYTES {
            parts.push(std::mem::take(&mut part));
            part_bytes = 0;
        }
        part_bytes += bytes;
        part.push(NamedLimit { tenant: tenant.clone(), limit: *limit });
    }
    parts.push(part);
    let Some(count) = u16::try_from(parts.len()).ok().filter(|count| *count <= PARTS_MAXIMUM) else {
        return Vec::new();
    };
    let notice = |(part, limits)| TenantLimitNotice { sender, version, part, parts: count, limits };
    (0..count).zip(parts).map(notice).collect()
}

/// Why a part was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DroppedPart {
    /// It belongs to an earlier configuration than the one in force.
    Old,
    /// It belongs to a configuration that is not in force here yet.
    NotWanted,
    /// The table, or this part of it, is known already.
    Repeated,
    /// Its number, or the number of parts, contradicts other parts or itself.
    WrongNumber,
    /// It, or the table assembled with it, is invalid.
    Malformed,
}

impl DroppedPart {
    /// The cause for metrics.
    pub fn code(self) -> &'static str {
        match self {
            DroppedPart::Old => "overtaken",
            DroppedPart::NotWanted => "not_wanted",
            DroppedPart::Repeated => "repeated",
            DroppedPart::WrongNumber => "wrong_number",
            DroppedPart::Malformed => "malformed",
        }
    }
}

/// Assembles the limits of the configuration in force from the notices of other nodes.
#[derive(Clone, Debug, Default)]
pub struct LimitTableAssembly {
    in_force: ConfigurationNumber,
    /// Whether the limits of the configuration in force are missing.
    is_missing: bool,
    /// Since when limits have been missing without any part arriving. A newer configuration does not change it.
    waiting_since: Option<Timestamp>,
    /// The parts that have arrived; empty until the first arrives.
    parts: Vec<Option<Vec<NamedLimit>>>,
}

impl LimitTableAssembly {
    /// An assembly for a node that has no configuration yet.
    pub fn new() -> Self {
        LimitTableAssembly::default()
    }

    /// Sets the configuration in force, and whether its limits are known. Discards parts of an earlier configuration
    /// and parts that can't be completed.
    pub fn set_in_force(&mut self, version: ConfigurationNumber, is_known: bool, now: Timestamp) {
        let is_stalled = self.waiting_since.is_some_and(|since| now.since(since) >= PARTS_RETENTION);
        if version != self.in_force || is_known || is_stalled {
            self.parts.clear();
        }
        self.in_force = version;
        self.is_missing = !is_known && version > ConfigurationNumber::default();
        self.waiting_since = self.is_missing.then(|| self.waiting_since.unwrap_or(now));
    }

    /// The configuration whose limits have to be requested; `None` when nothing is missing.
    pub fn missing(&self) -> Option<ConfigurationNumber> {
        self.is_missing.then_some(self.in_force)
    }

    /// Since when limits have been missing without any part arriving.
    pub fn waiting_since(&self) -> Option<Timestamp> {
        self.waiting_since
    }

    /// Restarts the wait after the limits were requested elsewhere.
    pub fn restart_wait(&mut self, now: Timestamp) {
        self.waiting_since = self.is_missing.then_some(now);
    }

    /// Takes in a part; returns the table when it was the last one missing.
    ///
    /// # Errors
    /// When the part is dropped.
    pub fn receive(
        &mut self,
        notice: TenantLimitNotice,
        now: Timestamp,
    ) -> Result<Option<TenantLimitTable>, DroppedPart> {
        self.check(&notice)?;
        self.parts.resize(usize::from(notice.parts), None);
        self.parts[usize::from(notice.part)] = Some(notice.limits);
        self.waiting_since = Some(now);
        if self.parts.iter().any(Option::is_none) {
            return Ok(None);
        }
        let limits: Vec<NamedLimit> = self.parts.drain(..).flatten().flatten().collect();
        if !is_ordered(&limits) {
            return Err(DroppedPart::Malformed);
        }
        self.is_missing = false;
        self.waiting_since = None;
        Ok(Some(limits.into_iter().map(|named| (named.tenant, named.limit)).collect()))
    }

    fn check(&self, notice: &TenantLimitNotice) -> Result<(), DroppedPart> {
        if notice.version < self.in_force {
            return Err(DroppedPart::Old);
        }
        if notice.version > self.in_force {
            return Err(DroppedPart::NotWanted);
        }
        if !self.is_missing {
            return Err(DroppedPart::Repeated);
        }
        let is_other_split = !self.parts.is_empty() && self.parts.len() != usize::from(notice.parts);
        if notice.part >= notice.parts || is_other_split {
            return Err(DroppedPart::WrongNumber);
        }
        let is_too_large = notice.parts > PARTS_MAXIMUM || notice.limits.len() > TenantLimitNotice::LIMITS_MAXIMUM;
        let is_empty = notice.limits.is_empty() && notice.parts > 1;
        let refuses_all = notice.limits.iter().any(|named| named.limit.per_second == 0 || named.limit.burst == 0);
        if is_too_large || is_empty || refuses_all || !is_ordered(&notice.limits) {
            return Err(DroppedPart::Malformed);
        }
        match self.parts.get(usize::from(notice.part)) {
            Some(Some(_)) => Err(DroppedPart::Repeated),
            _ => Ok(()),
        }
    }
}

/// Whether each tenant comes once, in the order of a table.
fn is_ordered(limits: &[NamedLimit]) -> bool {
    limits.is_sorted_by(|one, next| one.tenant < next.tenant)
}
