//! Identifiers and log positions.

use std::sync::Arc;

use derive_more::{AsRef, Display, From, FromStr};
use serde::{Deserialize, Serialize};

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[as_ref(str)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

text_id! {
    /// Name of a customer.
    CustomerId
}
text_id! {
    /// Name of a data centre.
    DataCentre
}
text_id! {
    /// Name of an entry instance; it stays the same after a restart.
    InstanceId
}
text_id! {
    /// Name of a model, as callers write it.
    ModelId
}
text_id! {
    /// Name of a service.
    ServiceId
}
text_id! {
    /// Version of the software that an upstream runs; versions have no order.
    SoftwareVersion
}
text_id! {
    /// Name of a team, which owns one subtree of the settings.
    TeamId
}
text_id! {
    /// Name of an upstream, as the platform lists it.
    UpstreamId
}

/// Identifies one run of an instance. It is random, so that a restarted instance is never mistaken for its
/// predecessor.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl std::str::FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Id of one request, unique in the fleet.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct RequestId(pub u128);

impl std::str::FromStr for RequestId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Id of one log record; the same for every repeat of its append.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[display("{_0:032x}")]
#[serde(transparent)]
pub struct RecordId(pub u128);

/// Bits of a [`LogPosition`] that hold the index of a record inside its append.
pub const POSITION_INDEX_BITS: u32 = 10;

/// Maximum number of records in one append.
pub const MAX_RECORDS_PER_APPEND: usize = 1 << POSITION_INDEX_BITS;

/// Position of a record in a log stream: the offset of its append, then its index inside that append.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct LogPosition(pub u64);

impl LogPosition {
    /// Position of record `index` of the append at `offset`.
    pub fn new(offset: u64, index: usize) -> Self {
        debug_assert!(index < MAX_RECORDS_PER_APPEND);
        Self((offset << POSITION_INDEX_BITS) | index as u64)
    }

    /// Index of the record inside its append.
    pub fn index(self) -> usize {
        (self.0 & (MAX_RECORDS_PER_APPEND as u64 - 1)) as usize
    }

    /// Offset of the append that holds the record.
    pub fn offset(self) -> u64 {
        self.0 >> POSITION_INDEX_BITS
    }
}

/// Fencing number of a duty's holder: the position of the winning claim.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Epoch(pub LogPosition);
