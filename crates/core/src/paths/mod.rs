//! A node's network paths to back ends.
//!
//! A node may lose its paths to all back ends of a service while other nodes still reach them. Back ends of one service
//! and stage form a [`PathGroup`]; [`Reachability`] decides from connection attempts whether the node has lost the paths
//! to a group. It then opens tunnels through peers that still reach them: it asks for them ([`TunnelQuery`]), chooses
//! among the answers ([`TunnelOffers`]), and the peer admits only what it has offered ([`TunnelGrants`]).

mod group;
mod reachability;
mod tunnel_grants;
mod tunnel_messages;
mod tunnel_offers;
mod unproven_failures;

pub use group::PathGroup;
pub use reachability::{PathChange, PathCheck, PathFailure, Reachability, ReachabilityConfig};
pub use tunnel_grants::{TunnelGrants, TunnelGrantsConfig};
pub use tunnel_messages::{TunnelAnswer, TunnelId, TunnelOffer, TunnelQuery, TunnelRequest, TunnelToken};
pub use tunnel_offers::{ChosenPeer, TunnelOffers, TunnelOffersConfig};
pub use unproven_failures::UnprovenFailures;
