//! Events of an answer, sent from the dispatcher towards the caller.

use havengate_core::request::AnswerPiece;
use havengate_core::verdict::Verdict;

/// An event of a submitted request. Events come in order; [`AnswerEvent::End`] is the last one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// A piece of the answer.
    Piece(AnswerPiece),
    /// The request has ended.
    End(Verdict),
}
