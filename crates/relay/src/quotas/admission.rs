//! Admission of requests within the limit of their tenant: waiting for units, and refusal.

use std::time::Duration;

use havengate_core::quota::Admission;
use havengate_core::time::{Timestamp, whole_millis};
use havengate_core::world::TenantName;
use tokio::time::timeout;

use super::{QuotaPermit, Quotas};
use crate::metrics::QuotaOutcome;

/// The longest time after which a waiting request asks again without being woken by a change: units may also become
/// available by time alone.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The shortest retry time of a request that was refused because its wait was over.
const RETRY_AFTER_MINIMUM: Duration = Duration::from_millis(100);

/// The range of the random factor by which retry times are spread, so that callers don't retry at the same moment.
const RETRY_SPREAD: std::ops::Range<f64> = 0.5..1.5;

/// A request that its tenant's limit does not allow now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// When a retry may be admitted.
    pub retry_after: Duration,
}

impl Quotas {
    /// Admits a request of `tenant`, after waiting for units for at most `wait_maximum`. Returns `None` if the tenant
    /// has no limit. `request` names the request in the log.
    ///
    /// # Errors
    /// When the limit does not allow the request.
    pub async fn admit(
        &self,
        tenant: &TenantName,
        token_count: Option<u64>,
        wait_maximum: Duration,
        request: &str,
    ) -> Result<Option<QuotaPermit>, QuotaRefusal> {
        if !self.has_limit(tenant) {
            return Ok(None);
        }
        let mut waiting = WaitingRequest::new(self, tenant, token_count);
        loop {
            let mut changed = std::pin::pin!(self.shared.changed.notified());
            changed.as_mut().enable();
            let admission = waiting.try_admit();
            let waited = waiting.waited();
            let refuse = |retry_after| Err(self.refuse(tenant, token_count, waited, retry_after, request));
            match admission {
                None | Some(Admission::Unlimited) => return Ok(None),
                Some(Admission::Admitted(permit)) => {
                    self.shared.metrics.record_limited_request(tenant, QuotaOutcome::Admitted);
                    self.shared.metrics.record_limit_wait(tenant, waited);
                    return Ok(Some(QuotaPermit::new(self.clone(), permit)));
                }
                Some(Admission::Refused { retry_after }) => return refuse(retry_after),
                Some(Admission::Waiting) if waited >= wait_maximum => {
                    return refuse(self.refill_time(tenant, token_count));
                }
                Some(Admission::Waiting) => {
                    // Without a change the request asks again after the interval.
                    let _ = timeout(RECHECK_INTERVAL.min(wait_maximum - waited), changed).await;
                }
            }
        }
    }

    /// Logs and counts a refusal.
    fn refuse(
        &self,
        tenant: &TenantName,
        token_count: Option<u64>,
        waited: Duration,
        retry_after: Duration,
        request: &str,
    ) -> QuotaRefusal {
        self.shared.metrics.record_limited_request(tenant, QuotaOutcome::Refused);
        self.shared.metrics.record_limit_wait(tenant, waited);
        let knowledge = self.shared.knowledge.load();
        let limit = knowledge.limit_of(tenant);
        log::info!(
            event = "tenant_limit_refused",
            request,
            tenant:% = tenant,
            cost = limit.map_or(0, |limit| limit.cost_of(token_count)),
            per_second = limit.map_or(0, |limit| limit.per_second),
            waited_ms = whole_millis(waited),
            retry_after_ms = whole_millis(retry_after);
            ""
        );
        QuotaRefusal { retry_after }
    }

    /// The time in which the tenant's limit refills the cost of the request, spread by a factor in [`RETRY_SPREAD`].
    fn refill_time(&self, tenant: &TenantName, token_count: Option<u64>) -> Duration {
        let knowledge = self.shared.knowledge.load();
        let limit = knowledge.limit_of(tenant);
        let seconds = limit.map_or(0.0, |limit| limit.cost_of(token_count) as f64 / limit.per_second.max(1) as f64);
        let spread = RETRY_SPREAD.start + fastrand::f64() * (RETRY_SPREAD.end - RETRY_SPREAD.start);
        let refill = Duration::try_from_secs_f64(seconds).unwrap_or(RETRY_AFTER_MINIMUM);
        refill.max(RETRY_AFTER_MINIMUM).mul_f64(spread)
    }
}

/// A request that asks for units, from its first call until it is admitted, refused or dropped.
struct WaitingRequest<'a> {
    quotas: &'a Quotas,
    tenant: &'a TenantName,
    token_count: Option<u64>,
    /// When it first asked; identifies it among the tenant's waiting requests.
    since: Option<Timestamp>,
    is_waiting: bool,
}

impl<'a> WaitingRequest<'a> {
    fn new(quotas: &'a Quotas, tenant: &'a TenantName, token_count: Option<u64>) -> Self {
        WaitingRequest { quotas, tenant, token_count, since: None, is_waiting: false }
    }

    /// Asks for units; `None` while limits are not enforced.
    fn try_admit(&mut self) -> Option<Admission> {
        let (tenant, token_count) = (self.tenant, self.token_count);
        let since = &mut self.since;
        let admission = self.quotas.with_quotas(|quotas, now| {
            let since = *since.get_or_insert(now);
            quotas.try_admit(tenant, token_count, since, now)
        });
        self.is_waiting = admission == Some(Admission::Waiting);
        admission
    }

    fn waited(&self) -> Duration {
        self.since.map_or(Duration::ZERO, |since| self.quotas.shared.clock.now().since(since))
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if let Some(since) = self.since.filter(|_| self.is_waiting) {
            self.quotas.with_quotas(|quotas, _| quotas.stop_waiting(self.tenant, self.token_count, since));
        }
    }
}
