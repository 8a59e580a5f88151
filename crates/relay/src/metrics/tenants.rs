//! Metrics of tenants' limits. Their labels are the tenants that have a limit in the configuration.

use std::time::Duration;

use havengate_core::quota::TenantQuotaStatus;
use havengate_core::world::TenantName;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::RelayMetrics;
use super::labels::{TenantLabel, TenantRequestLabels};

/// Upper bounds of the histograms of waiting times, in seconds. A grant takes one round trip: about 1 ms within a region
/// and 60 ms between regions.
const WAIT_BUCKETS: [f64; 5] = [0.002, 0.01, 0.05, 0.15, 0.5];

/// What happened to the units of a request of a limited tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// The limit allowed the request.
    Admitted,
    /// The limit did not allow it.
    Refused,
    /// It was admitted but did not run, or a later send did not, so its units were returned.
    Returned,
    /// It was sent again after it may have run, so its units were counted again.
    ChargedAgain,
}

impl QuotaOutcome {
    const ALL: [QuotaOutcome; 4] =
        [QuotaOutcome::Admitted, QuotaOutcome::Refused, QuotaOutcome::Returned, QuotaOutcome::ChargedAgain];

    fn code(self) -> &'static str {
        match self {
            QuotaOutcome::Admitted => "admitted",
            QuotaOutcome::Refused => "refused",
            QuotaOutcome::Returned => "returned",
            QuotaOutcome::ChargedAgain => "charged_again",
        }
    }
}

pub(super) struct TenantLimitMetrics {
    requests: Family<TenantRequestLabels, Counter>,
    wait_seconds: Family<TenantLabel, Histogram, fn() -> Histogram>,
    per_second: Family<TenantLabel, Gauge>,
    balance: Family<TenantLabel, Gauge>,
    is_home: Family<TenantLabel, Gauge>,
}

impl TenantLimitMetrics {
    pub(super) fn new() -> Self {
        let waits: fn() -> Histogram = || Histogram::new(WAIT_BUCKETS);
        TenantLimitMetrics {
            requests: Family::default(),
            wait_seconds: Family::new_with_constructor(waits),
            per_second: Family::default(),
            balance: Family::default(),
            is_home: Family::default(),
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "tenant_limit_requests",
            "Requests of tenants with a limit, by what happened to their units",
            self.requests.clone(),
        );
        registry.register(
            "tenant_limit_wait_seconds",
            "Waiting time of requests for units of their tenant's limit",
            self.wait_seconds.clone(),
        );
        registry.register("tenant_limit_per_second", "Tenants' limits in units per second", self.per_second.clone());
        registry.register("tenant_limit_balance", "Units available at this node", self.balance.clone());
        registry.register("tenant_limit_home", "1 if this node grants the tenant's units", self.is_home.clone());
    }
}

impl RelayMetrics {
    /// Counts a request of a tenant with a limit.
    pub fn record_limited_request(&self, tenant: &TenantName, outcome: QuotaOutcome) {
        let labels = TenantRequestLabels { tenant: tenant.to_string(), outcome: outcome.code() };
        self.metrics.tenant_limits.requests.get_or_create(&labels).inc();
    }

    /// Records how long a request waited for units of its tenant's limit.
    pub fn record_limit_wait(&self, tenant: &TenantName, waited: Duration) {
        let label = TenantLabel { tenant: tenant.to_string() };
        self.metrics.tenant_limits.wait_seconds.get_or_create(&label).observe(waited.as_secs_f64());
    }

    /// Sets the gauges of each tenant with a limit.
    pub fn set_tenant_limits(&self, statuses: &[TenantQuotaStatus]) {
        let metrics = &self.metrics.tenant_limits;
        for status in statuses {
            let label = TenantLabel { tenant: status.tenant.to_string() };
            let per_second = i64::try_from(status.per_second).unwrap_or(i64::MAX);
            metrics.per_second.get_or_create(&label).set(per_second);
            metrics.balance.get_or_create(&label).set(status.balance);
            metrics.is_home.get_or_create(&label).set(i64::from(status.is_home));
        }
    }

    /// Removes the metrics of a tenant that no longer has a limit.
    pub fn remove_limited_tenant(&self, tenant: &TenantName) {
        let metrics = &self.metrics.tenant_limits;
        let label = TenantLabel { tenant: tenant.to_string() };
        for outcome in QuotaOutcome::ALL {
            metrics.requests.remove(&TenantRequestLabels { tenant: tenant.to_string(), outcome: outcome.code() });
        }
        metrics.wait_seconds.remove(&label);
        for gauges in [&metrics.per_second, &metrics.balance, &metrics.is_home] {
            gauges.remove(&label);
        }
    }
}
