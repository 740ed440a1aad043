//! Heartbeat topology of a fleet, and which instances read the store for the others.
//!
//! A fleet may have a handful of instances or hundreds of small ones. With a full mesh, the number of
//! heartbeats would grow with the square of the fleet size, and both traffic between data centres and calls
//! to the store are billed. So the instances of one data centre exchange heartbeats directly, a few relays in
//! each data centre exchange their reports with the relays of the others, and a few followers read the store
//! for all. All instances derive the same roles from the same heartbeats; if a relay or follower goes silent,
//! the next instance in rank replaces it. In a fleet of a few instances, all are relays and followers.

use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rustc_hash::FxHasher;

use crate::time::MonoTime;

use super::members::{MemberCard, MemberReport, MemberStage, MemberState, MemberTable};
use super::news::NewsDate;

/// Shortest interval between two heartbeats; load reported to other instances is about this old.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Longest interval between two heartbeats: callers must learn of dead instances within seconds.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Heartbeat interval per instance of the fleet. In fleets of up to 400 instances it limits the reports that
/// an instance receives to 400 per second.
const HEARTBEAT_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(2_500);

/// Target number of relays in the whole fleet. A fleet of up to this size is fully meshed.
const TOTAL_RELAYS: usize = 10;

/// Minimum number of relays in a data centre: one may be lost at any moment.
const MIN_RELAYS_PER_DATA_CENTRE: usize = 2;

/// Rounds between two heartbeats to a usage replica in another data centre. A usage window stays open for
/// many such rounds.
pub(super) const USAGE_ROUNDS: u64 = 3;

/// Rounds between two heartbeats to an instance that is silent.
const PROBE_ROUNDS: u64 = 4;

/// Number of instances that read the store for all: enough that losing several has no effect, but few, since
/// calls are billed.
const FOLLOWERS: usize = 6;

/// Age of a follower's last store response above which the next instance in rank follows the store too;
/// longer than a follower's long poll.
const MAX_STORE_RESPONSE_AGE: Duration = Duration::from_millis(1_600);

/// Heartbeats that a report takes to reach another data centre: its own and those of two relays.
const HOPS_BETWEEN_DATA_CENTRES: u32 = 3;

/// While the store responds to no instance, up to twice [`FOLLOWERS`] try it, and as many more for each
/// further interval of this length.
const FOLLOWER_RAMP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after its start for which an instance that has heard no other leaves the store to those. It has just read
/// everything, and heartbeats arrive sooner if there are others.
const FIRST_CONTACT_TIME: Duration = Duration::from_secs(1);

/// Shortest time after its start from which an instance takes its rank for that in the whole fleet: a fleet of hundreds has
/// discovered itself by then.
const MIN_RANK_TIME: Duration = Duration::from_secs(3);

/// Number of instances, besides the holder of the duties, that keep the usage counts of the whole fleet, so
/// that the counts survive the loss of the holder.
const USAGE_REPLICAS: usize = 4;

/// Number of instances that write contested origins of streams to the store: one may be lost before it has.
const ARCHIVISTS: usize = 2;

/// Heartbeat interval of each instance in a fleet of this size.
pub fn heartbeat_interval(instances: usize) -> Duration {
    let scaled = HEARTBEAT_INTERVAL_PER_INSTANCE * u32::try_from(instances).unwrap_or(u32::MAX);
    scaled.clamp(MIN_HEARTBEAT_INTERVAL, MAX_HEARTBEAT_INTERVAL)
}

/// Targets of one round of heartbeats.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoundTargets {
    /// Instances of the same data centre; a relay forwards to them the reports of the other data centres.
    pub local: Vec<SocketAddr>,
    /// Instances of other data centres; a relay forwards to them the reports of its own data centre.
    pub remote: Vec<SocketAddr>,
    /// Instances of other data centres that get only this instance's own report: those that send heartbeats
    /// here on their own initiative, because the two instances disagree on the relays, and periodically the
    /// usage replicas.
    pub answers: Vec<SocketAddr>,
    /// Instances that get this instance's usage counts.
    pub usage_replicas: FastSet<SocketAddr>,
    /// True if this instance is a relay.
    pub is_relay: bool,
}

/// The fleet as seen by one instance.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// This instance.
    pub own: &'a MemberCard,
    /// All other instances.
    pub members: &'a MemberTable,
    /// Current time.
    pub now: MonoTime,
}

impl<'a> FleetView<'a> {
    /// Live instances including this one, by rank: the largest first, then in an order that is the same on
    /// all instances.
    pub fn ranked(&self) -> Vec<&'a MemberCard> {
        let others = self.members.live(self.now).map(MemberState::card);
        let mut cards: Vec<&MemberCard> = others.chain([self.own]).collect();
        cards.sort_by_cached_key(|card| rank(card));
        cards
    }

    /// Targets of this instance's heartbeats in a round.
    pub fn targets(&self, round: u64) -> RoundTargets {
        let ranked = self.ranked();
        let mut relays: FastMap<&DataCentre, Vec<&MemberCard>> = FastMap::default();
        for card in &ranked {
            relays.entry(&card.data_centre).or_default().push(card);
        }
        let max_relays = MIN_RELAYS_PER_DATA_CENTRE.max(TOTAL_RELAYS / relays.len().max(1));
        for cards in relays.values_mut() {
            cards.truncate(max_relays);
        }
        let is_relay_of = |card: &MemberCard| {
            relays
                .get(&card.data_centre)
                .is_some_and(|cards| cards.iter().any(|relay| relay.id == card.id))
        };
        let is_relay = is_relay_of(self.own);
        let is_probing = round.is_multiple_of(PROBE_ROUNDS);
        let live: FastSet<&InstanceId> = ranked.iter().map(|card| &card.id).collect();
        let liveness_timeout = self.members.liveness_timeout();
        let is_usage_round = round.is_multiple_of(USAGE_ROUNDS);
        let mut targets = RoundTargets {
            is_relay,
            usage_replicas: self.find_usage_replicas(&ranked),
            ..RoundTargets::default()
        };
        for member in self.members.all() {
            let card = member.card();
            let is_live = live.contains(&card.id);
            if card.data_centre == self.own.data_centre {
                if is_live || is_probing {
                    targets.local.push(card.peer);
                }
                continue;
            }
            let is_probed = is_probing && (!is_live || !relays.contains_key(&card.data_centre));
            let is_direct_peer = member
                .direct_at
                .is_some_and(|at| self.now.since(at) < liveness_timeout);
            if is_relay && (is_relay_of(card) || is_probed) {
                targets.remote.push(card.peer);
            } else if is_direct_peer || is_usage_round && targets.usage_replicas.contains(&card.peer) {
                targets.answers.push(card.peer);
            }
        }
        targets
    }

    /// Latest reports of the instances inside or outside the own data centre, as a relay forwards them.
    pub fn forwarded(&self, is_local: bool) -> Vec<MemberReport> {
        self.members
            .live(self.now)
            .filter(|member| (member.card().data_centre == self.own.data_centre) == is_local)
            .map(|member| member.forwarded(self.now))
            .collect()
    }

    /// Instances that keep the usage counts: the holder of the duties and the first in rank, one of which
    /// succeeds it.
    fn find_usage_replicas(&self, ranked: &[&MemberCard]) -> FastSet<SocketAddr> {
        let holders = self
            .members
            .live(self.now)
            .filter(|member| member.report.duty_fence.is_some())
            .map(MemberState::card);
        let others = ranked.iter().copied().filter(|card| card.id != self.own.id);
        holders
            .chain(others.take(USAGE_REPLICAS))
            .map(|card| card.peer)
            .collect()
    }

    /// True if this instance may be needed to read the store. Until it knows its rank, instances that it knows only from
    /// their cards count as well.
    pub fn may_follow(&self, started_at: MonoTime) -> bool {
        if self.knows_rank(started_at) {
            return true;
        }
        let has_heard = self.members.live(self.now).next().is_some();
        if !has_heard && self.now.since(started_at) < FIRST_CONTACT_TIME {
            return false;
        }
        let own_rank = rank(self.own);
        let known = self.members.all().map(MemberState::card);
        known.filter(|card| rank(card) < own_rank).count() < FOLLOWERS
    }

    /// True if this instance has been up for long enough to know its rank. After a start of the whole fleet, each instance
    /// is the first in rank until it has heard the others, of which it knows few.
    pub fn knows_rank(&self, started_at: MonoTime) -> bool {
        self.now.since(started_at) >= self.members.liveness_timeout().max(MIN_RANK_TIME)
    }

    /// True if this instance should read the store itself because too few instances ahead of it in rank have
    /// a recent response.
    pub fn is_follower(&self) -> bool {
        let own_rank = rank(self.own);
        let mut recent = 0;
        let mut ahead = 0;
        let mut newest: Option<MonoTime> = None;
        for member in self.members.live(self.now) {
            newest = newest.max(member.store_response_at());
            if rank(member.card()) < own_rank {
                ahead += 1;
                recent += usize::from(has_response_within(MAX_STORE_RESPONSE_AGE, member, self.now));
            }
        }
        if recent >= FOLLOWERS {
            return false;
        }
        // While the store responds to nobody, only a few instances try it at first, since failed calls are
        // billed too.
        let outage = newest.map_or(Duration::MAX, |at| self.now.since(at));
        let ramp_steps = outage.as_millis() / FOLLOWER_RAMP_INTERVAL.as_millis();
        newest.is_none() || ahead < FOLLOWERS * 2 * usize::try_from(ramp_steps.max(1)).unwrap_or(usize::MAX)
    }

    /// True if an instance reaches the store as far as instances of all data centres can know. Each data centre has followers
    /// that it knows by fresher news, but all have to agree on who writes for the fleet.
    fn reaches_store(&self, member: &MemberState) -> bool {
        has_response_within(self.max_news_age(), member, self.now)
    }

    /// Age that news of the store may have in this fleet: a follower's long poll, and the heartbeats from there.
    fn max_news_age(&self) -> Duration {
        let interval = heartbeat_interval(self.members.all().count() + 1);
        let delay = interval.saturating_sub(MIN_HEARTBEAT_INTERVAL) * HOPS_BETWEEN_DATA_CENTRES;
        MAX_STORE_RESPONSE_AGE + delay
    }

    /// True if the listing of upstreams is older than it has to be, although the store responds to others: what they have read
    /// does not get here in time, so this instance has to read the store itself.
    pub fn is_left_behind(&self, listing: &NewsDate) -> bool {
        let max_age = self.max_news_age();
        let is_old = !listing.is_within(max_age, self.now);
        is_old
            && self
                .members
                .live(self.now)
                .any(|member| has_response_within(max_age, member, self.now))
    }

    /// True if no instance ahead of this one in rank could take the duties now, that is, is ready and reaches
    /// the store.
    pub fn is_first_successor(&self) -> bool {
        let own_rank = rank(self.own);
        !self.members.live(self.now).any(|member| {
            member.report.stage == MemberStage::Ready
                && rank(member.card()) < own_rank
                && self.reaches_store(member)
        })
    }

    /// Instances that write contested origins of streams to the store: the first in rank that reach it.
    pub fn archivists(&self, own_reaches_store: bool) -> Vec<&'a MemberCard> {
        let others = self.members.live(self.now);
        let others = others
            .filter(|member| member.report.stage == MemberStage::Ready && self.reaches_store(member))
            .map(MemberState::card);
        let mut cards: Vec<&MemberCard> = others.chain(own_reaches_store.then_some(self.own)).collect();
        cards.sort_by_cached_key(|card| rank(card));
        cards.truncate(ARCHIVISTS);
        cards
    }

    /// True if this instance is among the first in rank, one of which succeeds a lost holder of the duties.
    pub fn is_successor(&self) -> bool {
        let ranked = self.ranked();
        ranked
            .iter()
            .take(USAGE_REPLICAS)
            .any(|card| card.id == self.own.id)
    }

    /// Position of this instance among the possible followers of the store, and their number.
    pub fn follower_slot(&self) -> (usize, usize) {
        let ranked = self.ranked();
        let count = ranked.len().min(FOLLOWERS);
        let place = ranked.iter().position(|card| card.id == self.own.id);
        (place.unwrap_or_default() % count, count)
    }

    /// Time of the store's last recovery from an outage that any live instance has reported.
    pub fn store_recovered_at(&self) -> Option<MonoTime> {
        self.members
            .live(self.now)
            .filter_map(MemberState::store_recovered_at)
            .max()
    }
}

fn has_response_within(max_age: Duration, member: &MemberState, now: MonoTime) -> bool {
    member
        .store_response_at()
        .is_some_and(|at| now.since(at) < max_age)
}

/// Sort key that determines relays, followers and successors.
fn rank(card: &MemberCard) -> (std::cmp::Reverse<u32>, u64, &InstanceId) {
    let mut hasher = FxHasher::default();
    hasher.write(card.id.as_str().as_bytes());
    (std::cmp::Reverse(card.weight), hasher.finish(), &card.id)
}
