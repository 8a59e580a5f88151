//! What the head of a back end's answer proves, judged by what was asked.

use hyper::header::HeaderValue;

use super::SendStage;

/// What was asked of a back end. An answer is judged by it.
#[derive(Clone, Copy, Debug)]
pub struct AskedRequest<'a> {
    /// The id of the request, which its answer repeats.
    pub id: &'a HeaderValue,
    /// The part of the request that was sent.
    pub stage: &'a SendStage,
}

/// What an answer's head proves about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerHead {
    /// The back end's answer to this request.
    Proper,
    /// The back end's answer to this request, which reports that running it failed.
    Failure,
    /// The back end did not and will not run the request: it has no capacity.
    Declined,
    /// The back end did not and will not run the request: it is not the addressed one.
    WrongBackEnd,
    /// The bytes prove nothing about this request, which may have run.
    Foreign(AnswerFault),
}

impl AnswerHead {
    /// Whether the answer is that of the addressed back end to this request, so that what else it says is believed.
    pub fn is_of_request(self) -> bool {
        match self {
            AnswerHead::Proper | AnswerHead::Failure | AnswerHead::Declined => true,
            AnswerHead::Foreign(fault) => fault == AnswerFault::RefusalUnproven,
            AnswerHead::WrongBackEnd => false,
        }
    }

    /// The same, or foreign for an answer that would be passed on although its head has a fault.
    pub fn unless_faulty(self, fault: Option<AnswerFault>) -> Self {
        match (self, fault) {
            (AnswerHead::Proper | AnswerHead::Failure, Some(fault)) => AnswerHead::Foreign(fault),
            (judgement, _) => judgement,
        }
    }

    /// The name in logs.
    pub fn code(self) -> &'static str {
        match self {
            AnswerHead::Proper => "Proper",
            AnswerHead::Failure => "Failure",
            AnswerHead::Declined => "Declined",
            AnswerHead::WrongBackEnd => "WrongBackEnd",
            AnswerHead::Foreign(_) => "Foreign",
        }
    }
}

/// Why an answer proves nothing about the request that it was received for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFault {
    /// It names no request.
    RequestIdMissing,
    /// It names a request more than once.
    RequestIdRepeated,
    /// It names another request: it is a late or surplus answer.
    RequestIdOfAnother,
    /// It is a success without a signature of the back end, or with an empty one.
    SignatureMissing,
    /// It is a success with more than one signature.
    SignatureRepeated,
    /// Its content is encoded, which was not asked for.
    Encoded,
    /// Its status is no final one of HTTP.
    StatusUnknown,
    /// Its body is framed in a way in which its end can't be known.
    FramingUnknown,
    /// Its status promises that the request did not run, and the back end did not promise that.
    RefusalUnproven,
}

impl AnswerFault {
    /// The code in logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            AnswerFault::RequestIdMissing => "request_id_missing",
            AnswerFault::RequestIdRepeated => "request_id_repeated",
            AnswerFault::RequestIdOfAnother => "request_id_of_another",
            AnswerFault::SignatureMissing => "signature_missing",
            AnswerFault::SignatureRepeated => "signature_repeated",
            AnswerFault::Encoded => "encoded",
            AnswerFault::StatusUnknown => "status_unknown",
            AnswerFault::FramingUnknown => "framing_unknown",
            AnswerFault::RefusalUnproven => "refusal_unproven",
        }
    }
}
