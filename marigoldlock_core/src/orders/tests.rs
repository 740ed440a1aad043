//! Tests of rules for orders that the model check doesn't cover.

use marigoldlock_wire::engine::EngineAction;
use marigoldlock_wire::record::orders::OrderBody;

use super::*;
use crate::prelude::*;

#[test]
fn proposal_for_the_same_receiver_replaces_the_earlier_one() {
    let me = marigoldlock_wire::record::authority::HolderId {
        instance: "a".into(),
        incarnation: Incarnation(1),
    };
    let duty = marigoldlock_wire::record::authority::Duty::Orders {
        data_centre: "pest-a".into(),
    };
    let mut dispatcher = OrderDispatcher::new(me, OrderTiming::default());
    let body = |action| OrderBody::Engine {
        upstream: "e1".into(),
        checks_fence: true,
        action,
    };
    dispatcher.propose(duty.clone(), body(EngineAction::Drain));
    dispatcher.propose(duty, body(EngineAction::Undrain));
    assert_eq!(dispatcher.proposals(), 1);
}
