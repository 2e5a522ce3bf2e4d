//! Identifiers of instances, backend servers, services, tenants, regions and zones.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name from its text.
            pub fn new(text: &str) -> $name {
                $name(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name! {
    /// The name of an entry instance, as in the platform's list and the settings.
    InstanceId
}
name! {
    /// The name of a backend server, as in the platform's list.
    BackendId
}
name! {
    /// The name of a service, which callers send in the Host header.
    ServiceName
}
name! {
    /// The name of a tenant on whose behalf callers send requests.
    TenantName
}
name! {
    /// The name of a region.
    RegionName
}
name! {
    /// The name of an availability zone, unique among all regions.
    ZoneName
}

/// Identifies one start of a process: the time of the start, in milliseconds since the
/// Unix epoch. A later start has a higher number.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StartNumber(pub u64);

impl fmt::Display for StartNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
