//! Simulation of 76 instances that choose among 60 uneven upstreams by reports of different ages.
//!
//! Each instance knows its own work at once. Work of the others and slowdowns are known as they were when the last
//! reports were made. An upstream has a few slots and a queue, runs at a permanent speed, and is slowed at times.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Requests that an upstream runs at a time.
const SLOTS: usize = 6;

/// Mean service time at normal speed, in milliseconds.
const SERVICE_MS: f64 = 100.0;

/// Permanent speed factors, in rotation.
const FACTORS: [f64; 3] = [0.7, 0.7, 1.7];

/// Factor of a temporary slowdown.
const SLOWDOWN: f64 = 2.5;

/// Length of a slowdown, in milliseconds; at any time, 15 % of the upstreams are slowed.
const SLOWDOWN_MS: u64 = 600;

/// Requests per millisecond and upstream: 80 % of what the upstreams can do, slowdowns included. 1.149 is the mean
/// speed with the permanent factors.
const RATE: f64 = 0.8 * SLOTS as f64 / SERVICE_MS * 1.149 / (1.0 + 0.15 * (SLOWDOWN - 1.0));

/// Number of instances and of upstreams.
#[derive(Clone, Copy, Debug)]
struct SimSize {
    instances: usize,
    upstreams: usize,
}

/// Latency target, in milliseconds.
const TARGET_MS: u64 = 400;

/// Length of a run, in milliseconds; the first fifth doesn't count.
const RUN_MS: u64 = 15_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Policy {
    /// Least known work of all upstreams, whatever their speed.
    LeastWork,
    /// Least expected time of all upstreams.
    WeightedLeastWork,
    /// Least expected time of two random upstreams.
    TwoChoices,
    /// Least expected time of two random upstreams, the fast ones more often.
    TwoFastChoices,
    /// An upstream that has told the instance that it is idle, otherwise a random one.
    JoinIdleQueue,
}

#[derive(Clone, Default)]
struct SimUpstream {
    running: usize,
    queue: VecDeque<(u64, usize)>,
    total: u32,
    own: Vec<u32>,
}

/// What the reports say: requests by upstream, and the part of them that each instance has itself.
struct Snapshot {
    total: Vec<u32>,
    own: Vec<Vec<u32>>,
    slowdown: Vec<f64>,
}

/// Returns the p99 in milliseconds and the share within the target.
fn simulate(policy: Policy, size: SimSize, age_ms: u64) -> (u64, f64) {
    let rate = RATE * size.upstreams as f64;
    let mut random = StdRng::seed_from_u64(7);
    let mut upstreams = vec![
        SimUpstream {
            own: vec![0; size.instances],
            ..SimUpstream::default()
        };
        size.upstreams
    ];
    let mut slowed_until = vec![0_u64; size.upstreams];
    let mut ends: BinaryHeap<Reverse<(u64, usize, usize)>> = BinaryHeap::new();
    let mut snapshots: VecDeque<Snapshot> = VecDeque::new();
    // Announcements of idle upstreams, by instance, with the time from which the instance knows them.
    let mut idle: Vec<VecDeque<(u64, usize)>> = vec![VecDeque::new(); size.instances];
    let mut latencies = Vec::new();
    let snapshot_ms = 50;
    let start = |upstream: usize, is_slowed: bool, random: &mut StdRng| -> u64 {
        let work = SERVICE_MS * (0.5 + random.random::<f64>());
        let slowdown = if is_slowed { SLOWDOWN } else { 1.0 };
        (work * FACTORS[upstream % 3] * slowdown) as u64
    };
    for now in 0..RUN_MS {
        for until in &mut slowed_until {
            let is_started = random.random_bool(0.15 / 0.85 / SLOWDOWN_MS as f64);
            if *until <= now && is_started {
                *until = now + SLOWDOWN_MS;
            }
        }
        while let Some(Reverse((end, upstream, instance))) = ends.peek().copied() {
            if end > now {
                break;
            }
            ends.pop();
            let state = &mut upstreams[upstream];
            state.total -= 1;
            state.own[instance] -= 1;
            match state.queue.pop_front() {
                Some((arrived, next)) => {
                    let end = now + start(upstream, slowed_until[upstream] > now, &mut random);
                    ends.push(Reverse((end, upstream, next)));
                    latencies.push((arrived, end - arrived));
                }
                None => {
                    state.running -= 1;
                    let instance = random.random_range(0..size.instances);
                    idle[instance].push_back((now + age_ms, upstream));
                }
            }
        }
        if now % snapshot_ms == 0 {
            snapshots.push_back(Snapshot {
                total: upstreams.iter().map(|upstream| upstream.total).collect(),
                own: upstreams.iter().map(|upstream| upstream.own.clone()).collect(),
                slowdown: slowed_until
                    .iter()
                    .map(|until| if *until > now { SLOWDOWN } else { 1.0 })
                    .collect(),
            });
            if snapshots.len() as u64 > age_ms / snapshot_ms + 1 {
                snapshots.pop_front();
            }
        }
        let known = &snapshots[0];
        let arrivals = rate.floor() as u64 + u64::from(random.random_bool(rate.fract()));
        for _ in 0..arrivals {
            let instance = random.random_range(0..size.instances);
            let expected = |upstream: usize, has_speeds: bool| {
                let peers = known.total[upstream] - known.own[upstream][instance];
                let work = f64::from(peers + upstreams[upstream].own[instance] + 1);
                if !has_speeds {
                    return work;
                }
                // A reported slowdown loses its effect with its age, as in the module `speed`.
                let trust = (-(age_ms as f64) / 500.0).exp();
                work * FACTORS[upstream % 3] * known.slowdown[upstream].powf(trust)
            };
            let best = |sample: &mut dyn Iterator<Item = usize>, has_speeds: bool, random: &mut StdRng| {
                sample
                    .map(|upstream| {
                        let cost = (expected(upstream, has_speeds) * 1_000.0) as u64;
                        (cost, random.random::<u32>(), upstream)
                    })
                    .min()
                    .map(|(_, _, upstream)| upstream)
                    .unwrap()
            };
            let chosen = match policy {
                Policy::LeastWork => best(&mut (0..size.upstreams), false, &mut random),
                Policy::WeightedLeastWork => best(&mut (0..size.upstreams), true, &mut random),
                Policy::TwoChoices => {
                    let sample = rand::seq::index::sample(&mut random, size.upstreams, 2);
                    best(&mut sample.into_iter(), true, &mut random)
                }
                Policy::TwoFastChoices => {
                    let weight = |upstream: usize| 1.0 / FACTORS[upstream % 3];
                    let sample = rand::seq::index::sample_weighted(&mut random, size.upstreams, weight, 2);
                    best(&mut sample.unwrap().into_iter(), true, &mut random)
                }
                Policy::JoinIdleQueue => {
                    let is_known = idle[instance].front().is_some_and(|(at, _)| *at <= now);
                    let announced = if is_known {
                        idle[instance].pop_front()
                    } else {
                        None
                    };
                    announced.map_or_else(
                        || random.random_range(0..size.upstreams),
                        |(_, upstream)| upstream,
                    )
                }
            };
            let state = &mut upstreams[chosen];
            state.total += 1;
            state.own[instance] += 1;
            if state.running < SLOTS {
                state.running += 1;
                let end = now + start(chosen, slowed_until[chosen] > now, &mut random);
                ends.push(Reverse((end, chosen, instance)));
                latencies.push((now, end - now));
            } else {
                state.queue.push_back((now, instance));
            }
        }
    }
    // Requests that still wait count with the time that they have waited.
    for upstream in &upstreams {
        latencies.extend(
            upstream
                .queue
                .iter()
                .map(|(arrived, _)| (*arrived, RUN_MS - arrived)),
        );
    }
    let counted = latencies.iter().filter(|(arrived, _)| *arrived >= RUN_MS / 5);
    let mut sorted: Vec<u64> = counted.map(|(_, latency)| *latency).collect();
    sorted.sort_unstable();
    let in_time = sorted.partition_point(|latency| *latency <= TARGET_MS);
    (
        sorted[sorted.len() * 99 / 100],
        in_time as f64 / sorted.len() as f64,
    )
}

/// Guards against herding of all instances onto the upstreams that old reports show as the best ones. Prints the
/// figures of the design note.
#[test]
fn choosing_between_two_is_best_with_old_reports() {
    use Policy::{JoinIdleQueue, LeastWork, TwoChoices, TwoFastChoices, WeightedLeastWork};
    let policies = [
        LeastWork,
        WeightedLeastWork,
        TwoChoices,
        TwoFastChoices,
        JoinIdleQueue,
    ];
    let size = SimSize {
        instances: 76,
        upstreams: 60,
    };
    for age_ms in [100, 400, 1_000, 4_000] {
        let results = policies.map(|policy| (policy, simulate(policy, size, age_ms)));
        for (policy, (p99, share)) in results {
            println!("age {age_ms} ms, {policy:?}: p99 {p99} ms, {share:.3} within the target");
        }
        let chosen = results[3].1;
        let is_best = results.iter().all(|(_, other)| other.0 >= chosen.0);
        assert!(is_best, "age {age_ms} ms: {results:?}");
        let full_scans = results[..2].iter();
        assert!(
            full_scans.clone().all(|(_, other)| chosen.1 > other.1),
            "age {age_ms} ms: {results:?}"
        );
    }
}
