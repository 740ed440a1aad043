//! Estimate of true time from the wall clocks of several instances.
//!
//! Wall clocks may jump by seconds on some machines. The median of all clocks that were heard of lately is
//! right while most are.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

/// Age after which another instance's clock no longer counts.
const CLOCK_LIFETIME: Duration = Duration::from_secs(3);

/// Clocks of the fleet, each as the distance from this process's steady clock.
#[derive(Clone, Debug, Default)]
pub struct TrueClock {
    peers: FastMap<InstanceId, (i64, MonoTime)>,
}

impl TrueClock {
    /// Notes another instance's wall clock.
    pub fn record(&mut self, instance: &InstanceId, unix_ms: u64, now: MonoTime) {
        let offset = offset(unix_ms, now);
        self.peers.insert(instance.clone(), (offset, now));
    }

    /// True time in Unix milliseconds, from the own wall clock and the others'.
    pub fn unix_ms(&self, own_ms: u64, now: MonoTime) -> u64 {
        let fresh = self
            .peers
            .values()
            .filter(|(_, at)| now.since(*at) < CLOCK_LIFETIME);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.push(offset(own_ms, now));
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let steady = i64::try_from(now.as_duration().as_millis()).unwrap_or(i64::MAX);
        u64::try_from(steady.saturating_add(median)).unwrap_or_default()
    }
}

fn offset(unix_ms: u64, now: MonoTime) -> i64 {
    let steady = i64::try_from(now.as_duration().as_millis()).unwrap_or(i64::MAX);
    i64::try_from(unix_ms).unwrap_or(i64::MAX).saturating_sub(steady)
}
