//! Error responses to callers: a status, a stable code, and whether the request may have run.

use std::time::Duration;

use havengate_core::request::RequestId;
use havengate_core::verdict::{MayHaveRun, NotRun, NotRunReason, Verdict};
use serde::Serialize;

use super::headers::{self, REPLAYED, RETRY_AFTER, SHOULD_RETRY, VERDICT};
use crate::http_server::{Response, ServerRefusal, StatusCode};

/// Retry delay for refusals that give no delay themselves.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_secs(1);

/// A refusal, or an interrupted answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CallerError {
    pub(super) status: StatusCode,
    pub(super) code: &'static str,
    pub(super) message: String,
    pub(super) verdict: Verdict,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorContent<'a>,
}

#[derive(Serialize)]
struct ErrorContent<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    verdict: &'static str,
}

impl CallerError {
    /// Error for an invalid request, which has not run.
    pub(super) fn invalid(message: impl Into<String>) -> Self {
        let mut error = CallerError::not_run(NotRun::new(NotRunReason::InvalidRequest));
        error.message = message.into();
        error
    }

    /// Error for an unknown path or method. Nothing has run.
    pub(super) fn routing(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        CallerError { status, code, ..CallerError::invalid(message) }
    }

    pub(super) fn not_run(refusal: NotRun) -> Self {
        CallerError {
            status: not_run_status(refusal.reason),
            code: refusal.reason.code(),
            message: refusal.reason.to_string(),
            verdict: Verdict::NotRun(refusal),
        }
    }

    pub(super) fn may_have_run(reason: MayHaveRun) -> Self {
        CallerError {
            status: may_have_run_status(reason),
            code: reason.code(),
            message: reason.to_string(),
            verdict: Verdict::MayHaveRun(reason),
        }
    }

    /// Error for a request that ended with `verdict`, which must not be `Completed`.
    pub(super) fn from_verdict(verdict: &Verdict) -> Self {
        match verdict {
            Verdict::NotRun(refusal) => CallerError::not_run(refusal.clone()),
            Verdict::MayHaveRun(reason) => CallerError::may_have_run(*reason),
            Verdict::Completed => CallerError::may_have_run(MayHaveRun::AnswerCut),
        }
    }

    /// Error for a request that did not reach the API's handler, or whose handler failed.
    pub(super) fn server(refusal: ServerRefusal) -> Self {
        let verdict = match refusal {
            ServerRefusal::HandlerFailed => Verdict::MayHaveRun(MayHaveRun::AnswerCut),
            ServerRefusal::TooManyBodies | ServerRefusal::TooManyRequests | ServerRefusal::TooManyConnections => {
                Verdict::NotRun(NotRun::retry_after(NotRunReason::QueueFull, RETRY_AFTER_DEFAULT))
            }
            _ => Verdict::NotRun(NotRun::new(NotRunReason::InvalidRequest)),
        };
        CallerError { status: refusal.status(), code: refusal.code(), message: refusal.to_string(), verdict }
    }

    /// Returns the error as a complete response.
    pub(super) fn response(&self, request: Option<RequestId>, replayed: bool) -> Response {
        let mut response = Response::json(self.status, &self.body());
        headers::insert(&mut response.headers, VERDICT, self.verdict.code());
        if let Some(request) = request {
            headers::insert_request_id(&mut response.headers, request);
        }
        if replayed {
            headers::insert(&mut response.headers, REPLAYED, "true");
        }
        if let Some(delay) = self.retry_after() {
            let seconds = delay.as_millis().div_ceil(1_000).max(1).to_string();
            headers::insert(&mut response.headers, RETRY_AFTER, &seconds);
        }
        if matches!(self.verdict, Verdict::MayHaveRun(_)) {
            headers::insert(&mut response.headers, SHOULD_RETRY, "false");
        }
        response
    }

    /// Returns the error as the last event of a stream.
    pub(super) fn event(&self) -> Vec<u8> {
        let body = serde_json::to_string(&self.body()).unwrap_or_default();
        format!("event: error\ndata: {body}\n\n").into_bytes()
    }

    fn body(&self) -> ErrorBody<'_> {
        ErrorBody {
            error: ErrorContent {
                message: &self.message,
                kind: error_type(self.status),
                code: self.code,
                verdict: self.verdict.code(),
            },
        }
    }

    /// Returns the delay before a retry; none if the same request would be refused again.
    fn retry_after(&self) -> Option<Duration> {
        let Verdict::NotRun(refusal) = &self.verdict else { return None };
        let temporary = matches!(
            refusal.reason,
            NotRunReason::TenantLimit
                | NotRunReason::KeyInProgress
                | NotRunReason::KeyUnclaimable
                | NotRunReason::DeadlineUnreachable
        );
        let retryable = temporary || refusal.reason.worth_another_try();
        refusal.retry_after.or(retryable.then_some(RETRY_AFTER_DEFAULT))
    }
}

fn not_run_status(reason: NotRunReason) -> StatusCode {
    match reason {
        NotRunReason::InvalidRequest => StatusCode::BAD_REQUEST,
        NotRunReason::UnknownTenant => StatusCode::UNAUTHORIZED,
        NotRunReason::UnknownModel => StatusCode::NOT_FOUND,
        NotRunReason::KeyInProgress => StatusCode::CONFLICT,
        NotRunReason::TenantLimit => StatusCode::TOO_MANY_REQUESTS,
        NotRunReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        NotRunReason::QueueFull
        | NotRunReason::DeadlineUnreachable
        | NotRunReason::NodeLeaving
        | NotRunReason::NodeSuspended
        | NotRunReason::NoEngine
        | NotRunReason::Revoked
        | NotRunReason::DispatcherUnreachable
        | NotRunReason::KeyUnclaimable
        | NotRunReason::NotOwner
        | NotRunReason::CallerGone
        | NotRunReason::RetryBudgetSpent
        | NotRunReason::BackEndsRest
        | NotRunReason::StreamOriginUnknown
        | NotRunReason::StreamOriginGone
        | NotRunReason::MemoryFull
        | NotRunReason::EndsEngines => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn may_have_run_status(reason: MayHaveRun) -> StatusCode {
    match reason {
        MayHaveRun::KeyUsed => StatusCode::CONFLICT,
        MayHaveRun::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        MayHaveRun::AnswerCut
        | MayHaveRun::EngineFailed
        | MayHaveRun::DispatcherLost
        | MayHaveRun::CallerGone
        | MayHaveRun::RetryBudgetSpent
        | MayHaveRun::EndsEngines
        | MayHaveRun::NodeStopping => StatusCode::BAD_GATEWAY,
    }
}

/// Returns the `error.type` value that OpenAI clients expect.
fn error_type(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "authentication_error",
        StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
        status if status.is_client_error() => "invalid_request_error",
        _ => "server_error",
    }
}
