//! Requests that crash upstreams, and the check that they are no longer sent in the end.

use std::time::{Duration, Instant};

use marigoldlock_standin::site::{ArrivalRecord, UpstreamStandin};

/// Prompt part that crashes engines.
pub const CRASHING_PART: &str = "bad";

/// Path of the request that crashes upstreams of the plain service.
pub const CRASHING_PATH: &str = "/look/crash";

/// Time for which an upstream is down after a crash.
const DOWNTIME: Duration = Duration::from_millis(700);

/// Crashes after which such requests may no longer be sent, once the fleet has recovered.
const CRASHES_TO_BLOCK: usize = 5;

/// Requests that may reach upstreams all the same, from the platform's rules.
const ALLOWED_ARRIVALS: usize = 3;

/// Makes an upstream crash under these requests.
pub fn arm(upstream: &UpstreamStandin) {
    upstream.set_faults(|faults| {
        faults.crashing_part = Some(CRASHING_PART.into());
        faults.crashing_path = Some(CRASHING_PATH.into());
        faults.downtime = DOWNTIME;
    });
}

/// True if the request is one that crashes upstreams.
fn is_crashing(arrival: &ArrivalRecord) -> bool {
    if arrival.path == CRASHING_PATH {
        return true;
    }
    let mut ids = arrival
        .prompt_parts
        .split(',')
        .filter_map(|part| part.split_once(':'));
    ids.any(|(id, _)| id == CRASHING_PART)
}

/// Crashes of one service's upstreams before the recovery, and requests that crash them after it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCounts {
    /// Crashes before the recovery.
    pub crashes: usize,
    /// Requests that crash upstreams and reached one after the recovery.
    pub arrivals: usize,
}

impl CrashCounts {
    /// Adds what an upstream recorded.
    pub fn add(&mut self, upstream: &UpstreamStandin, recovered_at: Instant) {
        let (crashes, arrivals) = (upstream.crashes(), upstream.arrivals());
        self.crashes += crashes.iter().filter(|at| **at < recovered_at).count();
        let late = arrivals.iter().filter(|arrival| arrival.at >= recovered_at);
        self.arrivals += late.filter(|arrival| is_crashing(arrival)).count();
    }

    /// True if such requests were still sent although enough upstreams had crashed under them.
    pub fn is_excess(self) -> bool {
        self.crashes >= CRASHES_TO_BLOCK && self.arrivals > ALLOWED_ARRIVALS
    }
}
