//! Sends an order to one engine: reads the engine's report, sends the order and interprets the answer.

use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::stages::OrderAnswer;
use havengate_core::time::Timestamp;
use havengate_core::world::NodeName;
use havengate_node::clock::Clock;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::back_ends::{ConnectionPool, OwnConnection, address_to, get_request};
use crate::protocol::{EngineReport, Protocol, StageOrderFacts};

/// Time limit for an engine's report: a few hundred bytes, of which the engine holds a copy.
const REPORT_TIME_LIMIT: Duration = Duration::from_millis(400);

/// Maximum size of a report, or of an answer to an order.
const ANSWER_MAXIMUM_BYTES: usize = 64 * 1024;

/// Sends orders to engines, each over a connection of its own.
#[derive(Clone)]
pub struct EngineOrders<P> {
    /// Protocol of the engines.
    pub protocol: P,
    /// Opens the connections to engines.
    pub pool: ConnectionPool,
    /// This node's name, which identifies the holder to engines.
    pub holder: NodeName,
    /// The node's clock.
    pub clock: Clock,
}

/// An order to an engine, and the time limits of its authority.
pub struct EngineOrder {
    /// The engine.
    pub engine: BackEnd,
    /// The stage to change to.
    pub to: EngineStage,
    /// The term of the lease.
    pub term: Term,
    /// Time from which the order must not be sent.
    pub until: Timestamp,
    /// Time limit for the answer.
    pub time_limit: Duration,
}

impl<P: Protocol> EngineOrders<P> {
    /// Orders an engine to change, unless it has changed or is changing, and returns the result.
    ///
    /// The order contains the engine's own count of accepted orders, so that the engine follows only one of two copies
    /// of the order, or of the order and a late one of another holder.
    pub async fn send(&self, order: &EngineOrder) -> OrderAnswer {
        let report = match timeout(REPORT_TIME_LIMIT, self.report(&order.engine)).await {
            Ok(Some(report)) => report,
            // No order is sent: an engine that does not report may be gone or unreachable.
            Ok(None) | Err(_) => return OrderAnswer::NotSent,
        };
        if !order.engine.id.may_be_same_incarnation(report.started) {
            // The decision was made for a previous incarnation. It is made again for this one once the directory lists
            // it.
            log::info!(event = "engine_is_another_life", back_end:% = order.engine.id, told_by = "report"; "");
            return OrderAnswer::NotSent;
        }
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
        let request = self.protocol.stage_order(&facts);
        let Some(request) = request.and_then(|request| address_to(&self.protocol, &order.engine, request)) else {
            return OrderAnswer::NotUnderstood;
        };
        let Ok(connection) = OwnConnection::open(&self.pool, &order.engine).await else {
            return OrderAnswer::NotSent;
        };
        // Checked last: the process may have lost the lease while it was paused or waiting for the connection.
        if self.clock.now() >= order.until {
            return OrderAnswer::NotSent;
        }
        match timeout(order.time_limit, connection.call(request, ANSWER_MAXIMUM_BYTES)).await {
            Ok(Some((status, _))) => self.protocol.classify_order_answer(status),
            Ok(None) | Err(_) => OrderAnswer::Unknown,
        }
    }

    async fn report(&self, engine: &BackEnd) -> Option<EngineReport> {
        let connection = OwnConnection::open(&self.pool, engine).await.ok()?;
        let request = address_to(&self.protocol, engine, get_request(self.protocol.report_path())?)?;
        let (status, body) = connection.call(request, ANSWER_MAXIMUM_BYTES).await?;
        if status != StatusCode::OK {
            return None;
        }
        self.protocol.read_report(&body)
    }
}
