//! Which software version began each stream, so that a stream goes on only at that version.
//!
//! A caller takes up a broken stream at any instance, often because the one that served it is gone. So an instance
//! tells a few others, the *keepers* of the stream, which version began it. All instances derive the keepers from the
//! stream's id; an instance that doesn't know a stream asks them.
//!
//! While one version of a service serves alone, its streams can only have begun at that one. [`VersionHistory`] knows
//! whether that has been so for as long as a stream may last. While it isn't so, origins are *contested*: a few instances,
//! the *archivists*, keep them in the store as well, since all instances may be lost together.

use std::collections::VecDeque;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use crate::time::MonoTime;

use super::catalog::UpstreamEntry;
use super::exchange::FleetView;
use super::members::MemberState;

/// Number of other instances that are told of a stream: some may be lost together with the one that served it.
const KEEPERS: usize = 3;

/// Number of instances that are asked about a stream. Since it began, instances may have joined that would be keepers
/// now.
const ASKED_KEEPERS: usize = 5;

/// Maximum number of streams whose origin is kept; the oldest are dropped.
const MAX_ORIGINS: usize = 1 << 16;

/// Id of a stream: that of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey(u64);

impl From<&str> for StreamKey {
    fn from(attempt: &str) -> Self {
        Self(hash(&[attempt]))
    }
}

/// A software version of one service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct VersionKey(u64);

impl VersionKey {
    /// Key of a version of a service.
    pub fn new(service: &ServiceId, version: &SoftwareVersion) -> Self {
        Self(hash(&[service.as_str(), version.as_str()]))
    }
}

impl From<&UpstreamEntry> for VersionKey {
    fn from(entry: &UpstreamEntry) -> Self {
        Self::new(&entry.service, &entry.version)
    }
}

fn hash(texts: &[&str]) -> u64 {
    let mut hasher = FxHasher::default();
    for text in texts {
        hasher.write(text.as_bytes());
        hasher.write_u8(0xff);
    }
    hasher.finish()
}

/// The version that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// The version.
    pub version: VersionKey,
}

/// An origin of which other instances are to be told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnsentOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// True if the stream may have begun at several versions, so that the archivists are told too.
    pub is_contested: bool,
}

/// A stream whose origin is known.
#[derive(Clone, Copy, Debug)]
struct KnownStream {
    since: MonoTime,
    stream: StreamKey,
    /// True if the stream began here.
    is_own: bool,
}

/// Known origins of streams.
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    versions: FastMap<StreamKey, VersionKey>,
    /// Streams in the order in which they became known.
    known: VecDeque<KnownStream>,
    unsent: Vec<UnsentOrigin>,
    /// Origins to be written to the store.
    unstored: Vec<StreamOrigin>,
    is_archiving: bool,
}

impl OriginTable {
    /// Records a stream that has begun here; its keepers are to be told, and the archivists if it is contested.
    pub fn record(&mut self, origin: StreamOrigin, is_contested: bool, now: MonoTime) {
        if self.insert(origin, true, now) {
            self.unsent.push(UnsentOrigin { origin, is_contested });
            self.queue_unstored(origin);
        }
    }

    /// Adds what another instance has told.
    pub fn merge(&mut self, origins: &[StreamOrigin], now: MonoTime) {
        for origin in origins {
            if self.insert(*origin, false, now) {
                self.queue_unstored(*origin);
            }
        }
    }

    /// Adds what the store holds.
    pub fn restore(&mut self, origins: &[StreamOrigin], now: MonoTime) {
        for origin in origins {
            self.insert(*origin, false, now);
        }
    }

    /// Tells others again of the streams that began here: they have become contested.
    pub fn contest(&mut self) {
        let own = self.known.iter().filter(|known| known.is_own);
        let origins: Vec<StreamOrigin> = own.filter_map(|known| self.origin(known.stream)).collect();
        self.unsent.extend(origins.into_iter().map(|origin| UnsentOrigin {
            origin,
            is_contested: true,
        }));
    }

    /// Begins or ceases to queue origins for the store; all that are known are queued when it begins.
    pub fn set_archiving(&mut self, is_archiving: bool) {
        if is_archiving && !self.is_archiving {
            let origins = self.known.iter().filter_map(|known| self.origin(known.stream));
            self.unstored = origins.collect();
        } else if !is_archiving {
            self.unstored.clear();
        }
        self.is_archiving = is_archiving;
    }

    /// Queues all known origins for the store again, which may have lost them.
    pub fn store_again(&mut self) {
        if std::mem::take(&mut self.is_archiving) {
            self.set_archiving(true);
        }
    }

    /// Takes up to `count` origins that are to be written to the store.
    pub fn take_unstored(&mut self, count: usize) -> Vec<StreamOrigin> {
        self.unstored.drain(..count.min(self.unstored.len())).collect()
    }

    /// Queues origins again that could not be written to the store.
    pub fn return_unstored(&mut self, origins: Vec<StreamOrigin>) {
        if self.is_archiving && self.unstored.len() + origins.len() <= MAX_ORIGINS {
            self.unstored.splice(..0, origins);
        }
    }

    fn queue_unstored(&mut self, origin: StreamOrigin) {
        if self.is_archiving && self.unstored.len() < MAX_ORIGINS {
            self.unstored.push(origin);
        }
    }

    fn origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        let version = self.version(stream)?;
        Some(StreamOrigin { stream, version })
    }

    /// The version that began a stream, if it is known.
    pub fn version(&self, stream: StreamKey) -> Option<VersionKey> {
        self.versions.get(&stream).copied()
    }

    /// True if a stream that is known began at none of these versions.
    pub fn has_others(&self, versions: &[VersionKey]) -> bool {
        self.versions.values().any(|version| !versions.contains(version))
    }

    /// Known origins of these streams.
    pub fn find(&self, streams: &[StreamKey]) -> Vec<StreamOrigin> {
        let origins = streams.iter().filter_map(|stream| self.origin(*stream));
        origins.collect()
    }

    /// Takes the origins of which other instances have not been told yet.
    pub fn take_unsent(&mut self) -> Vec<UnsentOrigin> {
        std::mem::take(&mut self.unsent)
    }

    /// Drops streams that became known `lifetime` ago.
    pub fn expire(&mut self, lifetime: Duration, now: MonoTime) {
        while let Some(known) = self.known.front()
            && now.since(known.since) >= lifetime
        {
            self.versions.remove(&known.stream);
            self.known.pop_front();
        }
    }

    /// Adds an origin; returns false if the stream is known. A stream has one origin, so the first one told holds.
    fn insert(&mut self, origin: StreamOrigin, is_own: bool, now: MonoTime) -> bool {
        if self.versions.contains_key(&origin.stream) {
            return false;
        }
        if self.known.len() >= MAX_ORIGINS
            && let Some(oldest) = self.known.pop_front()
        {
            self.versions.remove(&oldest.stream);
        }
        self.versions.insert(origin.stream, origin.version);
        self.known.push_back(KnownStream {
            since: now,
            stream: origin.stream,
            is_own,
        });
        true
    }
}

/// Instances to be told of a stream that this instance serves.
pub fn keepers(view: &FleetView<'_>, stream: StreamKey) -> Vec<SocketAddr> {
    nearest(view, stream, KEEPERS)
}

/// Instances to be asked about a stream that this instance doesn't know.
pub fn asked_keepers(view: &FleetView<'_>, stream: StreamKey) -> Vec<SocketAddr> {
    nearest(view, stream, ASKED_KEEPERS)
}

/// The live instances that come first in an order that differs for each stream and is the same on all instances. Without
/// any, as after a standstill, all that are known.
fn nearest(view: &FleetView<'_>, stream: StreamKey, count: usize) -> Vec<SocketAddr> {
    let mut cards: Vec<_> = view.members.live(view.now).map(MemberState::card).collect();
    if cards.is_empty() {
        cards = view.members.all().map(MemberState::card).collect();
    }
    cards.sort_by_cached_key(|card| {
        let mut hasher = FxHasher::default();
        hasher.write_u64(stream.0);
        hasher.write(card.id.as_str().as_bytes());
        (hasher.finish(), &card.id)
    });
    cards.into_iter().take(count).map(|card| card.peer).collect()
}

/// Versions of one service that are listed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
enum ListedVersions {
    /// No upstream was listed yet.
    #[default]
    None,
    /// One version serves alone since then.
    Alone(SoftwareVersion, MonoTime),
    /// Several versions serve side by side.
    Mixed,
}

/// Software versions of one service over time, as one instance sees them.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    listed: ListedVersions,
    settled: Option<SoftwareVersion>,
}

impl VersionHistory {
    /// Adopts the version that had served alone before this instance started.
    pub fn adopt(&mut self, version: SoftwareVersion) {
        let is_possible = match &self.listed {
            ListedVersions::None => true,
            ListedVersions::Alone(alone, _) => *alone == version,
            ListedVersions::Mixed => false,
        };
        if is_possible {
            self.settled = Some(version);
        }
    }

    /// Records the versions that are listed. Without any, what was known stays, since entries may lapse.
    pub fn update(&mut self, versions: &[&SoftwareVersion], stream_lifetime: Duration, now: MonoTime) {
        let Some((first, others)) = versions.split_first() else {
            return;
        };
        if others.iter().any(|version| version != first) {
            self.listed = ListedVersions::Mixed;
            self.settled = None;
            return;
        }
        match &self.listed {
            ListedVersions::Alone(version, since) if version == *first => {
                if now.since(*since) >= stream_lifetime {
                    self.settled = Some((*first).clone());
                }
            }
            _ => {
                self.listed = ListedVersions::Alone((*first).clone(), now);
                self.settled = self.settled.take().filter(|settled| settled == *first);
            }
        }
    }

    /// Forgets what was known, because changes may have been missed.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// The only version at which a stream that still goes on can have begun, as of the news that this history rests on;
    /// `None` if that isn't certain.
    pub fn settled(&self) -> Option<&SoftwareVersion> {
        self.settled.as_ref()
    }
}
