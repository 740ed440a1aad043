//! Who tells whom in a fleet, and who reads the store for the others.
//!
//! Load pattern: a fleet grows from a handful of instances to hundreds of small ones. Heartbeats from each to
//! each grow with the square of the fleet, bytes between data centres are billed, and so is each call to the store.
//! So instances of one data centre tell each other directly, a few relays of each exchange what they
//! know with the relays of the others, and a few followers read the store for all. Everybody works out the same roles
//! from the same heartbeats; when a relay or follower falls silent, the next in rank is one. A fleet of a few
//! instances consists of relays and followers only.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;

use crate::time::MonoTime;

use super::members::{MemberCard, MemberReport, MemberStage, MemberState, MemberTable};

/// Shortest time between two heartbeats: load told to others is about this old.
const INTERVAL_LEAST: Duration = Duration::from_millis(100);

/// Longest time between two heartbeats: callers must be told of dead instances within seconds.
const INTERVAL_MOST: Duration = Duration::from_millis(1_000);

/// Time between two heartbeats for each instance of the fleet, which bounds the reports that an instance reads to
/// 400 a second.
const INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(2_500);

/// Relays of the whole fleet up to which every instance is one; a fleet of this size is fully meshed.
const RELAYS_ALL: usize = 10;

/// Fewest relays of a data centre: one may be lost at any moment.
const RELAYS_LEAST: usize = 2;

/// Rounds between two heartbeats to a keeper of usage counts in another data centre; a window is settled within
/// many of them.
const KEEPER_ROUNDS: u64 = 3;

/// Rounds between two heartbeats to an instance that is silent.
const PROBE_ROUNDS: u64 = 4;

/// Instances that read the store for all: enough that the loss of several is not felt, and few, as calls are billed.
const FOLLOWERS: usize = 6;

/// Age of a follower's last answer of the store above which the next in rank follows too: longer than a follower's
/// long poll.
const ANSWER_FRESH: Duration = Duration::from_millis(1_600);

/// Time without an answer for anybody after which twice as many instances try the store.
const TRY_MORE: Duration = Duration::from_secs(1);

/// Instances besides the holder of the duties that keep everybody's usage counts, so that they outlive it.
const USAGE_COPIES: usize = 4;

/// Time between two heartbeats of each instance in a fleet of this size.
pub fn interval(instances: usize) -> Duration {
    let scaled = INTERVAL_PER_INSTANCE * u32::try_from(instances).unwrap_or(u32::MAX);
    scaled.clamp(INTERVAL_LEAST, INTERVAL_MOST)
}

/// Where the heartbeats of one round go.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoundTargets {
    /// Instances of the own data centre; a relay passes on to them what it knows of the others.
    pub near: Vec<SocketAddr>,
    /// Instances of other data centres; a relay passes on to them what it knows of its own.
    pub far: Vec<SocketAddr>,
    /// Instances of other data centres that need this one's own report only: those that sent by themselves, as
    /// the two see different relays, and now and then the keepers of usage counts.
    pub answers: Vec<SocketAddr>,
    /// Instances that are told this one's usage counts.
    pub keepers: FastSet<SocketAddr>,
    /// True if this instance is a relay.
    pub is_relay: bool,
}

/// The fleet as one instance sees it.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// This instance.
    pub own: &'a MemberCard,
    /// All others.
    pub members: &'a MemberTable,
    /// Now.
    pub now: MonoTime,
}

impl<'a> FleetView<'a> {
    /// Live instances with this one, by rank: the largest first, then in an order that all agree on.
    pub fn ranked(&self) -> Vec<&'a MemberCard> {
        let others = self.members.live(self.now).map(MemberState::card);
        let mut cards: Vec<&MemberCard> = others.chain([self.own]).collect();
        cards.sort_by_cached_key(|card| rank(card));
        cards
    }

    /// Where this instance sends its heartbeats in a round.
    pub fn targets(&self, round: u64) -> RoundTargets {
        let ranked = self.ranked();
        let mut relays: FastMap<&DataCentre, Vec<&MemberCard>> = FastMap::default();
        for card in &ranked {
            relays.entry(&card.data_centre).or_default().push(card);
        }
        let most = RELAYS_LEAST.max(RELAYS_ALL / relays.len().max(1));
        for cards in relays.values_mut() {
            cards.truncate(most);
        }
        let is_relay_of = |card: &MemberCard| {
            relays
                .get(&card.data_centre)
                .is_some_and(|cards| cards.iter().any(|relay| relay.id == card.id))
        };
        let is_relay = is_relay_of(self.own);
        let is_probing = round.is_multiple_of(PROBE_ROUNDS);
        let live: FastSet<&InstanceId> = ranked.iter().map(|card| &card.id).collect();
        let silence = self.members.silence();
        let is_telling = round.is_multiple_of(KEEPER_ROUNDS);
        let mut targets = RoundTargets {
            is_relay,
            keepers: self.usage_keepers(&ranked),
            ..RoundTargets::default()
        };
        for member in self.members.all() {
            let card = member.card();
            let is_live = live.contains(&card.id);
            if card.data_centre == self.own.data_centre {
                if is_live || is_probing {
                    targets.near.push(card.peer);
                }
                continue;
            }
            let is_probed = is_probing && (!is_live || !relays.contains_key(&card.data_centre));
            let is_contact = member.direct_at.is_some_and(|at| self.now.since(at) < silence);
            if is_relay && (is_relay_of(card) || is_probed) {
                targets.far.push(card.peer);
            } else if is_contact || is_telling && targets.keepers.contains(&card.peer) {
                targets.answers.push(card.peer);
            }
        }
        targets
    }

    /// Latest reports of the instances in or out of the own data centre, as they are passed on.
    pub fn forwarded(&self, is_near: bool) -> Vec<MemberReport> {
        self.members
            .live(self.now)
            .filter(|member| (member.card().data_centre == self.own.data_centre) == is_near)
            .map(|member| member.forwarded(self.now))
            .collect()
    }

    /// Instances that keep the usage counts: the holder of the duties, and the first in rank, who succeed it.
    fn usage_keepers(&self, ranked: &[&MemberCard]) -> FastSet<SocketAddr> {
        let holders = self
            .members
            .live(self.now)
            .filter(|member| member.report.duty_fence.is_some())
            .map(MemberState::card);
        let others = ranked.iter().copied().filter(|card| card.id != self.own.id);
        holders
            .chain(others.take(USAGE_COPIES))
            .map(|card| card.peer)
            .collect()
    }

    /// True if this instance reads the store itself, as too few before it in rank have a fresh answer.
    pub fn is_follower(&self) -> bool {
        let own_rank = rank(self.own);
        let mut fresh = 0;
        let mut before = 0;
        let mut newest: Option<MonoTime> = None;
        for member in self.members.live(self.now) {
            newest = newest.max(member.store_answer_at());
            if rank(member.card()) < own_rank {
                before += 1;
                fresh += usize::from(self.has_fresh_answer(member));
            }
        }
        if fresh >= FOLLOWERS {
            return false;
        }
        // While the store answers nobody, it is tried by few at first: calls are billed then, too.
        let without = newest.map_or(Duration::MAX, |at| self.now.since(at));
        let waves = without.as_millis() / TRY_MORE.as_millis();
        newest.is_none() || before < FOLLOWERS * 2 * usize::try_from(waves.max(1)).unwrap_or(usize::MAX)
    }

    fn has_fresh_answer(&self, member: &MemberState) -> bool {
        member
            .store_answer_at()
            .is_some_and(|at| self.now.since(at) < ANSWER_FRESH)
    }

    /// True if no instance before this one in rank could take the duties at once: none that serves and reaches the
    /// store.
    pub fn is_first_successor(&self) -> bool {
        let own_rank = rank(self.own);
        !self.members.live(self.now).any(|member| {
            member.report.stage == MemberStage::Ready
                && rank(member.card()) < own_rank
                && self.has_fresh_answer(member)
        })
    }

    /// True if this instance is among the first in rank, one of which succeeds a lost holder of the duties.
    pub fn is_successor(&self) -> bool {
        let ranked = self.ranked();
        ranked
            .iter()
            .take(USAGE_COPIES)
            .any(|card| card.id == self.own.id)
    }

    /// Place of this instance among those that may follow the store, and their number.
    pub fn turn(&self) -> (usize, usize) {
        let ranked = self.ranked();
        let count = ranked.len().min(FOLLOWERS);
        let place = ranked.iter().position(|card| card.id == self.own.id);
        (place.unwrap_or_default() % count, count)
    }

    /// When the store came back after a loss, by the latest word of anybody.
    pub fn store_back_at(&self) -> Option<MonoTime> {
        self.members
            .live(self.now)
            .filter_map(MemberState::store_back_at)
            .max()
    }
}

/// Place in the order of relays, followers and successors.
fn rank(card: &MemberCard) -> (std::cmp::Reverse<u32>, u64, &InstanceId) {
    let mut hasher = FxHasher::default();
    hasher.write(card.id.as_str().as_bytes());
    (std::cmp::Reverse(card.weight), hasher.finish(), &card.id)
}
