//! Types shared by the processes of marigoldlock.
//!
//! Ids, numbered result codes, the messages between instances, the records kept in the platform's log, and
//! the published interfaces of the platform, the engines and the plain services. Everything that two versions
//! of the program may exchange carries a format version, so that an old and a new instance can run side by
//! side during an upgrade.

pub mod code;
pub mod codec;
pub mod engine;
pub mod ids;
pub mod peer;
pub mod platform;
pub mod record;

pub mod prelude {
    //! Types that nearly every module uses.

    pub use crate::code::{Execution, ResultCode};
    pub use crate::ids::{
        CustomerId, DataCentre, Epoch, Incarnation, InstanceId, LogPosition, ModelId, RecordId, RequestId,
        ServiceId, SoftwareVersion, TeamId, UpstreamId,
    };
    pub use crate::{FastMap, FastSet};
}

/// Hash map with a fast, non-cryptographic hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with a fast, non-cryptographic hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
