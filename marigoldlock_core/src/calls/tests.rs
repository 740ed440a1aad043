//! Tests of calls that may not be repeated.

mod home;
mod plain;

use std::sync::Arc;

use bytes::Bytes;
use marigoldlock_wire::peer::CallAnswer;
use marigoldlock_wire::record::calls::RequestPrint;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::prelude::*;

const PRINT: RequestPrint = RequestPrint(1);

fn name(key: &str) -> CallName<'_> {
    CallName {
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
fn keys_are_read_by_form() {
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
fn a_key_counts_within_its_customer_and_service() {
    let base = name("k");
    let others = [
        CallName {
            customer: None,
            ..base
        },
        CallName {
            customer: Some("vinyl"),
            ..base
        },
        CallName {
            service: "taller-api",
            ..base
        },
        CallName { key: "k2", ..base },
        CallName {
            customer: Some("dairybooking"),
            service: "-app",
            ..base
        },
    ];
    assert!(others.iter().all(|other| other.hash() != base.hash()));
    assert_ne!(
        request_print("POST", "/a", b"b"),
        request_print("POST", "/ab", b"")
    );
}

#[test]
fn a_call_is_called_not_run_without_the_log_only_if_no_other_instance_can_have_run_it() {
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
