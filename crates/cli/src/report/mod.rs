//! What commands print: the answers of the operators' API, as text for people.

mod check;
mod plan;
mod policy;
mod status;
mod table;

pub use check::CheckReport;
pub use plan::Confirmation;
