//! Estimate of the current time from the wall clocks of several instances.
//!
//! The wall clocks of some machines jump by seconds. The median of all recently reported clocks is correct as
//! long as most of them are.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use crate::time::MonoTime;

/// Age after which another instance's clock reading is ignored.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(3);

/// Wall clocks of the fleet, each stored as its offset from this process's monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct FleetClock {
    peers: FastMap<InstanceId, (i64, MonoTime)>,
}

impl FleetClock {
    /// Records another instance's wall clock.
    pub fn record(&mut self, instance: &InstanceId, unix_ms: u64, now: MonoTime) {
        let offset = offset(unix_ms, now);
        self.peers.insert(instance.clone(), (offset, now));
    }

    /// Estimated Unix time in milliseconds: the median of this instance's wall clock and the others'.
    pub fn unix_ms(&self, own_unix_ms: u64, now: MonoTime) -> u64 {
        let fresh = self
            .peers
            .values()
            .filter(|(_, at)| now.since(*at) < MAX_SAMPLE_AGE);
        let mut offsets: Vec<i64> = fresh.map(|(offset, _)| *offset).collect();
        offsets.push(offset(own_unix_ms, now));
        offsets.sort_unstable();
        let median = offsets[offsets.len() / 2];
        let mono_ms = i64::try_from(now.as_duration().as_millis()).unwrap_or(i64::MAX);
        u64::try_from(mono_ms.saturating_add(median)).unwrap_or_default()
    }
}

fn offset(unix_ms: u64, now: MonoTime) -> i64 {
    let mono_ms = i64::try_from(now.as_duration().as_millis()).unwrap_or(i64::MAX);
    i64::try_from(unix_ms).unwrap_or(i64::MAX).saturating_sub(mono_ms)
}
