//! The stand-in platform: one model of its object store and machine list, in virtual time and on a real socket.

pub mod model;
pub mod server;
