//! Whether this instance reaches any upstream.
//!
//! A failed connection is held against its upstream. But if connections to several fail and none succeeds, the link of
//! this instance may be the cause. [`ReachState`] then asks for a probe of many upstreams at once: an instance that reaches
//! none of them is cut off. It stays so until a probe succeeds. Until then other instances serve its callers' requests.
//!
//! Only new connections count: a link may let open ones live on while it refuses others.

use std::time::Duration;

use marigoldlock_wire::prelude::*;
use rand::Rng;

use crate::time::MonoTime;

use super::exchange::FleetView;
use super::members::{MemberCard, MemberStage};

/// Number of upstreams that must fail in a row before the others are probed.
const SUSPICIOUS_FAILURES: usize = 2;

/// Time between two probes of an instance that is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two probes that found upstreams: a burst of failures is checked once.
const REACHED_INTERVAL: Duration = Duration::from_millis(500);

/// What new connections tell of this instance's link to the upstreams.
#[derive(Clone, Debug, Default)]
pub struct ReachState {
    /// Upstreams that have failed since the last connection was opened.
    failed: FastSet<UpstreamId>,
    connected_at: Option<MonoTime>,
    probed_at: Option<MonoTime>,
    is_cut_off: bool,
}

impl ReachState {
    /// Records an opened connection; returns true if the instance was cut off until now.
    pub fn record_connected(&mut self, now: MonoTime) -> bool {
        self.failed.clear();
        self.connected_at = Some(now);
        std::mem::take(&mut self.is_cut_off)
    }

    /// Records that no connection to an upstream could be opened, in an attempt that began at `began_at`.
    pub fn record_failed(&mut self, upstream: &UpstreamId, began_at: MonoTime) {
        // A connection that was opened in the meantime is the newer evidence.
        if self.connected_at.is_none_or(|at| at < began_at) {
            self.failed.insert(upstream.clone());
        }
    }

    /// True if upstreams should be probed now. `listed` is the number of known upstreams.
    pub fn should_probe(&self, listed: usize, now: MonoTime) -> bool {
        let is_suspicious = !self.failed.is_empty() && self.failed.len() >= SUSPICIOUS_FAILURES.min(listed);
        let interval = if self.is_cut_off {
            PROBE_INTERVAL
        } else {
            REACHED_INTERVAL
        };
        let is_due = self.probed_at.is_none_or(|at| now.since(at) >= interval);
        (self.is_cut_off || is_suspicious) && is_due
    }

    /// Records the start of a probe.
    pub fn start_probe(&mut self, now: MonoTime) {
        self.probed_at = Some(now);
    }

    /// Records that a probe that began at `began_at` reached no upstream; returns true if the instance was not known to be
    /// cut off.
    pub fn record_unanswered_probe(&mut self, began_at: MonoTime) -> bool {
        if self.connected_at.is_some_and(|at| at >= began_at) {
            return false;
        }
        !std::mem::replace(&mut self.is_cut_off, true)
    }

    /// True while this instance reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }
}

/// Instances that may serve a request in place of this one, which reaches no upstream, in the order in which to ask them.
/// Larger instances come first more often.
pub fn serving_peers<'a>(view: &FleetView<'a>, random: &mut impl Rng) -> Vec<&'a MemberCard> {
    let serving = view.members.live(view.now).filter(|member| {
        let report = &member.report;
        report.stage == MemberStage::Ready && !report.is_cut_off
    });
    let mut cards: Vec<(f64, &MemberCard)> = serving
        .map(|member| {
            let card = member.card();
            let weight = f64::from(card.weight.max(1));
            (random.random::<f64>().powf(1.0 / weight), card)
        })
        .collect();
    cards.sort_by(|a, b| b.0.total_cmp(&a.0));
    cards.into_iter().map(|(_, card)| card).collect()
}
