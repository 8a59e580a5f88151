//! The exchange of requests and grants of units of tenants' limits.

use havengate_core::quota::{OutgoingQuotaMessage, QuotaContent, QuotaGrant, QuotaRequest};
use havengate_core::relay::PeerNotice;

use super::PeerNotices;
use crate::metrics::NodeMessageKind;
use crate::quotas::Quotas;

impl PeerNotices {
    /// Starts to exchange the messages of `quotas`. While limits are not enforced, nothing is sent and messages of
    /// peers are dropped.
    pub fn exchange_quotas(&self, quotas: &Quotas) {
        if self.shared.quotas.set(quotas.clone()).is_ok() {
            tokio::task::spawn_local(self.clone().send_quotas(quotas.clone()));
        }
    }

    /// Sends the messages that are due; never returns.
    async fn send_quotas(self, quotas: Quotas) {
        loop {
            for OutgoingQuotaMessage { to, content } in quotas.poll() {
                let notice = match content {
                    QuotaContent::Request(request) => PeerNotice::QuotaRequest(request),
                    QuotaContent::Grant(grant) => PeerNotice::QuotaGrant(grant),
                };
                self.send(&notice, NodeMessageKind::Quotas, &[to]).await;
            }
            quotas.wait_until_due().await;
        }
    }

    pub(super) fn receive_quota_request(&self, request: &QuotaRequest) {
        self.count_if_dropped(self.enforced_quotas().map(|quotas| quotas.receive_request(request)));
    }

    pub(super) fn receive_quota_grant(&self, grant: &QuotaGrant) {
        self.count_if_dropped(self.enforced_quotas().map(|quotas| quotas.receive_grant(grant)));
    }

    /// Counts a message as dropped unless it is used; `None`: limits are not enforced.
    fn count_if_dropped(&self, is_used: Option<bool>) {
        match is_used {
            Some(true) => {}
            Some(false) => self.shared.metrics.record_dropped_message("overtaken"),
            None => self.shared.metrics.record_dropped_message("not_enabled"),
        }
    }

    /// The limits; `None` while they are not enforced or exchanged.
    fn enforced_quotas(&self) -> Option<&Quotas> {
        self.shared.quotas.get().filter(|quotas| quotas.is_enforced())
    }
}
