//! Nodes that exchange messages without delay.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use havengate_core::membership::rank_by_address;
use havengate_core::quota::{Admission, OutgoingQuotaMessage, QuotaConfig, QuotaContent, QuotaRequest, TenantQuotas};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, TenantName};

use super::{TENANT, address, limit, table};

/// The rate and the burst of the tenant.
pub const RATE: u64 = 100_000;

/// Nodes in the order of their rank, without delays between them.
pub struct Fleet {
    pub addresses: Vec<Address>,
    pub nodes: Vec<TenantQuotas>,
    /// Nodes that neither send nor receive.
    pub down: BTreeSet<usize>,
    pub now: Timestamp,
    /// All messages about the tenant that were sent.
    pub sent: Vec<(usize, OutgoingQuotaMessage)>,
}

impl Fleet {
    pub fn new(count: usize) -> Self {
        let now = Timestamp::from_millis(1_000);
        let addresses = rank_by_address(TENANT.as_bytes(), (0..count).map(address), |address| *address);
        let nodes = addresses.iter().map(|own| node(*own, &addresses, now)).collect();
        Fleet { addresses, nodes, down: BTreeSet::new(), now, sent: Vec::new() }
    }

    /// A fleet whose home has a full bucket.
    pub fn warm(count: usize) -> Self {
        let mut fleet = Fleet::new(count);
        fleet.ask(count - 1, 1);
        fleet.advance(6_000);
        fleet.ask(count - 1, 1);
        fleet.advance(2_000);
        fleet.sent.clear();
        fleet
    }

    /// Delivers messages until there are none.
    pub fn settle(&mut self) {
        loop {
            let mut messages = Vec::new();
            for index in (0..self.nodes.len()).filter(|index| !self.down.contains(index)) {
                messages.extend(self.nodes[index].poll(self.now).into_iter().map(|message| (index, message)));
            }
            if messages.is_empty() {
                return;
            }
            for (from, message) in messages {
                self.deliver(&message);
                if tenant_of(&message) == &TenantName::from(TENANT) {
                    self.sent.push((from, message));
                }
            }
        }
    }

    pub fn deliver(&mut self, message: &OutgoingQuotaMessage) {
        let to = self.addresses.iter().position(|address| *address == message.to).expect("a node");
        match &message.content {
            _ if self.down.contains(&to) => {}
            QuotaContent::Request(request) => self.nodes[to].receive_request(request, self.now),
            QuotaContent::Grant(grant) => {
                self.nodes[to].receive_grant(grant, self.now);
            }
        }
    }

    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            self.settle();
        }
    }

    pub fn try_admit(&mut self, index: usize, tokens: u64, since: Timestamp) -> Admission {
        self.nodes[index].try_admit(&TENANT.into(), Some(tokens), since, self.now)
    }

    /// Asks, and once more after the messages that this caused.
    pub fn ask(&mut self, index: usize, tokens: u64) -> Admission {
        match self.try_admit(index, tokens, self.now) {
            Admission::Waiting => {
                self.settle();
                self.try_admit(index, tokens, self.now)
            }
            decided => decided,
        }
    }

    pub fn admits(&mut self, index: usize, tokens: u64) -> bool {
        matches!(self.ask(index, tokens), Admission::Admitted(_))
    }

    /// The units of 100 that a node gets at once.
    pub fn available(&mut self, index: usize) -> u64 {
        (0..5_000).take_while(|_| self.admits(index, 100)).count() as u64 * 100
    }

    pub fn balance(&self, index: usize) -> i64 {
        self.nodes[index].statuses(self.now)[0].balance
    }

    pub fn is_home(&self, index: usize) -> bool {
        self.nodes[index].statuses(self.now)[0].is_home
    }

    pub fn set_limit(&mut self, per_second: u64) {
        let table = table(limit(per_second));
        self.nodes.iter_mut().for_each(|node| node.set_limits(Some(Arc::clone(&table)), self.now));
    }

    /// The requests for units that a node sent, without probes.
    pub fn requests_of(&self, index: usize) -> Vec<(Address, QuotaRequest)> {
        let of_node = self.sent.iter().filter(|(from, _)| *from == index);
        let requests = of_node.filter_map(|(_, message)| match &message.content {
            QuotaContent::Request(request) if request.wanted > 0 => Some((message.to, request.clone())),
            _ => None,
        });
        requests.collect()
    }
}

fn node(own: Address, all: &[Address], now: Timestamp) -> TenantQuotas {
    let mut node = TenantQuotas::new(QuotaConfig::default(), own, now);
    node.set_peers(all, now);
    node.set_limits(Some(table(limit(RATE))), now);
    node.set_grant_share(1.0);
    node
}

fn tenant_of(message: &OutgoingQuotaMessage) -> &TenantName {
    match &message.content {
        QuotaContent::Request(request) => &request.tenant,
        QuotaContent::Grant(grant) => &grant.tenant,
    }
}
