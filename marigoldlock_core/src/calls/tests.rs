//! Tests of at-most-once calls.

mod claim_table;
mod home;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use marigoldlock_wire::peer::{CallAnswer, HeardPeer, Heartbeat};
use marigoldlock_wire::record::calls::RequestFingerprint;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::membership::{MemberLimits, MemberTable, OwnIdentity};
use crate::prelude::*;

const FINGERPRINT: RequestFingerprint = RequestFingerprint(1);

fn identity(key: &str) -> CallIdentity<'_> {
    CallIdentity {
        customer: Some("dairy"),
        service: "booking-app",
        key,
    }
}

fn answer(bytes: usize) -> Arc<CallAnswer> {
    Arc::new(CallAnswer::Answered {
        status: 200,
        headers: Vec::new(),
        body: Bytes::from(vec![b'x'; bytes]),
    })
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn keys_are_parsed_by_form() {
    let home = Incarnation(0xabc);
    let key = format!("{home}.order-1");
    assert_eq!(CallKey::parse(&key), Ok(CallKey::Home { home, key: &key }));
    for plain in [
        "order-1",
        "0000000000000abc",
        "0000000000000abc.",
        "0000000000000ABC.x",
        "abc.x",
        ".",
    ] {
        assert_eq!(CallKey::parse(plain), Ok(CallKey::Plain(plain)));
    }
    let long = "x".repeat(MAX_KEY_BYTES + 1);
    for bad in ["", "with space", "tab\t", "é", long.as_str()] {
        assert_eq!(CallKey::parse(bad), Err(KeyError), "{bad:?}");
    }
}

#[test]
fn the_scope_of_a_key_is_one_customer_and_service() {
    let base = identity("k");
    let others = [
        CallIdentity {
            customer: None,
            ..base
        },
        CallIdentity {
            customer: Some("vinyl"),
            ..base
        },
        CallIdentity {
            service: "taller-api",
            ..base
        },
        CallIdentity { key: "k2", ..base },
        CallIdentity {
            customer: Some("dairybooking"),
            service: "-app",
            ..base
        },
    ];
    assert!(others.iter().all(|other| other.hash() != base.hash()));
    assert_ne!(
        request_fingerprint("POST", "/a", b"b"),
        request_fingerprint("POST", "/ab", b"")
    );
}

#[test]
fn a_call_during_a_log_outage_is_reported_as_not_run_only_if_no_other_instance_can_have_run_it() {
    let own = LogPosition(9);
    let peer = |position, is_down| PeerLog {
        position: LogPosition(position),
        is_down,
    };
    assert_eq!(log_down_code(own, []), ResultCode::LogUnavailable);
    assert_eq!(
        log_down_code(own, [peer(9, true), peer(3, true)]),
        ResultCode::LogUnavailable
    );
    assert_eq!(
        log_down_code(own, [peer(9, true), peer(10, true)]),
        ResultCode::ClaimUnconfirmed
    );
    assert_eq!(log_down_code(own, [peer(9, false)]), ResultCode::ClaimUnconfirmed);
    assert_eq!(ResultCode::ClaimUnconfirmed.execution(), Execution::Unknown);
}

#[test]
fn a_member_that_is_unreachable_lost_or_ahead_leaves_a_call_unconfirmed_during_a_log_outage() {
    let at = |seconds| MonoTime::from_duration(Duration::from_secs(seconds));
    let own = OwnIdentity {
        instance: "own".into(),
        incarnation: Incarnation(1 << 40),
        data_centre: "a".into(),
    };
    let heartbeat = |instance: &str, sequence, position, log_age_ms| Heartbeat {
        instance: instance.into(),
        incarnation: Incarnation(u64::from(instance.as_bytes()[0]) << 32),
        sequence,
        ready: true,
        log_age_ms,
        calls_position: LogPosition(position),
        heard_peers: vec![HeardPeer {
            instance: "own".into(),
            incarnation: Incarnation(1 << 40),
            usable: true,
        }],
        ..Heartbeat::default()
    };
    let mut members = MemberTable::new(own, MemberLimits::default());
    let code = |members: &MemberTable, position| {
        let logs = peer_logs(members, at(1), Duration::from_secs(4));
        log_down_code(LogPosition(position), logs)
    };
    members.on_heartbeat(&heartbeat("b", 1, 5, 0), at(0));
    assert_eq!(code(&members, 9), ResultCode::ClaimUnconfirmed, "b reads the log");
    members.on_heartbeat(&heartbeat("b", 2, 7, 5_000), at(6));
    assert_eq!(code(&members, 9), ResultCode::LogUnavailable);
    assert_eq!(code(&members, 6), ResultCode::ClaimUnconfirmed, "b is ahead");
    members.tick(at(7));
    members.tick(at(8));
    (9..12).for_each(|second| assert_eq!(members.tick(at(second)), None));
    assert_eq!(code(&members, 9), ResultCode::ClaimUnconfirmed, "b is suspect");
    (12..80).for_each(|second| assert_eq!(members.tick(at(second)), None));
    assert!(members.get("b").is_none(), "b is gone and was never listed");
    assert_eq!(
        code(&members, 9),
        ResultCode::ClaimUnconfirmed,
        "b was lost during the outage"
    );
}
