//! A client of the operators' API of one node.

use std::time::Duration;

use displaydoc::Display;
use havengate_core::world::Address;
use havengate_node::operators::OperatorError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::options::NodeApi;

/// The longest answer that is read: the status of a deployment of the design size has some 4,100 engines.
const ANSWER_MAXIMUM_BYTES: u64 = 64 * 1_024 * 1_024;

/// Why there is no usable answer.
#[derive(Debug, Display, thiserror::Error)]
pub enum ClientError {
    /// {node} can't be reached, so nothing has happened: {reason}
    Unreachable {
        /// The node that was called.
        node: Address,
        /// What went wrong.
        reason: String,
    },
    /// {node} has not answered; what was asked for may have happened: {reason}
    NoAnswer {
        /// The node that was called.
        node: Address,
        /// What went wrong.
        reason: String,
    },
    /// {node} answered with status {status} in a way that is not the operators' API: {reason}
    UnknownAnswer {
        /// The node that was called.
        node: Address,
        /// The status of HTTP.
        status: u16,
        /// What can't be understood.
        reason: String,
    },
    /// {0}
    Refused(#[from] OperatorError),
}

/// A client of one node.
pub struct Client {
    node: Address,
    agent: Agent,
}

impl Client {
    /// A client for calls that the node answers at once.
    pub fn for_calls(api: &NodeApi) -> Self {
        Client::for_calls_that_wait(api, Duration::ZERO)
    }

    /// A client for calls that the node may keep open for `wait` before it answers.
    pub fn for_calls_that_wait(api: &NodeApi, wait: Duration) -> Self {
        let connect = api.timeout.0;
        let answer = api.timeout.0.saturating_add(wait);
        let config = Agent::config_builder()
            .timeout_connect(Some(connect))
            .timeout_send_request(Some(connect))
            .timeout_send_body(Some(connect))
            .timeout_recv_response(Some(answer))
            .timeout_recv_body(Some(answer))
            .timeout_global(Some(connect.saturating_add(answer)))
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .build();
        Client { node: api.node, agent: Agent::new_with_config(config) }
    }

    /// Asks for what stands at `path`.
    ///
    /// # Errors
    /// When the node can't be reached, refuses, or answers in another form.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, ClientError> {
        let answer = self.agent.get(self.url(path)).call();
        self.read(answer)
    }

    /// Posts `body` to `path`.
    ///
    /// # Errors
    /// As [`Client::get`]. Without an answer, what was asked for may have happened.
    pub fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T, ClientError> {
        let answer = self.agent.post(self.url(path)).send_json(body);
        self.read(answer)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node)
    }

    fn read<T: DeserializeOwned>(&self, answer: Result<Response<Body>, ureq::Error>) -> Result<T, ClientError> {
        let mut answer = answer.map_err(|error| self.failure(&error))?;
        let status = answer.status();
        let body = answer.body_mut().with_config().limit(ANSWER_MAXIMUM_BYTES).read_to_string();
        let body = body.map_err(|error| self.failure(&error))?;
        if !status.is_success() {
            let refusal: OperatorError = self.parse(status.as_u16(), &body)?;
            return Err(ClientError::Refused(refusal));
        }
        self.parse(status.as_u16(), &body)
    }

    fn parse<T: DeserializeOwned>(&self, status: u16, body: &str) -> Result<T, ClientError> {
        let unknown = |error: serde_json::Error| error.to_string();
        serde_json::from_str(body).map_err(unknown).map_err(|reason| ClientError::UnknownAnswer {
            node: self.node,
            status,
            reason,
        })
    }

    /// Only a connection that never came about proves that nothing has happened.
    fn failure(&self, error: &ureq::Error) -> ClientError {
        let (node, reason) = (self.node, error.to_string());
        if never_connected(error) {
            ClientError::Unreachable { node, reason }
        } else {
            ClientError::NoAnswer { node, reason }
        }
    }
}

fn never_connected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound | ureq::Error::BadUri(_) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}
