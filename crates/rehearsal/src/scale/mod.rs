//! Control at scale: hundreds of nodes' controls in one process, in virtual time, on a simulated network, with a
//! modelled store and modelled engines. Gives the slopes that `docs/CAPACITY.md` is worked out from.

mod cluster;
mod engines;
mod figures;
mod hollow_node;
mod run;
mod shape;

pub use figures::{ScaleFigures, Spread, Window};
pub use run::{ScaleError, ScalePlan, measure};
pub use shape::ScaleShape;
