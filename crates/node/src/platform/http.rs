//! The platform over HTTP, by `ureq`.

use std::time::Duration;

use havengate_core::store::{ObjectKey, Revision, StoreReply, StoreRequest, StoredObject};
use havengate_core::world::Address;
use ureq::Agent;

use super::api::PlatformApi;
use super::dialect::{MachineEntry, WriteAnswer, WriteRequest};

const STATUS_OK: u16 = 200;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_CONFLICT: u16 = 409;

/// How long the node waits for the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformTimeouts {
    /// For a connection.
    pub connect: Duration,
    /// For the answer to a read or write. A write that takes longer counts as unknown.
    pub call: Duration,
}

impl Default for PlatformTimeouts {
    fn default() -> Self {
        PlatformTimeouts { connect: Duration::from_millis(500), call: Duration::from_secs(2) }
    }
}

/// Calls the platform over HTTP.
pub struct HttpPlatformApi {
    address: Address,
    agent: Agent,
    timeouts: PlatformTimeouts,
}

impl HttpPlatformApi {
    /// An adapter to the platform at `address`.
    pub fn new(address: Address, timeouts: PlatformTimeouts) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .max_redirects(0)
            .timeout_connect(Some(timeouts.connect))
            .timeout_global(Some(timeouts.call))
            .build();
        HttpPlatformApi { address, agent: config.into(), timeouts }
    }

    fn object_url(&self, key: &ObjectKey) -> String {
        format!("http://{}/objects/{}", self.address, key.0)
    }

    fn read(&self, key: &ObjectKey) -> StoreReply {
        let Ok(mut response) = self.agent.get(self.object_url(key)).call() else { return StoreReply::Unknown };
        match response.status().as_u16() {
            STATUS_OK => match response.body_mut().read_json() {
                Ok(object) => StoreReply::Object(Some(object)),
                Err(_) => StoreReply::Unknown,
            },
            STATUS_NOT_FOUND => StoreReply::Object(None),
            _ => StoreReply::Unknown,
        }
    }

    fn write(&self, key: &ObjectKey, body: &WriteRequest) -> StoreReply {
        let Ok(mut response) = self.agent.put(self.object_url(key)).send_json(body) else { return StoreReply::Unknown };
        match response.status().as_u16() {
            STATUS_OK => match response.body_mut().read_json::<WriteAnswer>() {
                Ok(answer) => StoreReply::Written(answer.revision),
                Err(_) => StoreReply::Unknown,
            },
            STATUS_CONFLICT => match response.body_mut().read_json() {
                Ok(current) => StoreReply::Conflict(current),
                Err(_) => StoreReply::Unknown,
            },
            _ => StoreReply::Unknown,
        }
    }
}

impl PlatformApi for HttpPlatformApi {
    fn call(&self, request: &StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Read { key } => self.read(key),
            StoreRequest::CompareAndSet { key, expected, operation, value } => {
                let body = WriteRequest { expected: *expected, operation: *operation, value: value.clone() };
                self.write(key, &body)
            }
        }
    }

    fn watch(&self, key: &ObjectKey, after: Revision, wait: Duration) -> Option<StoredObject> {
        let url = format!("{}?after={}&wait_ms={}", self.object_url(key), after.0, wait.as_millis());
        let limit = wait + self.timeouts.call;
        let call = self.agent.get(url).config().timeout_global(Some(limit)).build().call();
        let mut response = call.ok()?;
        if response.status().as_u16() != STATUS_OK {
            return None;
        }
        response.body_mut().read_json().ok()
    }

    fn machines(&self) -> Option<Vec<MachineEntry>> {
        let mut response = self.agent.get(format!("http://{}/machines", self.address)).call().ok()?;
        if response.status().as_u16() != STATUS_OK {
            return None;
        }
        response.body_mut().read_json().ok()
    }
}
