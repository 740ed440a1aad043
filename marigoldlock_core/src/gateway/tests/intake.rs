//! Limits on what clients hold of a process.

use std::net::IpAddr;

use proptest::prelude::*;

use super::{at, millis};
use crate::gateway::intake::{
    ByteClass, CONNECTION_BYTES, ClientKind, ConnectionId, ConnectionPhase, IntakeDecision, IntakeLedger,
    IntakeLimits, MachineSize, REQUEST_BYTES, TransferWatch,
};
use crate::time::MonoTime;

const MB: u64 = 1_000_000;

fn limits(memory_mb: u64, descriptors: u64) -> IntakeLimits {
    IntakeLimits::for_machine(MachineSize {
        memory_bytes: memory_mb * MB,
        descriptors,
    })
}

fn ledger() -> IntakeLedger {
    IntakeLedger::new(limits(120, 3_075))
}

fn client(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

fn admit(ledger: &mut IntakeLedger, address: IpAddr, now: MonoTime) -> ConnectionId {
    match ledger.admit(ClientKind::Caller, address, now) {
        IntakeDecision::Granted(id) => id,
        other => panic!("the connection should be admitted: {other:?}"),
    }
}

/// Admits a connection after dropping what the ledger names.
fn admit_dropping(
    ledger: &mut IntakeLedger,
    address: IpAddr,
    now: MonoTime,
) -> (ConnectionId, Vec<ConnectionId>) {
    let mut dropped = Vec::new();
    loop {
        match ledger.admit(ClientKind::Caller, address, now) {
            IntakeDecision::Granted(id) => return (id, dropped),
            IntakeDecision::Drop(victims) => {
                for victim in victims {
                    ledger.remove(victim);
                    dropped.push(victim);
                }
            }
            other => panic!("the connection should be admitted: {other:?}"),
        }
    }
}

/// Guards against limits above what the machine classes have.
#[test]
fn clients_hold_less_than_half_of_every_machine() {
    for (memory_mb, descriptors) in [(120, 3_075), (160, 4_100), (260, 4_100), (512, 10_250)] {
        let limits = limits(memory_mb, descriptors);
        assert!(
            limits.pool_bytes <= memory_mb * MB / 2,
            "{memory_mb} MB: {limits:?}"
        );
        let connections = limits.caller_connections + limits.peer_connections + 96 + 16;
        assert!(
            connections as u64 * 4 < descriptors * 3,
            "{memory_mb} MB: {limits:?}"
        );
        assert!(limits.caller_connections >= 400, "{memory_mb} MB: {limits:?}");
    }
}

/// Guards against a limit that refuses what the platform allows.
#[test]
fn a_calm_small_machine_takes_the_largest_body() {
    let mut ledger = ledger();
    for number in 0..200 {
        let id = admit(&mut ledger, client(number as u8), at(0));
        ledger.set_phase(id, ConnectionPhase::Idle, at(1));
    }
    let id = admit(&mut ledger, client(1), at(10));
    ledger.set_phase(id, ConnectionPhase::Body, at(10));
    for bytes in [REQUEST_BYTES, 4 << 20] {
        let class = ByteClass::of_body(ClientKind::Caller, bytes);
        assert_eq!(
            ledger.charge(id, bytes, class, at(10)),
            IntakeDecision::Granted(())
        );
    }
}

/// Guards against connections that stall and keep ordinary callers out.
#[test]
fn the_oldest_stalled_head_is_dropped_for_a_new_connection() {
    let mut ledger = ledger();
    let cap = limits(120, 3_075).caller_connections;
    let running = admit(&mut ledger, client(1), at(0));
    ledger.set_phase(running, ConnectionPhase::Running, at(0));
    let idle = admit(&mut ledger, client(1), at(0));
    ledger.set_phase(idle, ConnectionPhase::Idle, at(0));
    let stalled: Vec<ConnectionId> = (2..cap)
        .map(|number| {
            let id = admit(&mut ledger, client(1), at(number as u64));
            ledger.set_phase(id, ConnectionPhase::Head, at(number as u64));
            id
        })
        .collect();
    let now = at(cap as u64 + 300);
    let (_, dropped) = admit_dropping(&mut ledger, client(1), now);
    assert_eq!(dropped, stalled[..1]);
}

/// Guards against dropping the requests of ordinary callers, whose heads are complete within a few round trips.
#[test]
fn young_heads_and_running_requests_are_not_dropped() {
    let mut ledger = ledger();
    for number in 0..limits(120, 3_075).caller_connections {
        let id = admit(&mut ledger, client(1), at(0));
        let phase = if number % 2 == 0 {
            ConnectionPhase::Running
        } else {
            ConnectionPhase::Head
        };
        ledger.set_phase(id, phase, at(0));
    }
    let decision = ledger.admit(ClientKind::Caller, client(2), at(100));
    assert_eq!(decision, IntakeDecision::Refused);
    assert!(matches!(
        ledger.admit(ClientKind::Instance, client(2), at(100)),
        IntakeDecision::Granted(_)
    ));
}

/// Guards against one address that crowds out the transfers of another one.
#[test]
fn the_address_that_holds_the_most_loses_first() {
    let mut ledger = ledger();
    let other = admit(&mut ledger, client(2), at(0));
    ledger.set_phase(other, ConnectionPhase::Head, at(0));
    for _ in 1..limits(120, 3_075).caller_connections {
        let id = admit(&mut ledger, client(1), at(10));
        ledger.set_phase(id, ConnectionPhase::Head, at(10));
    }
    let (_, dropped) = admit_dropping(&mut ledger, client(3), at(1_000));
    assert!(
        !dropped.contains(&other),
        "the address with one connection keeps it"
    );
}

/// Guards against stalled large bodies that fill the memory, and against the loss of what is reserved for others.
#[test]
fn stalled_bodies_leave_room_for_small_requests_and_peers() {
    let mut ledger = ledger();
    let bytes = 4 << 20;
    let mut refused = 0;
    for _ in 0..40 {
        let id = admit(&mut ledger, client(1), at(0));
        ledger.set_phase(id, ConnectionPhase::Body, at(0));
        if ledger.charge(id, bytes, ByteClass::Large, at(0)) == IntakeDecision::Refused {
            refused += 1;
        }
    }
    assert!(refused > 0);
    let small = admit(&mut ledger, client(2), at(10));
    ledger.set_phase(small, ConnectionPhase::Body, at(10));
    assert_eq!(
        ledger.charge(small, REQUEST_BYTES, ByteClass::Small, at(10)),
        IntakeDecision::Granted(())
    );
    // Later the oldest stalled body makes room.
    let large = admit(&mut ledger, client(2), at(500));
    ledger.set_phase(large, ConnectionPhase::Body, at(500));
    assert!(matches!(
        ledger.charge(large, bytes, ByteClass::Large, at(500)),
        IntakeDecision::Drop(_)
    ));
}

/// Guards against two transfers that drop each other in turn.
#[test]
fn an_older_transfer_does_not_drop_a_later_one() {
    let mut ledger = ledger();
    let old = admit(&mut ledger, client(1), at(0));
    ledger.set_phase(old, ConnectionPhase::Body, at(0));
    loop {
        let id = admit(&mut ledger, client(1), at(10));
        ledger.set_phase(id, ConnectionPhase::Body, at(10));
        if ledger.charge(id, 4 << 20, ByteClass::Large, at(10)) != IntakeDecision::Granted(()) {
            break;
        }
    }
    assert_eq!(
        ledger.charge(old, 4 << 20, ByteClass::Large, at(1_000)),
        IntakeDecision::Refused
    );
}

/// Guards against responses that aren't counted because they can't be refused.
#[test]
fn arrived_responses_count_beyond_the_pool_and_drop_unfinished_transfers() {
    let mut ledger = ledger();
    let pool = limits(120, 3_075).pool_bytes;
    let stalled = admit(&mut ledger, client(1), at(0));
    ledger.set_phase(stalled, ConnectionPhase::Body, at(0));
    assert_eq!(
        ledger.charge(stalled, pool / 2, ByteClass::Large, at(0)),
        IntakeDecision::Granted(())
    );
    let running = admit(&mut ledger, client(2), at(1_000));
    ledger.set_phase(running, ConnectionPhase::Running, at(1_000));
    assert_eq!(ledger.charge_arrived(running, pool / 2, at(1_000)), [stalled]);
    assert!(ledger.used_bytes() > pool);
    assert_eq!(
        ledger.charge(running, REQUEST_BYTES, ByteClass::Small, at(1_000)),
        IntakeDecision::Wait,
        "the dropped transfer still holds its bytes"
    );
    ledger.release(stalled, pool / 2);
    ledger.remove(stalled);
    assert_eq!(
        ledger.charge(running, REQUEST_BYTES, ByteClass::Small, at(1_000)),
        IntakeDecision::Granted(())
    );
}

/// Guards against dropping a caller that reads slowly while stalled requests are there.
#[test]
fn unread_responses_are_dropped_after_stalled_requests_and_before_idle_connections() {
    let mut ledger = ledger();
    let phases = [
        ConnectionPhase::Idle,
        ConnectionPhase::Unread,
        ConnectionPhase::Head,
    ];
    let first: Vec<ConnectionId> = phases
        .iter()
        .map(|phase| {
            let id = admit(&mut ledger, client(1), at(0));
            ledger.set_phase(id, *phase, at(0));
            id
        })
        .collect();
    for _ in phases.len()..limits(120, 3_075).caller_connections {
        let id = admit(&mut ledger, client(1), at(0));
        ledger.set_phase(id, ConnectionPhase::Running, at(0));
    }
    for expected in first.into_iter().rev() {
        let (id, dropped) = admit_dropping(&mut ledger, client(1), at(5_000));
        ledger.set_phase(id, ConnectionPhase::Running, at(5_000));
        assert_eq!(dropped, [expected]);
    }
}

/// Guards against a transfer that goes on for ever with a few bytes now and then.
#[test]
fn a_transfer_needs_a_minimum_of_bytes_in_each_window() {
    let mut watch = TransferWatch::new(millis(3_000), 1_000, at(0));
    for step in 1..=9 {
        watch.record(100, at(step * 300));
    }
    assert_eq!(watch.deadline(), at(3_000));
    watch.record(100, at(2_900));
    assert_eq!(watch.deadline(), at(5_900));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Admit(u8, u8),
    Phase(u8, u8),
    Charge(u8, u32),
    Release(u8),
    Remove(u8),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8, 0..3_u8).prop_map(|(kind, address)| Step::Admit(kind, address)),
        (any::<u8>(), 0..6_u8).prop_map(|(at, phase)| Step::Phase(at, phase)),
        (any::<u8>(), 1..6_000_000_u32).prop_map(|(at, bytes)| Step::Charge(at, bytes)),
        any::<u8>().prop_map(Step::Release),
        any::<u8>().prop_map(Step::Remove),
        any::<u16>().prop_map(Step::Wait),
    ]
}

proptest! {
    /// Guards against bytes that are granted beyond the pool, lost, or counted twice.
    #[test]
    fn the_pool_is_never_exceeded_and_is_empty_in_the_end(steps in prop::collection::vec(step(), 1..200)) {
        const KINDS: [ClientKind; 4] = [ClientKind::Caller, ClientKind::Instance, ClientKind::Metrics, ClientKind::Peer];
        const PHASES: [ConnectionPhase; 6] = [
            ConnectionPhase::Silent, ConnectionPhase::Head, ConnectionPhase::Body, ConnectionPhase::Running,
            ConnectionPhase::Unread, ConnectionPhase::Idle,
        ];
        let limits = limits(80, 300);
        let mut ledger = IntakeLedger::new(limits);
        let mut open: Vec<ConnectionId> = Vec::new();
        let mut held: Vec<(ConnectionId, u64)> = Vec::new();
        let mut now = 0;
        for step in steps {
            let pick = |index: u8| (!open.is_empty()).then(|| open[usize::from(index) % open.len()]);
            match step {
                Step::Admit(kind, address) => {
                    match ledger.admit(KINDS[usize::from(kind)], client(address), at(now)) {
                        IntakeDecision::Granted(id) => open.push(id),
                        IntakeDecision::Drop(victims) => {
                            for victim in victims {
                                ledger.remove(victim);
                                open.retain(|id| *id != victim);
                            }
                        }
                        IntakeDecision::Wait | IntakeDecision::Refused => {}
                    }
                }
                Step::Phase(index, phase) => if let Some(id) = pick(index) {
                    ledger.set_phase(id, PHASES[usize::from(phase)], at(now));
                },
                Step::Charge(index, bytes) => if let Some(id) = pick(index) {
                    let bytes = u64::from(bytes);
                    let class = ByteClass::of_body(ClientKind::Caller, bytes);
                    if ledger.charge(id, bytes, class, at(now)) == IntakeDecision::Granted(()) {
                        held.push((id, bytes));
                    }
                },
                Step::Release(index) => if !held.is_empty() {
                    let (id, bytes) = held.swap_remove(usize::from(index) % held.len());
                    ledger.release(id, bytes);
                },
                Step::Remove(index) => if let Some(id) = pick(index) {
                    ledger.remove(id);
                    open.retain(|other| *other != id);
                },
                Step::Wait(time) => now += u64::from(time) / 16,
            }
            let sum = held.iter().map(|(_, bytes)| bytes).sum::<u64>() + open.len() as u64 * CONNECTION_BYTES;
            prop_assert_eq!(ledger.used_bytes(), sum);
            prop_assert!(sum <= limits.pool_bytes);
        }
        for (id, bytes) in held {
            ledger.release(id, bytes);
        }
        for id in open {
            ledger.remove(id);
        }
        prop_assert_eq!(ledger.used_bytes(), 0);
    }
}
