//! The periodic log lines about limited tenants.

use std::collections::BTreeMap;

use havengate_core::quota::TenantQuotaStatus;
use havengate_core::world::TenantName;

/// The most tenants of one summary, those with the most requests.
const TENANTS_MAXIMUM: usize = 20;

/// The counts at the last summary.
#[derive(Default)]
pub(super) struct QuotaSummary {
    counted: BTreeMap<TenantName, Counts>,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    admitted: u64,
    refused: u64,
}

impl QuotaSummary {
    /// Logs the tenants that had requests since the last summary, and how many others there are.
    pub(super) fn log(&mut self, statuses: &[TenantQuotaStatus]) {
        let mut busy: Vec<(&TenantQuotaStatus, Counts)> =
            statuses.iter().map(|status| (status, self.since_last(status))).collect();
        busy.retain(|(_, counts)| counts.admitted + counts.refused > 0);
        busy.sort_by_key(|(_, counts)| std::cmp::Reverse((counts.refused, counts.admitted)));
        for (status, counts) in busy.iter().take(TENANTS_MAXIMUM) {
            log::info!(
                event = "tenant_limit",
                tenant:% = status.tenant,
                per_second = status.per_second,
                burst = status.burst,
                balance = status.balance,
                admitted = counts.admitted,
                refused = counts.refused,
                home:% = status.home,
                is_home = status.is_home;
                ""
            );
        }
        if !statuses.is_empty() {
            let homes = statuses.iter().filter(|status| status.is_home).count();
            let untold = busy.len().saturating_sub(TENANTS_MAXIMUM);
            log::info!(event = "tenant_limits", tenants = statuses.len(), homes, busy = busy.len(), untold; "");
        }
        let counts = |status: &TenantQuotaStatus| Counts { admitted: status.admitted, refused: status.refused };
        self.counted = statuses.iter().map(|status| (status.tenant.clone(), counts(status))).collect();
    }

    /// What was counted since the last summary.
    fn since_last(&self, status: &TenantQuotaStatus) -> Counts {
        let last = self.counted.get(&status.tenant).copied().unwrap_or_default();
        Counts {
            admitted: status.admitted.saturating_sub(last.admitted),
            refused: status.refused.saturating_sub(last.refused),
        }
    }
}
