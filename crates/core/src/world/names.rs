//! Names of the things in the world, one type each, so that a zone can't be passed where a model is meant.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Readable, Writable, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Wraps a name as it is written in configuration.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

name_type!(
    /// A region: a set of zones that are close to each other.
    RegionName
);
name_type!(
    /// A zone: the unit that fails together and inside which nodes probe each other.
    ZoneName
);
name_type!(
    /// A model as callers name it, for example `lekh-model`.
    ModelName
);
name_type!(
    /// An adapter loaded on top of a model.
    AdapterName
);
name_type!(
    /// An engine, unique in the deployment, for example `lekh-model-03`.
    EngineName
);
name_type!(
    /// A tenant: one paying or otherwise accountable group of callers.
    TenantName
);
name_type!(
    /// A contract: the class of service that a tenant's requests get.
    ContractName
);
name_type!(
    /// A role policy or placement policy, as configuration names it.
    PolicyName
);
name_type!(
    /// A service: back ends that are alike, for example the engines of one model or the processes of one application.
    ServiceName
);
name_type!(
    /// A route: the requests for one host below one path prefix.
    RouteName
);
name_type!(
    /// A back end, the same in all its lives; another one at its address has another name.
    BackEndName
);
name_type!(
    /// A node, as operators call the machine that it runs on.
    NodeName
);
