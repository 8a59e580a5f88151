//! The stand-in platform.
