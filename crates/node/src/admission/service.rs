//! Claims and limits for traffic threads, and the background thread that sends due messages.

use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{RecvTimeoutError, Sender, bounded};
use havengate_core::claims::{ClaimConfig, ClaimOutcome, RecordedOutcome};
use havengate_core::limits::{LimitConfig, Permit};
use havengate_core::membership::Member;
use havengate_core::request::{IdempotencyKey, RequestId};
use havengate_core::store::StoreRequest;
use havengate_core::time::Timestamp;
use havengate_core::verdict::{NotRun, NotRunReason};
use havengate_core::world::{Address, Tenant, TenantName};
use havengate_wire::PeerMessage;

use super::state::{AdmissionState, DueWork, Outgoing};
use crate::clock::Clock;
use crate::control::{ControlSnapshot, Workers};
use crate::http_server::HangUp;
use crate::operators::AdmissionStatus;
use crate::peers::ControlLink;
use crate::platform::PlatformApi;

/// The longest time between two polls for due work.
const ADMISSION_POLL_INTERVAL_MAXIMUM: Duration = Duration::from_millis(50);

/// The shortest time between two polls for due work.
const ADMISSION_POLL_INTERVAL_MINIMUM: Duration = Duration::from_millis(1);

/// How long a request may wait for a pending lease of its tenant's limits. It covers the round trip to a tenant's home
/// in another region.
const LEASE_TIMEOUT: Duration = Duration::from_millis(300);

/// How often a waiting request tries again to be admitted.
const ADMIT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Dependencies of the admission service.
pub struct AdmissionParts {
    /// This process.
    pub me: Member,
    /// Sends messages to other nodes.
    pub peers: Arc<ControlLink<PeerMessage>>,
    /// The platform, for the slot map.
    pub platform: Arc<dyn PlatformApi>,
    /// The node's clock.
    pub clock: Clock,
}

/// Manages the claims and limits of one node.
pub struct Admission {
    state: Mutex<AdmissionState>,
    me: Address,
    peers: Arc<ControlLink<PeerMessage>>,
    platform: Arc<dyn PlatformApi>,
    store: Workers,
    wake: Sender<()>,
    clock: Clock,
    answer_bytes_maximum: usize,
}

/// A key that was claimed for a request; the request's outcome must be recorded.
pub struct ClaimedKey {
    request: RequestId,
}

impl Admission {
    /// Starts the service; its thread ends when the service is dropped.
    ///
    /// # Errors
    /// When a thread can't be started.
    pub fn start(parts: AdmissionParts) -> io::Result<Arc<Self>> {
        let AdmissionParts { me, peers, platform, clock } = parts;
        let claims = ClaimConfig::default();
        let answer_bytes_maximum = claims.answer_bytes_maximum;
        let state = AdmissionState::new(me, claims, LimitConfig::default(), clock.now());
        let (wake, woken) = bounded(1);
        let admission = Arc::new(Admission {
            state: Mutex::new(state),
            me: me.address,
            peers,
            platform,
            store: Workers::start("slot-map", 1, 1)?,
            wake,
            clock,
            answer_bytes_maximum,
        });
        let weak = Arc::downgrade(&admission);
        thread::Builder::new().name("admission".to_owned()).spawn(move || {
            while let Some(admission) = weak.upgrade() {
                let wait = admission.poll();
                drop(admission);
                if woken.recv_timeout(wait) == Err(RecvTimeoutError::Disconnected) {
                    return;
                }
            }
        })?;
        Ok(admission)
    }

    /// Applies the members and tenants of a new snapshot.
    pub fn update(&self, snapshot: &ControlSnapshot) {
        self.lock().update(snapshot, self.clock.now());
    }

    /// Applies the platform's list of machines.
    pub fn set_listed(&self, listed: BTreeSet<Address>) {
        self.lock().set_listed(listed, self.clock.now());
    }

    /// Processes a message from another node and sends the answer, if any.
    pub fn receive(&self, from: Address, message: PeerMessage) {
        let answer = self.lock().receive(from, message, self.clock.now());
        self.wake();
        if let Some(answer) = answer {
            self.peers.send(answer.to, answer.message);
        }
    }

    /// Starts to drain the node: it asks the other holders of its claims what they hold.
    pub fn leave(&self) {
        self.lock().keeper.leave(self.clock.now());
        self.wake();
    }

    /// Whether claims would be lost if the draining node stopped now.
    pub fn is_needed(&self) -> bool {
        self.lock().keeper.is_needed()
    }

    /// Returns the status of claims and limits for operators.
    pub fn status(&self, tenants: &[Tenant]) -> AdmissionStatus {
        self.lock().status(tenants)
    }

    /// The longest answer that is recorded with a key, in bytes.
    pub fn answer_bytes_maximum(&self) -> usize {
        self.answer_bytes_maximum
    }

    /// Admits a request of `work` tokens within its tenant's limits. May block for up to `LEASE_TIMEOUT` while a lease
    /// of the limits is pending.
    ///
    /// # Errors
    /// When the limits are used up, or the caller hangs up while waiting.
    pub fn admit(&self, tenant: &TenantName, work: u32, hang_up: &HangUp) -> Result<Permit, NotRun> {
        let give_up_at = self.clock.now() + LEASE_TIMEOUT;
        loop {
            let now = self.clock.now();
            let (admitted, awaits_lease) = self.try_admit(tenant, work, now);
            let Err(refusal) = admitted else { return admitted };
            if !awaits_lease || now >= give_up_at {
                return Err(refusal);
            }
            if hang_up.is_set() {
                return Err(NotRun::new(NotRunReason::CallerGone));
            }
            self.wake();
            thread::sleep(ADMIT_RETRY_INTERVAL);
        }
    }

    /// Returns a permit; `used` is the work that was done, in tokens.
    pub fn release(&self, permit: Permit, used: u32) {
        self.lock().limiter.release(permit, used, self.clock.now());
    }

    /// Claims a key for a request that ends by `deadline`; blocks until the claim is decided.
    ///
    /// # Errors
    /// Any outcome other than [`ClaimOutcome::Won`]: the request must then not be dispatched.
    pub fn claim(
        &self,
        key: IdempotencyKey,
        request: RequestId,
        deadline: Timestamp,
        hang_up: &HangUp,
    ) -> Result<ClaimedKey, ClaimOutcome> {
        let (decision_sender, decision) = bounded(1);
        {
            let mut state = self.lock();
            let now = self.clock.now();
            state.client.claim(key, request, deadline, now).map_err(ClaimOutcome::Refused)?;
            state.waiting.insert(request, decision_sender);
        }
        self.wake();
        loop {
            match decision.recv_timeout(ADMISSION_POLL_INTERVAL_MAXIMUM) {
                Ok(ClaimOutcome::Won) => return Ok(ClaimedKey { request }),
                Ok(outcome) => return Err(outcome),
                Err(RecvTimeoutError::Timeout) if !hang_up.is_set() => {}
                Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return self.abandon(request),
            }
        }
    }

    /// Records the outcome of a request that had claimed its key.
    pub fn record(&self, claimed: ClaimedKey, outcome: RecordedOutcome) {
        self.lock().client.record(claimed.request, outcome, self.clock.now());
        self.wake();
    }

    fn try_admit(&self, tenant: &TenantName, work: u32, now: Timestamp) -> (Result<Permit, NotRun>, bool) {
        let mut state = self.lock();
        let admitted = state.limiter.try_admit(tenant, work, now);
        let awaits_lease = admitted.is_err() && state.limiter.awaits_lease(tenant, now);
        (admitted, awaits_lease)
    }

    /// Abandons a claim whose caller has hung up. A claim that was won meanwhile is recorded as not run.
    fn abandon(&self, request: RequestId) -> Result<ClaimedKey, ClaimOutcome> {
        let refusal = NotRun::new(NotRunReason::CallerGone);
        let mut state = self.lock();
        state.waiting.remove(&request);
        let now = self.clock.now();
        if !state.client.abandon(request, now) {
            let verdict = havengate_core::verdict::Verdict::NotRun(refusal.clone());
            state.client.record(request, RecordedOutcome { verdict, answer: None }, now);
        }
        Err(ClaimOutcome::Refused(refusal))
    }

    fn lock(&self) -> MutexGuard<'_, AdmissionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        // A full channel means that a wake-up is already pending.
        let _ = self.wake.try_send(());
    }

    /// Carries out due work and returns the time to wait until the next poll.
    fn poll(self: &Arc<Self>) -> Duration {
        let now = self.clock.now();
        let (due, next) = {
            let mut state = self.lock();
            let due = state.take_due(now);
            (due, state.next_due(now))
        };
        self.carry_out(due);
        next.since(self.clock.now()).clamp(ADMISSION_POLL_INTERVAL_MINIMUM, ADMISSION_POLL_INTERVAL_MAXIMUM)
    }

    fn carry_out(self: &Arc<Self>, due: DueWork) {
        for outgoing in due.messages {
            self.send(outgoing);
        }
        if let Some(request) = due.store {
            self.call_store(request);
        }
    }

    /// Sends a message. Messages to this node itself, and the answers to them, are processed without a connection.
    fn send(&self, outgoing: Outgoing) {
        let Outgoing { to, message } = outgoing;
        if to != self.me {
            return self.peers.send(to, message);
        }
        let mut next = Some(message);
        while let Some(message) = next {
            let answer = self.lock().receive(to, message, self.clock.now());
            next = answer.map(|answer| answer.message);
        }
        self.wake();
    }

    fn call_store(self: &Arc<Self>, request: StoreRequest) {
        let platform = Arc::clone(&self.platform);
        let weak: Weak<Self> = Arc::downgrade(self);
        let job = move || {
            let reply = platform.call(&request);
            if let Some(admission) = weak.upgrade() {
                let mut state = admission.lock();
                let now = admission.clock.now();
                state.keeper.store_replied(reply, now);
                state.distribute_map(now);
            }
        };
        if self.store.run(job).is_err() {
            // The keeper times out a request without a reply and sends it again.
            log::warn!("slot_map_store_busy");
        }
    }
}
