//! An order to one engine, from its own report to its answer.

use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::stages::OrderAnswer;
use havengate_core::time::Timestamp;
use havengate_core::world::NodeName;
use havengate_node::clock::Clock;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::timeout;

use crate::back_ends::{ConnectionPool, Lease as ConnectionLease};
use crate::protocol::{EngineReport, Protocol, RequestBody, StageOrderFacts};

/// The longest that an engine may take to tell of itself: a few hundred bytes, of which it has a copy.
const REPORT_TIME_LIMIT: Duration = Duration::from_millis(400);

/// The largest report or answer to an order.
const ANSWER_MAXIMUM_BYTES: usize = 64 * 1024;

/// Gives orders to engines over connections of its own. Copies share them.
#[derive(Clone)]
pub struct EngineOrders<P> {
    /// What engines speak.
    pub protocol: P,
    /// Connections to engines.
    pub pool: ConnectionPool,
    /// This node's name, by which engines know the holder.
    pub holder: NodeName,
    /// The node's clock.
    pub clock: Clock,
}

/// What is ordered, and how long the authority for it lasts.
pub struct EngineOrder {
    /// The engine.
    pub engine: BackEnd,
    /// The stage that it is to serve.
    pub to: EngineStage,
    /// The term of the lease.
    pub term: Term,
    /// The moment from which on the order must not be sent any more.
    pub until: Timestamp,
    /// The longest that its answer is waited for.
    pub time_limit: Duration,
}

impl<P: Protocol> EngineOrders<P> {
    /// Orders an engine to change, unless it has changed or is changing, and tells how it answered.
    ///
    /// The engine's own count of orders goes along, so that of two copies of the order, or of it and a late one of another
    /// holder, the engine follows one only.
    pub async fn give(&self, order: &EngineOrder) -> OrderAnswer {
        let report = match timeout(REPORT_TIME_LIMIT, self.report(&order.engine)).await {
            Ok(Some(report)) => report,
            // Nothing was ordered: an engine that does not tell of itself may be gone or cut off.
            Ok(None) | Err(_) => return OrderAnswer::NotSent,
        };
        if report.stage == order.to {
            return OrderAnswer::Holds;
        }
        if report.is_busy {
            return OrderAnswer::Busy;
        }
        let facts = StageOrderFacts {
            engine: &order.engine,
            to: order.to,
            holder: &self.holder,
            term: order.term,
            orders_taken: report.orders_taken,
        };
        let Some(request) = self.protocol.stage_order(&facts) else {
            return OrderAnswer::NotUnderstood;
        };
        let Ok(connection) = self.pool.lease(&order.engine).await else {
            return OrderAnswer::NotSent;
        };
        // Looked at last: a process that was paused, or waited for the connection, may have lost the lease meanwhile.
        if self.clock.now() >= order.until {
            return OrderAnswer::NotSent;
        }
        match timeout(order.time_limit, call(connection, &order.engine, request)).await {
            Ok(Some((status, _))) => self.protocol.judge_order(status),
            Ok(None) | Err(_) => OrderAnswer::Unknown,
        }
    }

    async fn report(&self, engine: &BackEnd) -> Option<EngineReport> {
        let connection = self.pool.lease(engine).await.ok()?;
        let mut request = Request::new(RequestBody::default());
        *request.method_mut() = Method::GET;
        *request.uri_mut() = self.protocol.report_path().parse().ok()?;
        let (status, body) = call(connection, engine, request).await?;
        if status != StatusCode::OK {
            return None;
        }
        self.protocol.read_report(&body)
    }
}

async fn call(
    mut connection: ConnectionLease,
    engine: &BackEnd,
    mut request: Request<RequestBody>,
) -> Option<(StatusCode, bytes::Bytes)> {
    let host = HeaderValue::from_str(&engine.address.to_string()).ok()?;
    request.headers_mut().insert(HOST, host);
    let answer: Response<_> = connection.sender()?.send_request(request).await.ok()?;
    let status = answer.status();
    let body = Limited::new(answer.into_body(), ANSWER_MAXIMUM_BYTES).collect().await.ok()?;
    connection.give_back();
    Some((status, body.to_bytes()))
}
