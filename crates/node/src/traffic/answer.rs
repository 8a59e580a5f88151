//! The way of an answer from the dispatcher towards the caller.

use havengate_core::request::AnswerPiece;
use havengate_core::verdict::Verdict;

/// What happens to a submitted request, in order; nothing follows [`AnswerEvent::End`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// A piece of the answer.
    Piece(AnswerPiece),
    /// The request has ended.
    End(Verdict),
}
