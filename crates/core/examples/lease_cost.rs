//! Measures the cost of tenants' limits on the wire: bytes per second for each tenant that is active at a gateway.
//!
//! `cargo run --release -p havengate-core --example lease_cost`

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use havengate_core::limits::{LimitAllocator, LimitConfig, TenantLimiter};
use havengate_core::membership::{Incarnation, Member};
use havengate_core::time::Timestamp;
use havengate_core::world::{Address, Tenant, TenantLimits};
use speedy::Writable;

const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 60_000;

fn main() -> Result<(), Box<dyn Error>> {
    for requests_per_second in [0.1, 1.0, 13.0] {
        println!("{}", measure(requests_per_second)?);
    }
    Ok(())
}

/// Simulates ten minutes of one tenant at one gateway, well below its limits.
fn measure(requests_per_second: f64) -> Result<String, Box<dyn Error>> {
    let limits = TenantLimits { concurrent_requests: 1_000, work_tokens_per_second: 1_000_000 };
    let name = "himal-school-books";
    let tenant =
        Tenant { name: name.into(), api_key: "key".to_owned(), contract: "contract".into(), limits: Some(limits) };
    let member = Member { address: Address(SocketAddr::from(([127, 0, 0, 1], 7000))), incarnation: Incarnation(1) };
    let mut now = Timestamp::from_millis(1_000);
    let mut limiter = TenantLimiter::new(member, LimitConfig::default());
    limiter.set_tenants([&tenant]);
    let mut allocator = LimitAllocator::new(LimitConfig::default());
    allocator.set_homes([&tenant], now);
    now = now + LimitConfig::default().takeover_wait();
    let mut random = Rng::with_seed(1);
    let mut running = Vec::new();
    let (mut messages, mut bytes, mut admitted, mut refused) = (0u32, 0usize, 0u32, 0u32);
    for _ in 0..STEPS {
        now = now + STEP;
        while running.first().is_some_and(|(ends, _)| *ends <= now) {
            let (_, permit) = running.remove(0);
            limiter.release(permit, 2_000, now);
        }
        if random.f64() < requests_per_second * STEP.as_secs_f64() {
            match limiter.try_admit(&tenant.name, 2_500, now) {
                Ok(permit) => running.push((now + Duration::from_secs(5), permit)),
                Err(_) => refused += 1,
            }
            admitted = u32::try_from(running.len()).unwrap_or(u32::MAX).max(admitted);
        }
        for request in limiter.poll(now) {
            bytes += request.write_to_vec()?.len();
            messages += 1;
            if let Some(grant) = allocator.step(&request, now) {
                bytes += grant.write_to_vec()?.len();
                messages += 1;
                limiter.step(&grant, now);
            }
        }
    }
    let seconds = f64::from(STEPS) * STEP.as_secs_f64();
    Ok(format!(
        "requests_per_second={requests_per_second} messages_per_second={:.2} bytes_per_second={:.1} most_running={admitted} refused_first={refused}",
        f64::from(messages) / seconds,
        bytes as f64 / seconds
    ))
}
