//! An order to one engine, from its own report to its answer.

use std::time::Duration;

use havengate_core::authority::Term;
use havengate_core::back_ends::{BackEnd, EngineStage};
use havengate_core::stages::OrderAnswer;
use havengate_core::time::Timestamp;
use havengate_core::world::NodeName;
use havengate_node::clock::Clock;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::back_ends::{ConnectionPool, address_to, reading};
use crate::protocol::{EngineReport, Protocol, StageOrderFacts};

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
        if !order.engine.id.may_be_life_of(report.started) {
            // What was decided for a former life is decided anew for this one, once the directory shows it.
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
        let request = self.protocol.stage_order(&facts).and_then(|mut request| {
            address_to(&order.engine, &mut request)?;
            Some(request)
        });
        let Some(request) = request else {
            return OrderAnswer::NotUnderstood;
        };
        let Ok(connection) = self.pool.lease(&order.engine).await else {
            return OrderAnswer::NotSent;
        };
        // Looked at last: a process that was paused, or waited for the connection, may have lost the lease meanwhile.
        if self.clock.now() >= order.until {
            return OrderAnswer::NotSent;
        }
        match timeout(order.time_limit, connection.call(request, ANSWER_MAXIMUM_BYTES)).await {
            Ok(Some((status, _))) => self.protocol.judge_order(status),
            Ok(None) | Err(_) => OrderAnswer::Unknown,
        }
    }

    async fn report(&self, engine: &BackEnd) -> Option<EngineReport> {
        let connection = self.pool.lease(engine).await.ok()?;
        let request = reading(engine, self.protocol.report_path())?;
        let (status, body) = connection.call(request, ANSWER_MAXIMUM_BYTES).await?;
        if status != StatusCode::OK {
            return None;
        }
        self.protocol.read_report(&body)
    }
}
