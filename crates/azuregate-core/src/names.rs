//! Names of the things that azuregate steers between.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes the name from its text.
            pub fn new(text: &str) -> $name {
                $name(Arc::from(text))
            }

            /// The text of the name.
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
    /// An entry instance, as the platform's list and the settings name it.
    InstanceId
}
name! {
    /// A backend server, as the platform's list names it.
    BackendId
}
name! {
    /// A service that callers ask for by the Host header.
    ServiceName
}
name! {
    /// A tenant on whose behalf callers send requests.
    TenantName
}
name! {
    /// A region.
    RegionName
}
name! {
    /// An availability zone; unique among all regions.
    ZoneName
}

/// Tells one start of a process from the next, in milliseconds since the Unix
/// epoch at the start.
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
