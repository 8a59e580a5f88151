//! The network address on which a process listens.

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use speedy::{Context, Readable, Reader, Writable, Writer};

/// An IP address and a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Address(pub SocketAddr);

impl fmt::Display for Address {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Address {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Address)
    }
}

impl<'a, C: Context> Readable<'a, C> for Address {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        let ip = IpAddr::read_from(reader)?;
        let port = u16::read_from(reader)?;
        Ok(Address(SocketAddr::new(ip, port)))
    }
}

impl<C: Context> Writable<C> for Address {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        self.0.ip().write_to(writer)?;
        self.0.port().write_to(writer)
    }
}
