//! Tests of capacity that follows the load.
//!
//! Load pattern: work that fits on a part of the upstreams that serve at the start, begins 14 s later, swings by up to
//! half within 11 to 17 s and has bursts of twice the usual load. Upstreams take 4 s to start.

use std::collections::VecDeque;
use std::f64::consts::TAU;

use super::*;
use crate::gateway::admission::PrefillRate;
use crate::gateway::capacity::{CapacityChange, CapacityPlanner, ServingCounts};
use crate::gateway::demand::{
    CapacityHeadroom, DemandPlanner, DemandView, EngineWork, LoadSample, LoadScale, has_most_reports,
};
use crate::gateway::route::ScalingRule;
use crate::gateway::state::WorkInFlight;

/// Time between two plans, as at the holder of the duties.
const TICK_MS: u64 = 300;

/// Time until an ordered upstream serves.
const BOOT_MS: u64 = 4_000;

/// Time from the start of the fleet until traffic begins.
const TRAFFIC_MS: u64 = 14_000;

const CENTRES: [&str; 3] = ["a", "b", "c"];

fn headroom() -> CapacityHeadroom {
    "2".parse().unwrap()
}

fn rule() -> ScalingRule {
    ScalingRule {
        min: 1,
        max: 40,
        boot: millis(BOOT_MS),
        spot_price: Some(0.18),
        prices: [("a", 1.0), ("b", 0.8), ("c", 1.25)]
            .into_iter()
            .map(|(name, price)| (DataCentre::from(name), price))
            .collect(),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Upstreams {
    serving: u32,
    target: u32,
}

/// A platform that carries out orders, and the holder that plans them.
struct Site {
    rule: ScalingRule,
    planner: DemandPlanner,
    /// Upstreams by data centre and whether they are spot ones.
    upstreams: FastMap<(DataCentre, bool), Upstreams>,
    /// Upstreams that start to serve at a time.
    starting: VecDeque<(u64, DataCentre, bool)>,
    /// Orders that are carried out at a time.
    orders: VecDeque<(u64, CapacityChange)>,
    order_delay_ms: u64,
    drops_orders: bool,
    is_complete: bool,
    silent: FastSet<DataCentre>,
    without_spot: FastSet<DataCentre>,
    now_ms: u64,
    /// All orders made, with their time.
    log: Vec<(u64, CapacityChange)>,
    /// Serving upstreams of all data centres at each tick.
    history: Vec<(u64, u32)>,
}

impl Site {
    fn new(on_demand: u32) -> Self {
        let upstreams = CENTRES
            .iter()
            .map(|name| {
                let upstreams = Upstreams {
                    serving: on_demand,
                    target: on_demand,
                };
                ((DataCentre::from(*name), false), upstreams)
            })
            .collect();
        Self {
            rule: rule(),
            planner: DemandPlanner::default(),
            upstreams,
            starting: VecDeque::new(),
            orders: VecDeque::new(),
            order_delay_ms: 0,
            drops_orders: false,
            is_complete: true,
            silent: FastSet::default(),
            without_spot: FastSet::default(),
            now_ms: 0,
            log: Vec::new(),
            history: Vec::new(),
        }
    }

    fn count(&self, name: &str, is_spot: bool) -> u32 {
        self.upstreams
            .get(&(DataCentre::from(name), is_spot))
            .map_or(0, |upstreams| upstreams.serving)
    }

    fn centre_total(&self, name: &str) -> u32 {
        self.count(name, false) + self.count(name, true)
    }

    fn total(&self) -> u32 {
        CENTRES.iter().map(|name| self.centre_total(name)).sum()
    }

    fn cost(&self) -> f64 {
        CENTRES
            .iter()
            .map(|name| f64::from(self.count(name, false)) + 0.18 * f64::from(self.count(name, true)))
            .sum()
    }

    /// Advances to `until_ms` under a load in engines of each data centre.
    fn run(&mut self, until_ms: u64, load: impl Fn(u64, &str) -> f64) {
        while self.now_ms < until_ms {
            self.now_ms += TICK_MS;
            self.apply();
            let samples: FastMap<DataCentre, LoadSample> = CENTRES
                .iter()
                .filter(|name| !self.silent.contains(**name))
                .map(|name| {
                    let engines = load(self.now_ms, name);
                    let sample = LoadSample {
                        decode: engines,
                        requests: (engines * 28.0) as u32,
                        ..LoadSample::default()
                    };
                    (DataCentre::from(*name), sample)
                })
                .collect();
            let changes = self.plan(&samples);
            for change in changes {
                self.log.push((self.now_ms, change.clone()));
                if !self.drops_orders {
                    self.orders.push_back((self.now_ms + self.order_delay_ms, change));
                }
            }
            self.history.push((self.now_ms, self.total()));
        }
    }

    fn plan(&mut self, load: &FastMap<DataCentre, LoadSample>) -> Vec<CapacityChange> {
        let mut serving: FastMap<DataCentre, ServingCounts> = FastMap::default();
        for ((name, is_spot), upstreams) in &self.upstreams {
            if upstreams.serving == 0 {
                continue;
            }
            let counts = serving.entry(name.clone()).or_default();
            if *is_spot {
                counts.spot = upstreams.serving;
            } else {
                counts.on_demand = upstreams.serving;
            }
        }
        let reporting: FastSet<DataCentre> = CENTRES
            .iter()
            .filter(|name| !self.silent.contains(**name))
            .map(|name| DataCentre::from(*name))
            .collect();
        let view = DemandView {
            serving: &serving,
            load,
            reporting: &reporting,
            is_complete: self.is_complete,
        };
        self.planner.plan(&self.rule, headroom(), &view, at(self.now_ms))
    }

    fn apply(&mut self) {
        while let Some((_, change)) = self.orders.pop_front_if(|(due, _)| *due <= self.now_ms) {
            let key = (change.data_centre.clone(), change.is_spot);
            if change.is_spot && self.without_spot.contains(&change.data_centre) {
                continue;
            }
            let is_same = |(_, name, is_spot): &&(u64, DataCentre, bool)| (name, *is_spot) == (&key.0, key.1);
            let starting = self.starting.iter().filter(is_same).count() as u32;
            let upstreams = self.upstreams.entry(key.clone()).or_default();
            upstreams.target = change.count;
            upstreams.serving = upstreams.serving.min(change.count);
            for _ in upstreams.serving + starting..change.count {
                self.starting
                    .push_back((self.now_ms + BOOT_MS, key.0.clone(), key.1));
            }
        }
        self.starting.retain(|(due, name, is_spot)| {
            let is_due = *due <= self.now_ms;
            if is_due && let Some(upstreams) = self.upstreams.get_mut(&(name.clone(), *is_spot)) {
                upstreams.serving = upstreams.target.min(upstreams.serving + 1);
            }
            !is_due
        });
    }

    fn reclaim_spot(&mut self, name: &str) {
        if let Some(upstreams) = self.upstreams.get_mut(&(DataCentre::from(name), true)) {
            upstreams.serving = 0;
        }
    }

    /// Least serving upstreams in a time.
    fn least_total(&self, from_ms: u64, until_ms: u64) -> u32 {
        let totals = self
            .history
            .iter()
            .filter(|(time, _)| (from_ms..until_ms).contains(time));
        totals.map(|(_, total)| *total).min().unwrap()
    }

    fn change_holder(&mut self) {
        self.planner = DemandPlanner::default();
    }

    fn wanted(&self) -> Vec<(String, u32)> {
        let mut wanted: Vec<(String, u32)> = self
            .planner
            .figures()
            .map(|(name, figures)| (name.to_string(), figures.wanted))
            .collect();
        wanted.sort();
        wanted
    }
}

fn steady(engines: f64) -> impl Fn(u64, &str) -> f64 {
    move |time, _| if time < TRAFFIC_MS { 0.0 } else { engines }
}

fn swing(mean: f64, share: f64, period_ms: u64) -> impl Fn(u64, &str) -> f64 {
    move |time, name| {
        if time < TRAFFIC_MS {
            return 0.0;
        }
        let phase = CENTRES.iter().position(|other| *other == name).unwrap() as f64 / 3.0;
        mean * (1.0 + share * (TAU * (time as f64 / period_ms as f64 + phase)).sin())
    }
}

#[test]
fn before_traffic_spot_upstreams_replace_on_demand_ones_without_less_capacity() {
    let mut site = Site::new(20);
    site.run(TRAFFIC_MS, steady(3.0));
    assert!(site.least_total(0, TRAFFIC_MS) >= 60, "{:?}", site.history);
    for name in CENTRES {
        assert_eq!(
            (site.count(name, false), site.count(name, true)),
            (5, 15),
            "{name}"
        );
    }
    assert!(
        site.log.iter().all(|(_, change)| change.count <= 20),
        "no spot upstreams beyond those that serve at the start: {:?}",
        site.log
    );
}

#[test]
fn steady_low_load_shrinks_capacity_in_steps_after_observation() {
    let mut site = Site::new(20);
    site.run(TRAFFIC_MS, steady(3.0));
    let before = site.total();
    site.run(TRAFFIC_MS + 5_700, steady(3.0));
    assert_eq!(site.total(), before, "not observed for long enough");
    site.run(60_000, steady(3.0));
    let after = site.total();
    assert!(after <= 40, "still {after} upstreams");
    for pair in site.history.windows(2) {
        let [(_, earlier), (time, later)] = pair else {
            unreachable!()
        };
        if *time > TRAFFIC_MS {
            let removed = earlier.saturating_sub(*later);
            assert!(removed <= earlier / 8 + 1, "{earlier} to {later} at {time}");
        }
    }
    site.run(200_000, steady(3.0));
    assert!(
        site.total() >= 18,
        "twice the load of 9 engines: {}",
        site.total()
    );
    assert!(
        CENTRES.iter().all(|name| site.count(name, false) >= 1),
        "no data centre shrinks to zero"
    );
}

#[test]
fn swings_by_half_leave_capacity_for_their_peaks_and_no_oscillation() {
    for period in [11_000, 14_000, 17_000] {
        let mut site = Site::new(20);
        site.run(600_000, swing(5.0, 0.5, period));
        let least = site.least_total(TRAFFIC_MS, 600_000);
        assert!(least >= 23, "{least} upstreams for peaks of 7.5 engines");
        let late: Vec<&(u64, CapacityChange)> = site.log.iter().filter(|(time, _)| *time > 200_000).collect();
        assert!(late.len() <= 6, "orders in a steady state: {late:?}");
        for name in CENTRES {
            assert!(
                f64::from(site.centre_total(name)) >= 1.7 * 7.5,
                "{name} serves its own peaks with headroom, less what averaging takes off them"
            );
        }
    }
}

#[test]
fn a_burst_after_quiet_grows_capacity_at_once() {
    let mut site = Site::new(20);
    site.run(150_000, steady(3.0));
    let before = site.total();
    let burst = |time: u64, _: &str| if time > 150_000 { 9.0 } else { 3.0 };
    site.run(152_000, burst);
    let ordered: u32 = site.wanted().iter().map(|(_, wanted)| wanted).sum();
    assert!(
        ordered >= 36,
        "{ordered} wanted two seconds after a burst, {before} before"
    );
    site.run(158_000, burst);
    assert!(
        site.total() >= 36,
        "{} serve after the time to start",
        site.total()
    );
}

#[test]
fn losing_the_spot_upstreams_of_a_data_centre_leaves_enough_elsewhere() {
    let mut site = Site::new(20);
    site.run(300_000, steady(6.0));
    site.reclaim_spot("b");
    let left = site.total();
    assert!(left >= 18, "{left} upstreams for 18 engines");
    let lost_at = site.now_ms;
    site.run(lost_at + 900, steady(6.0));
    let ordered = site
        .log
        .iter()
        .filter(|(time, change)| *time >= lost_at && change.data_centre.as_str() == "b");
    let ordered: Vec<bool> = ordered.map(|(_, change)| change.is_spot).collect();
    assert!(
        ordered.contains(&true) && ordered.contains(&false),
        "both kinds are ordered: {ordered:?}"
    );
    site.run(lost_at + 10_000, steady(6.0));
    assert!(site.centre_total("b") >= 12);
    assert!(
        site.least_total(lost_at, lost_at + 10_000) >= left,
        "nothing is removed while upstreams are lost"
    );
}

#[test]
fn a_data_centre_without_spot_capacity_keeps_on_demand_upstreams_for_its_load() {
    let mut site = Site::new(20);
    site.without_spot.insert(DataCentre::from("c"));
    site.run(TRAFFIC_MS, steady(4.0));
    assert_eq!(site.count("c", false), 20, "nothing replaces them");
    site.run(300_000, steady(4.0));
    let on_demand = site.count("c", false);
    assert!(
        (4..=10).contains(&on_demand),
        "{on_demand} upstreams for 4 engines"
    );
}

#[test]
fn a_successor_orders_nothing_smaller_until_it_has_observed() {
    let mut site = Site::new(20);
    let load = swing(5.0, 0.5, 14_000);
    site.run(40_000, &load);
    for _ in 0..4 {
        let before = site.total();
        let taken_at = site.now_ms;
        site.change_holder();
        site.run(taken_at + 6_000, &load);
        assert!(
            site.least_total(taken_at, taken_at + 6_000) >= before,
            "shrunk by a new holder"
        );
    }
    let before_end = site.now_ms;
    site.run(before_end + 300_000, &load);
    assert!(site.total() <= 54, "it shrinks later: {}", site.total());
}

#[test]
fn a_successor_restores_what_was_lost_while_nobody_held_the_duties() {
    let mut site = Site::new(20);
    site.run(TRAFFIC_MS, steady(5.0));
    site.reclaim_spot("a");
    site.change_holder();
    site.run(TRAFFIC_MS + 9_000, steady(5.0));
    assert!(site.centre_total("a") >= 15, "{}", site.centre_total("a"));
}

#[test]
fn missing_reports_count_as_unchanged_load() {
    let mut site = Site::new(20);
    site.run(30_000, steady(6.0));
    let before = site.total();
    site.is_complete = false;
    site.run(90_000, |_, _| 0.5);
    assert_eq!(site.total(), before, "nothing is removed on part of the reports");
    site.run(100_000, |_, _| 14.0);
    assert!(site.total() >= 84, "growth needs no complete reports");
}

#[test]
fn a_data_centre_that_does_not_report_keeps_its_capacity() {
    let mut site = Site::new(20);
    site.run(30_000, steady(6.0));
    let before = site.centre_total("b");
    site.silent.insert(DataCentre::from("b"));
    site.run(120_000, steady(6.0));
    assert_eq!(site.centre_total("b"), before);
}

#[test]
fn nothing_more_is_removed_while_orders_have_no_effect() {
    let mut site = Site::new(20);
    site.run(TRAFFIC_MS, steady(3.0));
    site.drops_orders = true;
    site.run(120_000, steady(3.0));
    let wanted: u32 = site.wanted().iter().map(|(_, wanted)| wanted).sum();
    assert!(wanted >= 54, "one step at most: {:?}", site.wanted());
    let shrinking = site
        .log
        .iter()
        .filter(|(time, _)| *time > TRAFFIC_MS)
        .map(|(time, _)| *time)
        .collect::<Vec<_>>();
    assert!(shrinking.len() <= 90, "{} repeated orders", shrinking.len());
}

#[test]
fn late_orders_do_not_add_up() {
    let mut site = Site::new(20);
    site.order_delay_ms = 7_000;
    site.run(TRAFFIC_MS + 60_000, swing(5.0, 0.5, 14_000));
    for pair in site.history.windows(2) {
        let [(_, earlier), (time, later)] = pair else {
            unreachable!()
        };
        let removed = earlier.saturating_sub(*later);
        assert!(
            *time < TRAFFIC_MS || removed <= earlier / 8 + 1,
            "{earlier} to {later} at {time}"
        );
    }
    assert!(site.least_total(0, site.now_ms) >= 30);
}

#[test]
fn loads_beyond_a_data_centre_are_served_where_it_is_cheapest() {
    let mut site = Site::new(20);
    let load = |time: u64, name: &str| match name {
        _ if time < TRAFFIC_MS => 0.0,
        "c" => 25.0,
        _ => 4.0,
    };
    site.run(40_000, load);
    let wanted: FastMap<String, u32> = site.wanted().into_iter().collect();
    assert_eq!(wanted["c"], 40, "no more than the maximum");
    assert!(
        wanted["b"] > wanted["a"],
        "the rest goes where prices are lowest: {wanted:?}"
    );
}

#[test]
fn a_data_centre_without_upstreams_orders_none() {
    let mut site = Site::new(20);
    site.upstreams.remove(&(DataCentre::from("c"), false));
    site.run(60_000, steady(6.0));
    assert!(
        site.log
            .iter()
            .all(|(_, change)| change.data_centre.as_str() != "c")
    );
    assert!(
        site.total() >= 36,
        "its load is served by the others: {}",
        site.total()
    );
}

#[test]
fn on_demand_upstreams_follow_the_load_where_spot_capacity_is_expensive() {
    let mut site = Site::new(20);
    site.rule.spot_price = Some(0.9);
    site.run(TRAFFIC_MS, steady(3.0));
    assert!(site.log.is_empty(), "{:?}", site.log);
    site.run(60_000, steady(3.0));
    assert!((18..=42).contains(&site.total()), "{}", site.total());
    assert!(site.log.iter().all(|(_, change)| !change.is_spot));
}

#[test]
fn cost_of_a_short_day_is_below_that_without_headroom() {
    let load = swing(5.0, 0.5, 14_000);
    let mut site = Site::new(20);
    let mut cost = 0.0;
    while site.now_ms < 60_000 {
        site.run(site.now_ms + TICK_MS, &load);
        cost += site.cost();
    }
    let mut fixed = Site::new(20);
    let mut planner = CapacityPlanner::default();
    let mut fixed_cost = 0.0;
    while fixed.now_ms < 60_000 {
        fixed.now_ms += TICK_MS;
        fixed.apply();
        let mut serving: FastMap<DataCentre, ServingCounts> = FastMap::default();
        for name in CENTRES {
            let counts = ServingCounts {
                on_demand: fixed.count(name, false),
                spot: fixed.count(name, true),
            };
            serving.insert(DataCentre::from(name), counts);
        }
        for change in planner.plan(&fixed.rule, &serving, at(fixed.now_ms)) {
            fixed.orders.push_back((fixed.now_ms, change));
        }
        fixed_cost += fixed.cost();
    }
    assert!(cost < 0.75 * fixed_cost, "{cost} against {fixed_cost}");
}

/// Guards against a change of what is ordered without a headroom: random numbers of serving upstreams, some of them lost
/// at once, some data centres unknown at first.
#[test]
fn without_headroom_orders_are_those_of_the_scaling_rule() {
    let mut random = 0x9e37_79b9_7f4a_7c15_u64;
    let mut next = move |below: u32| {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        (random % u64::from(below)) as u32
    };
    let mut orders = 0;
    for _ in 0..50 {
        let mut rule = rule();
        rule.max = 1 + next(60);
        rule.min = next(3);
        rule.spot_price = [Some(0.18), Some(0.6), None][next(3) as usize];
        let mut planner = DemandPlanner::default();
        let mut reference = CapacityPlanner::default();
        for tick in 0..300 {
            let mut serving: FastMap<DataCentre, ServingCounts> = FastMap::default();
            for name in CENTRES {
                let counts = ServingCounts {
                    on_demand: next(21),
                    spot: if tick / 40 % 3 == 2 { 0 } else { 8 + next(33) },
                };
                if next(10) > 0 {
                    serving.insert(DataCentre::from(name), counts);
                }
            }
            let load = [(DataCentre::from("a"), LoadSample::default())]
                .into_iter()
                .collect();
            let view = DemandView {
                serving: &serving,
                load: &load,
                reporting: &FastSet::default(),
                is_complete: next(2) == 0,
            };
            let now = at(tick * TICK_MS);
            let changes = planner.plan(&rule, CapacityHeadroom::default(), &view, now);
            assert_eq!(changes, reference.plan(&rule, &serving, now));
            orders += changes.len();
        }
    }
    assert!(orders > 1_000, "{orders} orders");
}

fn work(requests: u32, prefill_tokens: u64, waiting_tokens: u64) -> WorkInFlight {
    WorkInFlight {
        requests,
        prefill_tokens,
        waiting_tokens,
    }
}

#[test]
fn load_is_measured_by_data_centre_of_the_reporting_instances() {
    let (a, b) = (DataCentre::from("a"), DataCentre::from("b"));
    let prefill = entry("p", "a", UpstreamRole::Prefill);
    let decode = entry("d", "a", UpstreamRole::Decode);
    let mut prefill_rate = PrefillRate::default();
    prefill_rate.record(10_000, millis(100), 1);
    let scale = LoadScale {
        prefill_rate,
        target_latency: millis(400),
        is_engine: true,
    };
    let works = [
        EngineWork {
            origin: &a,
            entry: &prefill,
            work: work(1, 1_000, 0),
        },
        EngineWork {
            origin: &b,
            entry: &prefill,
            work: work(1, 3_000, 17_000),
        },
        EngineWork {
            origin: &a,
            entry: &decode,
            work: work(14, 0, 0),
        },
    ];
    let load = scale.sample(&works);
    assert_eq!((load[&a].prefill, load[&b].prefill), (0.25, 0.75));
    assert_eq!((load[&a].decode, load[&b].decode), (0.5, 0.0));
    assert!(
        (load[&b].backlog - 2.0).abs() < 1e-6,
        "200 ms of backlog against 100 ms that are acceptable: {load:?}"
    );
    assert!(
        (load[&b].engines() - 0.75 * 1.5).abs() < 1e-6,
        "a backlog counts as no more than 1.5 times the engines that prefill: {load:?}"
    );
    let plain = LoadScale {
        is_engine: false,
        ..scale
    };
    assert!(
        (plain.sample(&works)[&a].decode - 14.0 / 64.0).abs() < 1e-6,
        "slots count"
    );
}

#[test]
fn a_few_missing_reports_show_most_of_the_load() {
    assert!(has_most_reports(5, 6));
    assert!(!has_most_reports(4, 6));
    assert!(has_most_reports(69, 76));
    assert!(!has_most_reports(60, 76));
}

#[test]
fn headrooms_out_of_range_are_refused() {
    for text in ["0", "1.2", "2", "10"] {
        let headroom: CapacityHeadroom = text.parse().unwrap();
        assert_eq!(headroom.to_string(), text);
        assert_eq!(headroom.factor().is_some(), text != "0");
    }
    for text in ["", "1", "1.19", "-2", "10.1", "nan", "inf", "x"] {
        let refused = text.parse::<CapacityHeadroom>().unwrap_err();
        assert_eq!(refused.to_string(), "must be 0 or a number from 1.2 to 10");
    }
}
