//! What clients may hold of a process: connections, and the bytes of request heads, bodies and responses.
//!
//! Load pattern: clients outside our control open many connections and stall just before the end of a head or a body, send
//! it in tiny pieces, or don't read their responses, while ordinary callers use the same addresses.
//!
//! One pool of bytes is sized from the machine's memory. Everything is charged before it is read or buffered. Large
//! bodies may fill only a part of the pool, ordinary requests a larger one, and only peers, readiness checks and metrics all
//! of it. If there is no room, the oldest unfinished transfer of the address that holds the most is dropped first. A request
//! that is running is never dropped.

use std::net::IpAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

/// Memory that a process needs without clients: code, tables of a large fleet, connections to upstreams.
const BASE_BYTES: u64 = 24 << 20;

/// Part of the machine's memory that the process needs in addition to [`BASE_BYTES`], as a divisor.
const BASE_DIVISOR: u64 = 8;

/// Share of the remaining memory that clients may hold. The rest is for the allocator's fragmentation, for copies while a
/// buffer grows, and for responses whose length was not known in advance.
const POOL_SHARE: f64 = 0.6;

/// Largest pool, in bytes: larger machines need no more.
const MAX_POOL_BYTES: u64 = 512 << 20;

/// Share of the pool that bodies above [`SMALL_BODY_BYTES`] may fill, together with everything else.
const LARGE_SHARE: f64 = 0.7;

/// Share of the pool that callers' connections and small requests may fill, together with everything else.
const SMALL_SHARE: f64 = 0.85;

/// Share of the pool that callers' connections may fill by themselves.
const CONNECTION_SHARE: f64 = 0.5;

/// Divisor of the file descriptors that is left to callers' connections: each running request also needs a connection to
/// an upstream.
const CALLER_DESCRIPTOR_DIVISOR: u64 = 2;

/// Divisor of the file descriptors that is left to peers' connections.
const PEER_DESCRIPTOR_DIVISOR: u64 = 16;

/// Maximum number of connections for readiness checks and address queries.
const INSTANCE_CONNECTIONS: usize = 96;

/// Maximum number of connections for metrics.
const METRICS_CONNECTIONS: usize = 16;

/// Largest body of an ordinary small request, in bytes.
pub const SMALL_BODY_BYTES: u64 = 64 << 10;

/// Cost of a connection with its buffers for a request head and a response head, in bytes.
pub const CONNECTION_BYTES: u64 = 40 << 10;

/// Cost of a running request without its body, in bytes: its state and a connection to an upstream.
pub const REQUEST_BYTES: u64 = 48 << 10;

/// Shortest time for which a transfer is unfinished before it may be dropped for others: an ordinary head or body takes a
/// few round trips.
const MIN_TRANSFER_AGE: Duration = Duration::from_millis(250);

/// Shortest time for which a connection is idle or its response unread before it may be dropped for others.
const MIN_IDLE_AGE: Duration = Duration::from_millis(1_500);

/// Maximum number of dropped connections whose tasks have not ended yet.
const MAX_LEAVING: usize = 64;

/// Size of the machine that a process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MachineSize {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Open file descriptors.
    pub descriptors: u64,
}

/// Kind of address at which a client connects.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum ClientKind {
    /// Callers' requests.
    Caller,
    /// Readiness checks and address queries.
    Instance,
    /// Metrics.
    Metrics,
    /// Other instances.
    Peer,
}

impl ClientKind {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Caller => "caller",
            Self::Instance => "instance",
            Self::Metrics => "metrics",
            Self::Peer => "peer",
        }
    }

    /// Class of small requests at this address.
    pub fn small_class(self) -> ByteClass {
        match self {
            Self::Caller => ByteClass::Small,
            Self::Instance | Self::Metrics | Self::Peer => ByteClass::Reserved,
        }
    }
}

/// What bytes are charged for; decides how much of the pool they may fill.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ByteClass {
    /// Large bodies.
    Large,
    /// Callers' connections and small requests.
    Small,
    /// Peers, readiness checks and metrics.
    Reserved,
}

impl ByteClass {
    /// Class of a body of which `bytes` are held, at an address of this kind.
    pub fn of_body(kind: ClientKind, bytes: u64) -> Self {
        if bytes > SMALL_BODY_BYTES {
            Self::Large
        } else {
            kind.small_class()
        }
    }
}

/// What clients may hold of a process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Bytes that clients may hold together.
    pub pool_bytes: u64,
    /// Maximum number of callers' connections.
    pub caller_connections: usize,
    /// Maximum number of other instances' connections.
    pub peer_connections: usize,
}

impl IntakeLimits {
    /// Limits for a machine.
    pub fn for_machine(machine: MachineSize) -> Self {
        let base = BASE_BYTES + machine.memory_bytes / BASE_DIVISOR;
        let rest = machine.memory_bytes.saturating_sub(base);
        let pool_bytes = ((rest as f64 * POOL_SHARE) as u64).min(MAX_POOL_BYTES);
        let by_memory = (pool_bytes as f64 * CONNECTION_SHARE) as u64 / CONNECTION_BYTES;
        let by_descriptors = machine.descriptors / CALLER_DESCRIPTOR_DIVISOR;
        let count = |number: u64| usize::try_from(number).unwrap_or(usize::MAX).max(1);
        Self {
            pool_bytes,
            caller_connections: count(by_memory.min(by_descriptors)),
            peer_connections: count((machine.descriptors / PEER_DESCRIPTOR_DIVISOR).min(by_memory / 2)),
        }
    }

    /// Number of bytes up to which the pool may be filled by a charge of the class.
    pub fn ceiling(&self, class: ByteClass) -> u64 {
        let share = match class {
            ByteClass::Large => LARGE_SHARE,
            ByteClass::Small => SMALL_SHARE,
            ByteClass::Reserved => 1.0,
        };
        (self.pool_bytes as f64 * share) as u64
    }

    /// Maximum number of connections of a kind.
    pub fn connections(&self, kind: ClientKind) -> usize {
        match kind {
            ClientKind::Caller => self.caller_connections,
            ClientKind::Instance => INSTANCE_CONNECTIONS,
            ClientKind::Metrics => METRICS_CONNECTIONS,
            ClientKind::Peer => self.peer_connections,
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// It has not sent anything yet.
    Silent,
    /// A request head has begun.
    Head,
    /// A request body is being read.
    Body,
    /// A request is running or its response is being sent.
    Running,
    /// A response waits for the client to read.
    Unread,
    /// It waits for the next request.
    Idle,
}

impl ConnectionPhase {
    /// Order in which connections are dropped, and the age from which they may be; `None` if they may not.
    fn drop_order(self) -> Option<(u8, Duration)> {
        match self {
            Self::Silent | Self::Head | Self::Body => Some((0, MIN_TRANSFER_AGE)),
            Self::Unread => Some((1, MIN_IDLE_AGE)),
            Self::Idle => Some((2, MIN_IDLE_AGE)),
            Self::Running => None,
        }
    }
}

/// Identifies an admitted connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    kind: ClientKind,
    address: IpAddr,
    phase: ConnectionPhase,
    since: MonoTime,
    /// Bytes charged to the connection, with its own cost.
    bytes: u64,
    is_leaving: bool,
}

/// Decision on a new connection or a charge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IntakeDecision<T> {
    /// Admitted or charged.
    Granted(T),
    /// These connections have to be dropped first; ask again once they are.
    Drop(Vec<ConnectionId>),
    /// Connections that were dropped have not ended yet; ask again soon.
    Wait,
    /// There is no room.
    Refused,
}

/// Connections and bytes that clients hold.
#[derive(Debug)]
pub struct IntakeLedger {
    limits: IntakeLimits,
    connections: FastMap<ConnectionId, ConnectionEntry>,
    used: u64,
    next_id: u64,
}

impl IntakeLedger {
    /// Creates a ledger without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            connections: FastMap::default(),
            used: 0,
            next_id: 0,
        }
    }

    /// Bytes that are charged.
    pub fn used_bytes(&self) -> u64 {
        self.used
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Decides on a new connection.
    pub fn admit(
        &mut self,
        kind: ClientKind,
        address: IpAddr,
        now: MonoTime,
    ) -> IntakeDecision<ConnectionId> {
        let of_kind = |entry: &&ConnectionEntry| entry.kind == kind;
        let staying = self
            .connections
            .values()
            .filter(of_kind)
            .filter(|entry| !entry.is_leaving);
        if staying.count() >= self.limits.connections(kind) {
            return match self.oldest(now, |entry| entry.kind == kind) {
                Some(victim) => self.drop_connections(vec![victim]),
                None => IntakeDecision::Refused,
            };
        }
        let leaving = self.connections.values().filter(|entry| entry.is_leaving);
        if leaving.count() >= MAX_LEAVING {
            return IntakeDecision::Wait;
        }
        match self.find_room(CONNECTION_BYTES, kind.small_class(), now, None) {
            IntakeDecision::Granted(()) => {}
            IntakeDecision::Drop(victims) => return IntakeDecision::Drop(victims),
            IntakeDecision::Wait => return IntakeDecision::Wait,
            IntakeDecision::Refused => return IntakeDecision::Refused,
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.used += CONNECTION_BYTES;
        self.connections.insert(
            id,
            ConnectionEntry {
                kind,
                address,
                phase: ConnectionPhase::Silent,
                since: now,
                bytes: CONNECTION_BYTES,
                is_leaving: false,
            },
        );
        IntakeDecision::Granted(id)
    }

    /// Records what a connection is doing now.
    pub fn set_phase(&mut self, id: ConnectionId, phase: ConnectionPhase, now: MonoTime) {
        if let Some(entry) = self.connections.get_mut(&id)
            && entry.phase != phase
        {
            entry.phase = phase;
            entry.since = now;
        }
    }

    /// Decides whether a connection may hold more bytes.
    pub fn charge(
        &mut self,
        id: ConnectionId,
        bytes: u64,
        class: ByteClass,
        now: MonoTime,
    ) -> IntakeDecision<()> {
        match self.connections.get(&id) {
            Some(entry) if !entry.is_leaving => {}
            _ => return IntakeDecision::Refused,
        }
        let decision = self.find_room(bytes, class, now, Some(id));
        if decision == IntakeDecision::Granted(()) {
            self.add(id, bytes);
        }
        decision
    }

    /// Charges bytes if there is room for them as it is; returns false if there isn't.
    pub fn charge_free(&mut self, id: ConnectionId, bytes: u64, class: ByteClass) -> bool {
        let is_free = self.used + bytes <= self.limits.ceiling(class);
        if is_free {
            self.add(id, bytes);
        }
        is_free
    }

    /// Charges bytes that arrive in any case, and returns the connections to drop because of them.
    pub fn charge_arrived(&mut self, id: ConnectionId, bytes: u64, now: MonoTime) -> Vec<ConnectionId> {
        let decision = self.find_room(bytes, ByteClass::Reserved, now, Some(id));
        self.add(id, bytes);
        match decision {
            IntakeDecision::Drop(victims) => victims,
            _ => Vec::new(),
        }
    }

    /// Returns bytes that a connection, which may have ended, no longer holds.
    pub fn release(&mut self, id: ConnectionId, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.bytes = entry.bytes.saturating_sub(bytes);
        }
    }

    /// Records the end of a connection. Charges that are still held stay until they are released.
    pub fn remove(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some() {
            self.used = self.used.saturating_sub(CONNECTION_BYTES);
        }
    }

    fn add(&mut self, id: ConnectionId, bytes: u64) {
        self.used += bytes;
        if let Some(entry) = self.connections.get_mut(&id) {
            entry.bytes += bytes;
        }
    }

    fn find_room(
        &mut self,
        bytes: u64,
        class: ByteClass,
        now: MonoTime,
        own: Option<ConnectionId>,
    ) -> IntakeDecision<()> {
        let ceiling = self.limits.ceiling(class);
        if self.used + bytes <= ceiling {
            return IntakeDecision::Granted(());
        }
        let leaving = self.connections.values().filter(|entry| entry.is_leaving);
        let leaving: u64 = leaving.map(|entry| entry.bytes).sum();
        let mut missing = (self.used + bytes).saturating_sub(leaving + ceiling);
        if missing == 0 {
            return IntakeDecision::Wait;
        }
        // A transfer is dropped only for a later one, so that two of them don't drop each other.
        let own = own.and_then(|id| Some((id, self.connections.get(&id)?.since)));
        let mut victims = Vec::new();
        while missing > 0 {
            let is_candidate = |entry: &ConnectionEntry| own.is_none_or(|(_, since)| entry.since < since);
            let Some(victim) = self.oldest(now, is_candidate) else {
                break;
            };
            let Some(entry) = self.connections.get_mut(&victim) else {
                break;
            };
            entry.is_leaving = true;
            missing = missing.saturating_sub(entry.bytes);
            victims.push(victim);
        }
        if missing == 0 {
            return IntakeDecision::Drop(victims);
        }
        // Dropping them all would not make enough room.
        for victim in victims {
            if let Some(entry) = self.connections.get_mut(&victim) {
                entry.is_leaving = false;
            }
        }
        IntakeDecision::Refused
    }

    fn drop_connections<T>(&mut self, victims: Vec<ConnectionId>) -> IntakeDecision<T> {
        for victim in &victims {
            if let Some(entry) = self.connections.get_mut(victim) {
                entry.is_leaving = true;
            }
        }
        IntakeDecision::Drop(victims)
    }

    /// The connection to drop first: of those that may be dropped earliest, the oldest one of the address that holds more
    /// than half of their bytes, if there is one.
    fn oldest(&self, now: MonoTime, is_candidate: impl Fn(&ConnectionEntry) -> bool) -> Option<ConnectionId> {
        let candidates: Vec<(ConnectionId, &ConnectionEntry, u8)> = self
            .connections
            .iter()
            .filter(|(_, entry)| !entry.is_leaving && is_candidate(entry))
            .filter_map(|(id, entry)| {
                let (order, age) = entry.phase.drop_order()?;
                (now.since(entry.since) >= age).then_some((*id, entry, order))
            })
            .collect();
        let first = candidates.iter().map(|(_, _, order)| *order).min()?;
        let candidates: Vec<_> = candidates
            .into_iter()
            .filter(|(_, _, order)| *order == first)
            .collect();
        let mut by_address: FastMap<IpAddr, u64> = FastMap::default();
        for (_, entry, _) in &candidates {
            *by_address.entry(entry.address).or_default() += entry.bytes;
        }
        let total: u64 = by_address.values().sum();
        let heaviest = by_address.iter().find(|(_, bytes)| **bytes * 2 > total);
        let heaviest = heaviest.map(|(address, _)| *address);
        candidates
            .iter()
            .filter(|(_, entry, _)| heaviest.is_none_or(|address| entry.address == address))
            .min_by_key(|(id, entry, _)| (entry.since, *id))
            .map(|(id, _, _)| *id)
    }
}

/// Checks that a transfer goes on: a minimum number of bytes in each window.
#[derive(Clone, Copy, Debug)]
pub struct TransferWatch {
    window: Duration,
    min_bytes: u64,
    window_start: MonoTime,
    bytes: u64,
}

impl TransferWatch {
    /// Creates the watch of a transfer that starts now and must bring `min_bytes` in each `window`.
    pub fn new(window: Duration, min_bytes: u64, now: MonoTime) -> Self {
        Self {
            window,
            min_bytes,
            window_start: now,
            bytes: 0,
        }
    }

    /// Records transferred bytes. A window that has brought enough of them is followed by the next one.
    pub fn record(&mut self, bytes: u64, now: MonoTime) {
        self.bytes += bytes;
        if self.bytes >= self.min_bytes {
            self.window_start = now;
            self.bytes = 0;
        }
    }

    /// Time by which the transfer must have brought more bytes.
    pub fn deadline(&self) -> MonoTime {
        self.window_start + self.window
    }
}
