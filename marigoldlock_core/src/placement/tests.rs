//! Tests of placement.

use std::time::Duration;

use marigoldlock_wire::engine::{EngineAction, EngineRole};
use marigoldlock_wire::platform::{CapacityKind, OrderAction};

use crate::prelude::*;

use super::*;

const DATA_CENTRES: [&str; 3] = ["pest-a", "pest-b", "pest-c"];

/// A service whose engines execute orders at once, except for the time that a role change takes.
struct Fleet {
    service: ServiceId,
    data_centres: Vec<DataCentre>,
    engines: Vec<EngineView>,
    unavailable_until: FastMap<UpstreamId, MonoTime>,
    started: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut fleet = Self {
            service: "copydesk-llm".into(),
            data_centres: DATA_CENTRES.map(DataCentre::from).to_vec(),
            engines: Vec::new(),
            unavailable_until: FastMap::default(),
            started: 0,
        };
        for number in 0..count {
            fleet.start(
                DATA_CENTRES[number % DATA_CENTRES.len()].into(),
                CapacityKind::Steady,
            );
        }
        fleet
    }

    fn start(&mut self, data_centre: DataCentre, capacity: CapacityKind) {
        self.started += 1;
        self.engines.push(EngineView {
            id: format!("runner-{:02}", self.started).into(),
            data_centre,
            capacity,
            role: EngineRole::Mixed,
            ordered_role: None,
            changing: false,
            leaving: false,
            in_flight: 0,
            models: Vec::new(),
        });
    }

    fn plan(
        &self,
        policy: &mut dyn PlacementPolicy,
        index: usize,
        demand: DemandSample,
        now: MonoTime,
    ) -> Vec<PlacementOrder> {
        let view = FleetView {
            service: &self.service,
            engines: &self.engines,
            data_centre: &self.data_centres[index],
            data_centres: &self.data_centres,
            demand,
            models: &[],
        };
        policy.plan(&view, now)
    }

    /// Plans for every data centre, applies the orders and returns them.
    fn step(
        &mut self,
        policy: &mut dyn PlacementPolicy,
        demand: DemandSample,
        now: MonoTime,
    ) -> Vec<PlacementOrder> {
        for engine in &mut self.engines {
            engine.changing = self
                .unavailable_until
                .get(&engine.id)
                .is_some_and(|until| now < *until);
        }
        let mut all = Vec::new();
        for index in 0..self.data_centres.len() {
            let orders = self.plan(policy, index, demand, now);
            for order in &orders {
                self.apply(order, now);
            }
            all.extend(orders);
        }
        all
    }

    fn apply(&mut self, order: &PlacementOrder, now: MonoTime) {
        match &order.action {
            PlacementAction::Engine {
                upstream,
                action: EngineAction::SetRole(role),
            } => {
                let engine = self
                    .engines
                    .iter_mut()
                    .find(|engine| engine.id == *upstream)
                    .unwrap();
                assert_eq!(engine.in_flight, 0, "drained before the change");
                engine.role = *role;
                engine.changing = true;
                self.unavailable_until
                    .insert(upstream.clone(), now + Duration::from_secs(5));
            }
            PlacementAction::Engine { .. } => {}
            PlacementAction::Platform {
                action: OrderAction::Start { capacity },
            } => {
                self.start(order.data_centre.clone(), *capacity);
            }
            PlacementAction::Platform {
                action: OrderAction::Withdraw { upstream },
            } => {
                self.engines.retain(|engine| engine.id != *upstream);
            }
        }
    }

    fn mix(&self) -> RoleMix {
        RoleMix::count(self.engines.iter().map(|engine| engine.role))
    }
}

fn policy(params: PlacementParams) -> AdaptivePlacement {
    AdaptivePlacement::new(params)
}

fn roles_only() -> PlacementParams {
    PlacementParams {
        scaling_enabled: false,
        role_benefit: RoleBenefit {
            speedup: 1.15,
            disturbed_share: 0.5,
        },
        ..PlacementParams::default()
    }
}

fn scaling() -> PlacementParams {
    PlacementParams {
        surplus_time: Duration::from_secs(60),
        cold_start: Duration::from_secs(30),
        hysteresis: 1e9,
        ..PlacementParams::default()
    }
}

fn demand(prefill_engines: f64, decode_engines: f64) -> DemandSample {
    let params = PlacementParams::default();
    DemandSample {
        prefill_tokens_per_s: prefill_engines * params.prefill_tokens_per_s * params.target_utilisation,
        output_tokens_per_s: decode_engines * params.output_tokens_per_s * params.target_utilisation,
        interruptible: 0.5,
        ..DemandSample::default()
    }
}

fn role_changes(orders: &[PlacementOrder]) -> usize {
    let changes = orders.iter().filter(|order| {
        matches!(
            &order.action,
            PlacementAction::Engine {
                action: EngineAction::SetRole(_),
                ..
            }
        )
    });
    changes.count()
}

#[test]
fn roles_follow_the_load_and_each_engine_changes_at_most_once_per_shift() {
    let mut fleet = Fleet::new(12);
    let mut policy = policy(roles_only());
    let mut changed = FastMap::<String, u32>::default();
    for second in 0..240 {
        let load = if second < 120 {
            demand(2.0, 7.0)
        } else {
            demand(7.0, 2.0)
        };
        let orders = fleet.step(&mut policy, load, MonoTime::from_millis(second * 1_000));
        if second == 120 {
            changed.clear();
        }
        for order in orders {
            if let PlacementAction::Engine {
                upstream,
                action: EngineAction::SetRole(_),
            } = order.action
            {
                *changed.entry(upstream.to_string()).or_default() += 1;
            }
        }
        assert!(
            changed.values().all(|count| *count <= 1),
            "second {second}: {changed:?}"
        );
    }
    let load = EngineLoad {
        prefill: 7.0,
        decode: 2.0,
    };
    let mixed = RoleMix {
        mixed: 12,
        ..RoleMix::default()
    };
    let benefit = roles_only().role_benefit;
    assert!(
        fleet.mix().loss(load, benefit) < mixed.loss(load, benefit),
        "{:?}",
        fleet.mix()
    );
}

#[test]
fn engines_whose_streams_are_not_disturbed_stay_mixed() {
    let mut fleet = Fleet::new(12);
    let mut policy = policy(PlacementParams {
        scaling_enabled: false,
        ..PlacementParams::default()
    });
    for second in 0..240 {
        let load = if second < 120 {
            demand(2.0, 7.0)
        } else {
            demand(7.0, 2.0)
        };
        let orders = fleet.step(&mut policy, load, MonoTime::from_millis(second * 1_000));
        assert_eq!(orders, []);
    }
}

#[test]
fn split_fleet_changes_roles_for_a_load_that_it_cannot_serve() {
    let mut fleet = Fleet::new(12);
    for (number, engine) in fleet.engines.iter_mut().enumerate() {
        engine.role = if number < 4 {
            EngineRole::Prefill
        } else {
            EngineRole::Decode
        };
    }
    let mut policy = policy(PlacementParams {
        scaling_enabled: false,
        ..PlacementParams::default()
    });
    let load = EngineLoad {
        prefill: 7.0,
        decode: 3.0,
    };
    let benefit = PlacementParams::default().role_benefit;
    let before = fleet.mix().loss(load, benefit);
    for second in 0..120 {
        fleet.step(
            &mut policy,
            demand(7.0, 3.0),
            MonoTime::from_millis(second * 1_000),
        );
    }
    assert!(
        fleet.mix().loss(load, benefit) < before / 3.0,
        "{:?}",
        fleet.mix()
    );
}

#[test]
fn one_change_at_a_time_in_a_data_centre() {
    let mut fleet = Fleet::new(12);
    for engine in &mut fleet.engines {
        engine.in_flight = 3;
    }
    let mut policy = policy(roles_only());
    let mut drained = 0;
    for second in 0..30 {
        let orders = fleet.plan(
            &mut policy,
            0,
            demand(8.0, 3.0),
            MonoTime::from_millis(second * 1_000),
        );
        drained += orders.len();
    }
    assert_eq!(drained, 1);
}

#[test]
fn engine_that_does_not_drain_is_undrained_without_a_change() {
    let mut fleet = Fleet::new(12);
    for engine in &mut fleet.engines {
        engine.in_flight = 3;
    }
    let mut policy = policy(roles_only());
    let mut actions = Vec::new();
    for second in 0..=61 {
        let orders = fleet.plan(
            &mut policy,
            0,
            demand(8.0, 3.0),
            MonoTime::from_millis(second * 1_000),
        );
        actions.extend(orders.into_iter().map(|order| order.action));
    }
    let of_engine = |action: &PlacementAction| match action {
        PlacementAction::Engine { action, .. } => action.clone(),
        PlacementAction::Platform { .. } => panic!("no platform order"),
    };
    let actions: Vec<_> = actions.iter().map(of_engine).collect();
    assert_eq!(actions[..2], [EngineAction::Drain, EngineAction::Undrain]);
    assert!(
        actions
            .iter()
            .all(|action| !matches!(action, EngineAction::SetRole(_)))
    );
}

#[test]
fn steady_noisy_load_changes_no_roles_once_settled() {
    let mut fleet = Fleet::new(12);
    let mut policy = policy(roles_only());
    let mut late_changes = 0;
    for second in 0..1_200u64 {
        let noise = if second % 2 == 0 { 0.8 } else { 1.2 };
        let load = demand(3.0 * noise, 5.0 / noise);
        let orders = fleet.step(&mut policy, load, MonoTime::from_millis(second * 1_000));
        if second > 300 {
            late_changes += role_changes(&orders);
        }
    }
    assert_eq!(late_changes, 0);
}

#[test]
fn mixed_engines_are_kept_while_the_load_is_low() {
    let mut fleet = Fleet::new(12);
    let mut policy = policy(roles_only());
    for second in 0..120 {
        let orders = fleet.step(
            &mut policy,
            demand(0.05, 0.5),
            MonoTime::from_millis(second * 1_000),
        );
        assert_eq!(orders, []);
    }
}

#[test]
fn model_in_demand_is_loaded_by_one_engine_at_a_time() {
    let mut fleet = Fleet::new(6);
    for engine in &mut fleet.engines {
        engine.models = vec!["slogan-3b".into()];
    }
    let mut policy = policy(roles_only());
    let models = [ModelDemand {
        model: "review-8b".into(),
        engines: 2.0,
    }];
    let mut loads = 0;
    for second in 0..40 {
        let view = FleetView {
            service: &fleet.service,
            engines: &fleet.engines,
            data_centre: &fleet.data_centres[0],
            data_centres: &fleet.data_centres,
            demand: DemandSample::default(),
            models: &models,
        };
        for order in policy.plan(&view, MonoTime::from_millis(second * 1_000)) {
            assert_eq!(order.reason, PlacementReason::ModelDemand);
            loads += 1;
        }
    }
    assert_eq!(loads, 1);
}

#[test]
fn scales_up_on_shortage_and_down_to_the_floor_on_surplus() {
    let mut fleet = Fleet::new(6);
    let mut policy = policy(scaling());
    for second in 0..300 {
        fleet.step(
            &mut policy,
            demand(3.0, 6.0),
            MonoTime::from_millis(second * 1_000),
        );
    }
    let grown = fleet.engines.len();
    assert!((10..=13).contains(&grown), "{grown} engines");
    for second in 300..3_000 {
        fleet.step(
            &mut policy,
            demand(0.1, 0.2),
            MonoTime::from_millis(second * 1_000),
        );
    }
    let steady = fleet
        .engines
        .iter()
        .filter(|engine| engine.capacity == CapacityKind::Steady)
        .count();
    assert_eq!(steady, 3, "{:?}", fleet.engines);
}

#[test]
fn reclaim_in_any_data_centre_leaves_engines_for_uninterruptible_work() {
    let mut fleet = Fleet::new(6);
    let mut policy = policy(scaling());
    let load = demand(4.0, 6.0);
    for second in 0..600 {
        let orders = fleet.step(&mut policy, load, MonoTime::from_millis(second * 1_000));
        let plan = CapacityPlan::count(&fleet.engines);
        let cheap_ordered = orders.iter().any(|order| {
            let start = OrderAction::Start {
                capacity: CapacityKind::Cheap,
            };
            order.action == PlacementAction::Platform { action: start }
        });
        assert!(
            !cheap_ordered || f64::from(plan.after_reclaim()) >= 5.0,
            "second {second}: {plan:?}"
        );
        for data_centre in &fleet.data_centres {
            let cheap = fleet.engines.iter().filter(|engine| {
                engine.data_centre == *data_centre && engine.capacity == CapacityKind::Cheap
            });
            assert!(cheap.count() <= 2);
        }
    }
    let plan = CapacityPlan::count(&fleet.engines);
    assert!(plan.cheap() > 0 && plan.steady() >= 3, "{plan:?}");
}

#[test]
fn unavailable_cheap_capacity_is_replaced_by_steady_capacity() {
    let fleet = Fleet::new(6);
    let mut policy = policy(scaling());
    let load = demand(3.0, 6.0);
    let first = fleet.plan(&mut policy, 0, load, MonoTime::from_millis(0));
    let start = |capacity| PlacementAction::Platform {
        action: OrderAction::Start { capacity },
    };
    assert_eq!(first[0].action, start(CapacityKind::Cheap));
    policy.on_capacity_unavailable(
        &fleet.service,
        &fleet.data_centres[0],
        CapacityKind::Cheap,
        MonoTime::from_millis(500),
    );
    let second = fleet.plan(&mut policy, 0, load, MonoTime::from_millis(1_000));
    assert_eq!(second[0].action, start(CapacityKind::Steady));
}

#[test]
fn reclaimed_engines_no_longer_count_and_are_replaced() {
    let mut fleet = Fleet::new(10);
    let mut policy = policy(scaling());
    let load = demand(3.0, 5.0);
    assert_eq!(fleet.step(&mut policy, load, MonoTime::from_millis(0)), []);
    for engine in fleet.engines.iter_mut().take(4) {
        engine.leaving = true;
    }
    let orders = fleet.step(&mut policy, load, MonoTime::from_millis(1_000));
    assert!(!orders.is_empty());
}

#[test]
fn fixed_baseline_gives_no_orders() {
    let mut fleet = Fleet::new(12);
    let mut policy = FixedPlacement;
    for second in 0..60 {
        let orders = fleet.step(
            &mut policy,
            demand(9.0, 9.0),
            MonoTime::from_millis(second * 1_000),
        );
        assert_eq!(orders, []);
    }
}
