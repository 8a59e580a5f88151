//! Names of the objects of a deployment, with a type per kind, so that a zone can't be passed in place of a model.

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
            /// Wraps a name as written in configuration.
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
    /// A zone: a failure domain within which nodes probe each other.
    ZoneName
);
name_type!(
    /// A model as named in requests, for example `lekh-model`.
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
    /// A tenant: a group of callers that is billed or otherwise accountable as one.
    TenantName
);
name_type!(
    /// A contract: the class of service of a tenant's requests.
    ContractName
);
name_type!(
    /// A role policy or placement policy, as named in configuration.
    PolicyName
);
name_type!(
    /// A service: a set of equivalent back ends, for example the engines of one model or the processes of one
    /// application.
    ServiceName
);
name_type!(
    /// A route: the requests to one host under one path prefix.
    RouteName
);
name_type!(
    /// A back end, the same in all its incarnations; a different back end at the same address has a different name.
    BackEndName
);
name_type!(
    /// A node, named after the machine that it runs on.
    NodeName
);
