//! Rate limits that upstreams state for all instances together.
//!
//! An upstream in need states how many requests per second it takes from the whole fleet. The instances share that
//! rate without messages: by the fleet's clock, the upstream grants one request every `1 / rate` seconds, and the
//! grants go to the serving instances in turn. An instance that doesn't use a grant within [`GRANT_LIFETIME`] loses
//! it, so idle instances save up nothing for a burst: in any span of time, the fleet sends no more than the rate
//! allows in that span and one lifetime.

use std::time::Duration;

use crate::time::MonoTime;

use super::exchange::FleetView;
use super::members::{MemberStage, MemberState};
use super::state::UpstreamKey;

/// Time for which an instance may use a grant; rates are per second.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Lowest rate, in requests per second: an upstream that takes none is asked now and then whether that still holds.
const MIN_RATE: f64 = 0.05;

/// Rounding error of grant times, in milliseconds.
const ROUNDING_MS: f64 = 0.01;

/// Turn of an instance among those that share the rates.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PaceTurn {
    /// The fleet's time, in Unix milliseconds.
    pub fleet_ms: u64,
    /// Position of the instance.
    pub position: usize,
    /// Number of instances.
    pub instances: usize,
}

impl PaceTurn {
    /// Turn of the instance among all that serve requests.
    pub fn new(view: &FleetView<'_>, fleet_ms: u64) -> Self {
        let serving = view
            .members
            .live(view.now)
            .filter(|member| member.report.stage == MemberStage::Ready)
            .map(MemberState::card);
        let (mut position, mut instances) = (0, 1);
        for card in serving {
            instances += 1;
            position += usize::from(card.id < view.own.id);
        }
        Self {
            fleet_ms,
            position,
            instances,
        }
    }
}

/// What a response says of its upstream's limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitStatement {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests per second from all instances; `None` if the response states no limit.
    pub rate: Option<f64>,
    /// When the request was sent.
    pub sent_at: MonoTime,
    /// When the response arrived.
    pub received_at: MonoTime,
    /// The same on the fleet's clock, in Unix milliseconds.
    pub fleet_ms: u64,
}

/// Limit that an upstream states in its responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedLimit {
    upstream: UpstreamKey,
    rate: f64,
    stated_at: MonoTime,
    /// Time of the last grant that was used, in Unix milliseconds.
    last_grant_ms: f64,
}

impl StatedLimit {
    /// Limit after a statement; `None` if there is none any more.
    pub fn update(before: Option<Self>, statement: &LimitStatement) -> Option<Self> {
        match (before, statement.rate) {
            (before, Some(rate)) => Some(Self {
                upstream: statement.upstream,
                rate,
                stated_at: statement.received_at,
                last_grant_ms: before.map_or(statement.fleet_ms as f64, |limit| limit.last_grant_ms),
            }),
            // The upstream may have answered a request before it stated the limit.
            (Some(limit), None) if limit.stated_at >= statement.sent_at => Some(limit),
            (_, None) => None,
        }
    }

    /// Requests per second from all instances.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Time until this instance may send a request; zero if it may now.
    pub fn wait(&self, turn: &PaceTurn) -> Duration {
        let millis = self.next_grant_ms(turn) - turn.fleet_ms as f64;
        Duration::from_secs_f64(millis.max(0.0) / 1e3)
    }

    /// Uses a grant; returns false if there is none.
    pub fn use_grant(&mut self, turn: &PaceTurn) -> bool {
        let grant = self.next_grant_ms(turn);
        let is_granted = grant <= turn.fleet_ms as f64;
        if is_granted {
            self.last_grant_ms = grant;
        }
        is_granted
    }

    /// Time of the first grant of this instance that is neither used nor lost.
    fn next_grant_ms(&self, turn: &PaceTurn) -> f64 {
        let now = turn.fleet_ms as f64;
        let interval = 1e3 / self.rate.max(MIN_RATE);
        let instances = turn.instances.max(1);
        // Different upstreams begin with different instances.
        let place = (turn.position + self.upstream.index(instances)) % instances;
        let first = place as f64 * interval;
        let cycle = instances as f64 * interval;
        let lifetime = GRANT_LIFETIME.as_secs_f64() * 1e3;
        // The estimate of the time may go back a little, but a last grant far in the future means that the clock was
        // set back.
        let is_set_back = self.last_grant_ms > now + lifetime;
        let oldest = now - lifetime;
        let used = if is_set_back { oldest } else { self.last_grant_ms };
        let after = used.max(oldest) + ROUNDING_MS;
        first + (((after - first) / cycle).floor() + 1.0) * cycle
    }
}
