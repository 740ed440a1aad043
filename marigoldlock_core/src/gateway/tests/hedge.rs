//! Tests of hedged requests: when a second attempt may be sent, and what hedges do to a service, without a network.

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use super::{at, entry, millis};
use crate::gateway::adapter::LoadReport;
use crate::gateway::catalog::{UpstreamEntry, UpstreamRole};
use crate::gateway::choice::{Candidate, ChoiceContext, pick_plain};
use crate::gateway::hedge::{
    HedgeDenial, HedgeGrant, HedgeQuery, HedgeShare, HedgeState, LatencyEstimate, ServiceLoad, SizeClass,
};
use crate::gateway::outcome::{AttemptHistory, SendPhase};
use crate::gateway::route::CallKind;
use crate::gateway::state::UpstreamState;
use crate::time::MonoTime;

const ROUTE: &str = "look";

/// Most attempts of the route.
const MAX_ATTEMPTS: u32 = 2;

fn share(share: f64) -> HedgeShare {
    HedgeShare::try_new(share).unwrap()
}

fn service() -> ServiceId {
    ServiceId::from("app")
}

fn upstreams(slots: u32) -> Vec<(UpstreamEntry, UpstreamState)> {
    let ids = ["a1", "a2", "a3"];
    ids.map(|id| {
        let entry = UpstreamEntry {
            service: service(),
            slots,
            ..entry(id, "a", UpstreamRole::Whole)
        };
        (entry, UpstreamState::default())
    })
    .into()
}

fn sent_once() -> AttemptHistory {
    let mut attempts = AttemptHistory::default();
    attempts.count_sent();
    attempts
}

/// State of an instance that has counted `requests` at time zero.
fn state_with_requests(requests: usize) -> HedgeState {
    let mut state = HedgeState::default();
    for _ in 0..requests {
        state.count_request(&service(), at(0));
    }
    state
}

/// Checks and counts a hedge.
fn try_hedge(
    state: &mut HedgeState,
    query: &HedgeQuery<'_>,
    now: MonoTime,
) -> Result<HedgeGrant, HedgeDenial> {
    state
        .check(query, now)
        .map(|()| state.count_hedge(query.service, now))
}

/// Asks for a hedge of an idempotent request from `a1` to `candidate`, changed by `change`.
fn ask(
    state: &mut HedgeState,
    candidate: Option<&(UpstreamEntry, UpstreamState)>,
    now: MonoTime,
    change: impl FnOnce(&mut HedgeQuery<'_>),
) -> Result<(), HedgeDenial> {
    let service = service();
    let first = UpstreamId::from("a1");
    let mut query = HedgeQuery {
        share: share(0.05),
        kind: CallKind::Idempotent,
        attempts: sent_once(),
        max_attempts: MAX_ATTEMPTS,
        service: &service,
        first: &first,
        candidate: candidate.map(|(entry, state)| Candidate { entry, state }),
        estimate: LatencyEstimate {
            usual: millis(40),
            delay: millis(80),
        },
        time_left: millis(900),
    };
    change(&mut query);
    try_hedge(state, &query, now).map(drop)
}

/// Guards against settings that would let hedges overload a fleet, and against values that are no numbers.
#[test]
fn a_share_is_a_number_from_0_to_one_fifth() {
    for text in ["0", "0.05", "0.2"] {
        let share: HedgeShare = text.parse().unwrap();
        assert_eq!(share.is_off(), text == "0");
        assert_eq!(share.to_string(), text);
    }
    for text in ["-0.01", "0.21", "5", "NaN", "inf", "", "5%"] {
        let error = text.parse::<HedgeShare>().unwrap_err();
        assert!(error.to_string().ends_with("from 0 to 0.2"), "{error}");
    }
    assert_eq!(share(0.05).quantile(), 0.95);
    assert_eq!(share(0.001).quantile(), 0.99);
}

/// Guards against hedges by chance while little is known, and against latencies of other times, routes and sizes.
#[test]
fn the_latency_is_unknown_without_enough_recent_samples_of_the_route_and_size() {
    let mut state = HedgeState::default();
    let small = SizeClass::of_body(0);
    let share = share(0.05);
    for number in 0..39 {
        state.record_latency(ROUTE, small, millis(20 + number), at(0));
    }
    assert_eq!(state.estimate(ROUTE, small, share, at(0)), None);
    state.record_latency(ROUTE, small, millis(500), at(0));
    let estimate = state.estimate(ROUTE, small, share, at(0)).unwrap();
    assert_eq!((estimate.usual, estimate.delay), (millis(39), millis(57)));
    assert_eq!(
        state.estimate(ROUTE, SizeClass::of_body(100_000), share, at(0)),
        None
    );
    assert_eq!(state.estimate("book", small, share, at(0)), None);
    assert_eq!(state.estimate(ROUTE, small, share, at(61_000)), None);
}

/// Guards against memory that grows with the names of routes over many versions of the settings.
#[test]
fn latencies_are_kept_of_a_bounded_number_of_routes() {
    let mut state = HedgeState::default();
    for number in 0..1_000 {
        let name = format!("r{number}");
        for _ in 0..200 {
            state.record_latency(&name, SizeClass::of_body(0), millis(20), at(number));
        }
    }
    assert_eq!(state.routes(), 64);
    let latest = state.estimate("r999", SizeClass::of_body(0), share(0.05), at(999));
    assert_eq!(latest.unwrap().usual, millis(20));
}

/// Guards against a second run of a request that may run at most once.
#[test]
fn a_request_that_may_run_only_once_is_never_hedged() {
    let mut state = state_with_requests(1_000);
    let upstreams = upstreams(6);
    for kind in [CallKind::NonIdempotent, CallKind::Stream { resumable: false }] {
        let asked = ask(&mut state, Some(&upstreams[1]), at(0), |query| query.kind = kind);
        assert_eq!(asked, Err(HedgeDenial::RunsOnce), "{kind:?}");
    }
    for kind in [CallKind::Idempotent, CallKind::Stream { resumable: true }] {
        let asked = ask(&mut state, Some(&upstreams[1]), at(0), |query| query.kind = kind);
        assert_eq!(asked, Ok(()), "{kind:?}");
    }
}

/// Guards against hedges that are of no use or exceed the route's attempts.
#[test]
fn a_hedge_needs_an_attempt_and_time_for_a_usual_response() {
    let mut state = state_with_requests(1_000);
    let upstreams = upstreams(6);
    let second = Some(&upstreams[1]);
    let asked = ask(&mut state, second, at(0), |query| query.share = HedgeShare::OFF);
    assert_eq!(asked, Err(HedgeDenial::Off));
    let asked = ask(&mut state, second, at(0), |query| query.max_attempts = 1);
    assert_eq!(asked, Err(HedgeDenial::NoAttempts));
    let asked = ask(&mut state, second, at(0), |query| query.time_left = millis(40));
    assert_eq!(asked, Err(HedgeDenial::TooLate));
    let asked = ask(&mut state, Some(&upstreams[0]), at(0), |_| {});
    assert_eq!(asked, Err(HedgeDenial::NoCandidate), "that is the first upstream");
    assert_eq!(
        ask(&mut state, None, at(0), |_| {}),
        Err(HedgeDenial::NoCandidate)
    );
    assert_eq!(ask(&mut state, second, at(0), |_| {}), Ok(()));
}

/// Guards against hedges to an upstream that is failing or refuses requests.
#[test]
fn a_hedge_needs_a_sound_second_upstream() {
    let mut state = state_with_requests(1_000);
    let mut upstreams = upstreams(6);
    upstreams[1].1.record_failure(at(0));
    upstreams[2].1.record_full(at(0));
    let asked = ask(&mut state, Some(&upstreams[1]), at(0), |_| {});
    assert_eq!(asked, Err(HedgeDenial::Busy));
    let asked = ask(&mut state, Some(&upstreams[2]), at(0), |_| {});
    assert_eq!(asked, Err(HedgeDenial::NoCandidate));
}

/// Guards against hedges to a full upstream that looks idle, because its last report is too old to choose by, or that
/// reported no work before others sent it some.
#[test]
fn a_stale_load_report_may_prevent_a_hedge_and_never_permits_one() {
    let mut state = state_with_requests(1_000);
    let mut upstreams = upstreams(6);
    let full = LoadReport {
        running: 3,
        waiting: 0,
        slots: 6,
        slowdown: None,
    };
    upstreams[1].1.record_report(full, at(0));
    let stale = at(1_000);
    assert_eq!(upstreams[1].1.requests(stale), 0, "too old to choose by");
    let asked = ask(&mut state, Some(&upstreams[1]), stale, |_| {});
    assert_eq!(asked, Err(HedgeDenial::Busy));
    let asked = ask(&mut state, Some(&upstreams[1]), at(4_000), |_| {});
    assert_eq!(asked, Ok(()), "as old as this, it says nothing");

    upstreams[2]
        .1
        .record_report(LoadReport { running: 0, ..full }, at(4_000));
    upstreams[2].1.peers.requests = 2;
    upstreams[2].1.own.requests = 1;
    let asked = ask(&mut state, Some(&upstreams[2]), at(4_100), |_| {});
    assert_eq!(
        asked,
        Err(HedgeDenial::Busy),
        "work of other instances since the report"
    );
}

/// Guards against more hedges than the share of own requests in any window, also over the edges of its buckets and after
/// a start.
#[test]
fn hedges_keep_to_the_share_of_own_requests_in_every_window() {
    let upstreams = upstreams(6);
    let asks = |state: &mut HedgeState, now| ask(state, Some(&upstreams[1]), now, |_| {});
    let mut started = HedgeState::default();
    assert_eq!(asks(&mut started, at(0)), Err(HedgeDenial::ShareUsed));

    let mut state = HedgeState::default();
    let (mut requests, mut hedges) = (Vec::new(), Vec::new());
    // A busy minute, a quiet one and a busy one again; every request asks for a hedge.
    let gap = |time| {
        if (60_000..120_000).contains(&time) {
            700
        } else {
            10
        }
    };
    let mut time = 0;
    while time < 180_000 {
        state.count_request(&service(), at(time));
        requests.push(time);
        if asks(&mut state, at(time)).is_ok() {
            hedges.push(time);
        }
        time += gap(time);
    }
    for end in &hedges {
        let within = |times: &[u64]| {
            let times = times.iter();
            times
                .filter(|time| **time <= *end && **time + 60_000 > *end)
                .count()
        };
        assert!(within(&hedges) as f64 <= 0.05 * within(&requests) as f64, "{end}");
    }
    let allowed = 0.05 * requests.len() as f64;
    assert!(hedges.len() as f64 <= allowed);
    assert!(
        hedges.len() as f64 > 0.85 * allowed,
        "{} of {allowed}",
        hedges.len()
    );
}

/// Guards against a share that is used up by hedges that were never sent.
#[test]
fn a_hedge_that_was_not_sent_is_given_back() {
    let mut state = state_with_requests(20);
    let upstreams = upstreams(6);
    let service = service();
    let first = UpstreamId::from("a1");
    let query = HedgeQuery {
        share: share(0.05),
        kind: CallKind::Idempotent,
        attempts: sent_once(),
        max_attempts: MAX_ATTEMPTS,
        service: &service,
        first: &first,
        candidate: Some(Candidate {
            entry: &upstreams[1].0,
            state: &upstreams[1].1,
        }),
        estimate: LatencyEstimate {
            usual: millis(40),
            delay: millis(80),
        },
        time_left: millis(900),
    };
    let grant = try_hedge(&mut state, &query, at(0)).unwrap();
    assert_eq!(
        try_hedge(&mut state, &query, at(0)).unwrap_err(),
        HedgeDenial::ShareUsed
    );
    state.release(&service, grant);
    assert!(try_hedge(&mut state, &query, at(0)).is_ok());
}

/// Guards against a second attempt without a retry from the budget, and against a third one.
#[test]
fn a_hedge_takes_an_attempt_and_a_retry() {
    let mut attempts = sent_once();
    let refused = attempts.permit(SendPhase::Run, CallKind::Idempotent, MAX_ATTEMPTS, || false);
    assert!(refused.is_none());
    let mut retries = 0;
    let permit = attempts.permit(SendPhase::Run, CallKind::Idempotent, MAX_ATTEMPTS, || {
        retries += 1;
        true
    });
    assert!(permit.is_some());
    assert_eq!((attempts.sent(), retries), (2, 1));
    assert!(!attempts.may_send(CallKind::Idempotent, MAX_ATTEMPTS));
}

/// Guards against hedges that add load when the upstreams can't keep up, and against a few requests at an idle service
/// that counted as a growing queue.
#[test]
fn growing_queues_prevent_hedges() {
    let upstreams = upstreams(6);
    let loads = |before: u32, recent: u32| {
        let mut state = state_with_requests(1_000);
        for time in (0..2_500).step_by(100) {
            let requests = if time > 2_000 { recent } else { before };
            state.record_load(&service(), ServiceLoad { requests, slots: 18 }, at(time));
        }
        ask(&mut state, Some(&upstreams[1]), at(2_450), |_| {})
    };
    assert_eq!(loads(6, 6), Ok(()));
    assert_eq!(loads(6, 7), Ok(()));
    assert_eq!(loads(6, 3), Ok(()));
    assert_eq!(loads(0, 3), Ok(()));
    assert_eq!(loads(6, 12), Err(HedgeDenial::QueuesGrow));
}

/// An attempt of the simulated instance.
struct SimAttempt {
    request: usize,
    upstream: usize,
    started: u64,
    ends: u64,
    is_first: bool,
}

/// Result of a simulation.
#[derive(Debug, Default)]
struct SimResult {
    requests: usize,
    hedges: usize,
    /// Requests that took longer than the latency target.
    late: usize,
    /// Requests that were answered more than once or never.
    miscounted: usize,
    denials: FastMap<&'static str, usize>,
    /// Time at which each hedge was sent.
    hedge_times: Vec<u64>,
}

/// One instance in front of three upstreams, in steps of a millisecond.
struct Simulation<'a> {
    share: HedgeShare,
    /// Factor of the time that work takes at an upstream, by time.
    slowdown: &'a dyn Fn(usize, u64) -> f64,
    /// True if upstreams go on with cancelled attempts and report them as running.
    loses_cancellations: bool,
}

/// Length of a simulation.
const SIM_MS: u64 = 60_000;

/// Time between two requests: 100 per second.
const SIM_GAP_MS: u64 = 10;

/// Latency target of the simulated route, twice the longest usual latency.
const SIM_TARGET: Duration = Duration::from_millis(120);

impl Simulation<'_> {
    fn run(&self) -> SimResult {
        let mut upstreams = upstreams(12);
        let data_centre = DataCentre::from("a");
        let (service, class) = (service(), SizeClass::of_body(0));
        let mut state = HedgeState::default();
        let mut running: Vec<SimAttempt> = Vec::new();
        let mut lost: Vec<SimAttempt> = Vec::new();
        let mut due: Vec<Option<(u64, LatencyEstimate)>> = Vec::new();
        let mut arrivals: Vec<u64> = Vec::new();
        let mut answers: Vec<usize> = Vec::new();
        let mut result = SimResult::default();
        let work = |request: usize, upstream: usize, time: u64| {
            let usual = 15 + (request * 7_919) % 45;
            time + (usual as f64 * (self.slowdown)(upstream, time)) as u64
        };
        for time in 0..SIM_MS + 2_000 {
            let now = at(time);
            lost.retain(|attempt| attempt.ends > time);
            while let Some(place) = running.iter().position(|attempt| attempt.ends <= time) {
                let won = running.remove(place);
                answers[won.request] += 1;
                due[won.request] = None;
                upstreams[won.upstream].1.own.requests -= 1;
                upstreams[won.upstream].1.record_success(now);
                let at_upstream = running
                    .iter()
                    .chain(&lost)
                    .filter(|attempt| attempt.upstream == won.upstream);
                let report = LoadReport {
                    running: at_upstream.count() as u32,
                    waiting: 0,
                    slots: 12,
                    slowdown: None,
                };
                upstreams[won.upstream].1.record_report(report, now);
                let loser = running.iter().position(|attempt| attempt.request == won.request);
                let loser = loser.map(|place| running.remove(place));
                let first_started = arrivals[won.request];
                result.late += usize::from(millis(time - first_started) > SIM_TARGET);
                if won.is_first || loser.is_some() {
                    state.record_latency(ROUTE, class, millis(time - first_started), now);
                }
                if let Some(loser) = loser {
                    upstreams[loser.upstream].1.own.requests -= 1;
                    assert!(loser.started < time);
                    lost.extend(self.loses_cancellations.then_some(loser));
                }
            }
            let load = ServiceLoad {
                requests: upstreams.iter().map(|(_, upstream)| upstream.requests(now)).sum(),
                slots: 36,
            };
            if state.is_load_due(&service, now) {
                state.record_load(&service, load, now);
            }
            let starts = time % SIM_GAP_MS == 0 && time < SIM_MS;
            let hedged: Vec<usize> = (0..due.len())
                .filter(|request| due[*request].is_some_and(|(at, _)| at <= time))
                .collect();
            let new = starts.then_some(arrivals.len());
            for request in hedged.into_iter().chain(new) {
                let is_first = Some(request) == new;
                let first = running.iter().find(|attempt| attempt.request == request);
                let first = first.map(|attempt| attempt.upstream);
                let candidates = upstreams.iter().enumerate();
                let candidates = candidates.filter(|(place, _)| Some(*place) != first);
                let candidates = candidates.map(|(_, (entry, state))| Candidate { entry, state });
                let candidates: Vec<Candidate<'_>> = candidates.collect();
                let context = ChoiceContext {
                    data_centre: &data_centre,
                    now,
                };
                let picked = pick_plain(&candidates, context, request as u64)
                    .unwrap()
                    .id
                    .clone();
                let upstream = upstreams
                    .iter()
                    .position(|(entry, _)| entry.id == picked)
                    .unwrap();
                if is_first {
                    state.count_request(&service, now);
                    arrivals.push(time);
                    answers.push(0);
                    let estimate = state.estimate(ROUTE, class, self.share, now);
                    due.push(
                        estimate.map(|estimate| (time + estimate.delay.as_millis() as u64 + 1, estimate)),
                    );
                } else {
                    let (_, estimate) = due[request].take().unwrap();
                    let query = HedgeQuery {
                        share: self.share,
                        kind: CallKind::Idempotent,
                        attempts: sent_once(),
                        max_attempts: MAX_ATTEMPTS,
                        service: &service,
                        first: &upstreams[first.unwrap()].0.id,
                        candidate: Some(Candidate {
                            entry: &upstreams[upstream].0,
                            state: &upstreams[upstream].1,
                        }),
                        estimate,
                        time_left: millis(1_000),
                    };
                    if let Err(denial) = try_hedge(&mut state, &query, now) {
                        *result.denials.entry(denial.as_str()).or_default() += 1;
                        continue;
                    }
                    result.hedges += 1;
                    result.hedge_times.push(time);
                }
                upstreams[upstream].1.own.requests += 1;
                running.push(SimAttempt {
                    request,
                    upstream,
                    started: time,
                    ends: work(request, upstream, time),
                    is_first,
                });
            }
        }
        result.requests = arrivals.len();
        result.miscounted = answers.iter().filter(|answers| **answers != 1).count();
        let left: u32 = upstreams.iter().map(|(_, upstream)| upstream.own.requests).sum();
        assert_eq!(left, 0, "cancelled attempts are no longer counted as work");
        result
    }
}

/// Makes one upstream ten times as slow for 300 ms, each of the three in turn and every two seconds.
fn one_slow(upstream: usize, time: u64) -> f64 {
    let is_slow = time % 2_000 < 300 && (time / 2_000) % 3 == upstream as u64;
    if is_slow { 10.0 } else { 1.0 }
}

/// Guards against hedges without effect: with one slow upstream, they must remove most of the late responses.
#[test]
fn with_one_slow_upstream_hedges_remove_most_of_the_late_responses() {
    let simulate = |share| {
        Simulation {
            share,
            slowdown: &one_slow,
            loses_cancellations: false,
        }
        .run()
    };
    let (without, with) = (simulate(HedgeShare::OFF), simulate(share(0.05)));
    assert_eq!(without.hedges, 0);
    assert!(without.late * 100 > without.requests, "p99 is late: {without:?}");
    assert!(with.late * 4 < without.late, "{with:?} {without:?}");
    assert!(with.hedges as f64 <= 0.05 * with.requests as f64, "{with:?}");
    assert_eq!(with.miscounted, 0);
}

/// Guards against hedges as a multiplier of load: if all upstreams are slow, second attempts help nobody.
#[test]
fn with_all_upstreams_slow_hedges_stop_soon() {
    let slow_from = 30_000;
    let slowdown = |_: usize, time: u64| if time >= slow_from { 4.0 } else { 1.0 };
    let result = Simulation {
        share: share(0.05),
        slowdown: &slowdown,
        loses_cancellations: false,
    }
    .run();
    let within = |from: u64, to: u64| {
        let times = result.hedge_times.iter();
        times.filter(|time| (from..to).contains(time)).count()
    };
    assert!(result.denials["queues_grow"] > 0, "{result:?}");
    // 200 requests arrive in the first two seconds; the slowest twentieth of them may be hedged as before.
    assert!(within(slow_from, slow_from + 2_000) <= 10, "{result:?}");
    assert!(
        result.hedges as f64 <= 0.05 * result.requests as f64,
        "{result:?}"
    );
    assert_eq!(result.miscounted, 0);
}

/// Guards against work that piles up where cancellations are lost: it is bounded by the share, and seen in the reports.
#[test]
fn lost_cancellations_add_no_more_than_the_share() {
    let result = Simulation {
        share: share(0.05),
        slowdown: &one_slow,
        loses_cancellations: true,
    }
    .run();
    assert!(result.hedges > 0, "{result:?}");
    assert!(
        result.hedges as f64 <= 0.05 * result.requests as f64,
        "{result:?}"
    );
    assert_eq!(result.miscounted, 0);

    // An upstream that still runs what was cancelled here has no room, although this instance has nothing there.
    let mut state = state_with_requests(1_000);
    let mut upstreams = upstreams(6);
    let report = LoadReport {
        running: 4,
        waiting: 0,
        slots: 6,
        slowdown: None,
    };
    upstreams[1].1.record_report(report, at(0));
    let asked = ask(&mut state, Some(&upstreams[1]), at(2_000), |_| {});
    assert_eq!(asked, Err(HedgeDenial::Busy));
}

/// Guards against a quantile that sinks with every hedge, because only fast first attempts are counted, until most
/// requests are hedged.
#[test]
fn the_time_of_cancelled_attempts_keeps_the_quantile_up() {
    let class = SizeClass::of_body(0);
    let share = share(0.05);
    let mut state = HedgeState::default();
    let mut delays = Vec::new();
    for number in 0..2_000_u64 {
        let latency = millis(20 + (number * 7_919) % 100);
        let delay = state
            .estimate(ROUTE, class, share, at(number))
            .map(|estimate| estimate.delay);
        let recorded = latency.min(delay.unwrap_or(latency) + millis(1));
        state.record_latency(ROUTE, class, recorded, at(number));
        delays.extend(delay);
    }
    let last = delays.last().unwrap();
    assert!(*last >= millis(100), "{last:?}");
}
