//! Tests of the follower cursor, message encoding, heartbeat splitting and clients' streams.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use marigoldlock_core::gateway::blame::{CrashRecord, SuspectKey};
use marigoldlock_core::gateway::crashes::{CrashReport, CrashTable, FleetTime, ReportScope};
use marigoldlock_core::gateway::intake::{ClientKind, IntakeLimits, MachineSize};
use marigoldlock_core::gateway::members::{Heartbeat, MemberCard, MemberReport, MemberStage};
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::gateway::state::UpstreamKey;
use marigoldlock_core::gateway::usage::WindowCounts;
use marigoldlock_core::prelude::*;

use super::codec;
use super::crash_log::{block_key, parse_block};
use super::cursor::{FollowCursor, NextCall, poll_wait};
use super::heartbeats::{Datagram, encode_datagrams};
use super::intake::{ClientStream, IntakeControl, StreamTimeouts};
use crate::clock::BootClock;

const WAIT: Duration = Duration::from_secs(10);

/// A position of the era in which the store is at first.
fn position(offset: u64) -> StorePosition {
    StorePosition::new(StoreEra::default(), offset)
}

/// Guards against a cursor of an earlier era, also when a second one follows at once.
#[test]
fn a_follower_lists_again_in_each_era() {
    let now = Instant::now();
    let mut cursor = FollowCursor::default();
    cursor.advance(40, true);
    for era in [StoreEra(1), StoreEra(2)] {
        cursor.enter_era(era);
        assert_eq!(cursor.next_call(now, WAIT), NextCall::List);
    }
    cursor.advance(12, true);
    cursor.enter_era(StoreEra(2));
    let expected = StorePosition::new(StoreEra(2), 12);
    assert_eq!(cursor.next_call(now, WAIT), NextCall::Follow(expected, WAIT));
}

#[test]
fn a_follower_lists_once_and_then_reads_on() {
    let now = Instant::now();
    let mut cursor = FollowCursor::default();
    assert_eq!(cursor.next_call(now, WAIT), NextCall::List);
    cursor.advance(40, true);
    assert!(matches!(
        cursor.next_call(now, WAIT),
        NextCall::Follow(from, _) if from == position(40)
    ));
    cursor.advance(42, false);
    assert!(matches!(
        cursor.next_call(now, WAIT),
        NextCall::Follow(from, _) if from == position(42)
    ));
}

#[test]
fn a_stream_is_listed_again_after_dropped_records() {
    let now = Instant::now();
    let mut cursor = FollowCursor::default();
    cursor.advance(40, true);
    cursor.restart(54, now);
    assert_eq!(cursor.next_call(now, WAIT), NextCall::List);
    // The listing is stale; reading continues at the first retained record.
    cursor.advance(45, true);
    let NextCall::Follow(from, wait) = cursor.next_call(now, WAIT) else {
        panic!("reading should continue at 54")
    };
    assert_eq!(from, position(54));
    assert!(wait < Duration::from_secs(1), "the next listing is due soon");
    let mut listings = 0;
    for millis in (0..10_000).step_by(100) {
        if cursor.next_call(now + Duration::from_millis(millis), WAIT) == NextCall::List {
            listings += 1;
        }
    }
    assert_eq!(listings, 5);
}

#[test]
fn an_offset_that_was_never_written_is_abandoned() {
    let now = Instant::now();
    let mut cursor = FollowCursor::default();
    cursor.advance(40, true);
    cursor.restart(0, now);
    assert_eq!(cursor.next_call(now, WAIT), NextCall::List);
    cursor.advance(12, true);
    assert!(matches!(
        cursor.next_call(now, WAIT),
        NextCall::Follow(from, _) if from == position(12)
    ));
}

#[test]
fn instances_end_their_long_polls_in_turn() {
    for count in [1_usize, 2, 8, 20] {
        for start in (0..20_000).step_by(37) {
            let ends: Vec<Duration> = (0..count).map(|rank| poll_wait(rank, count, start)).collect();
            let first = ends.iter().min().unwrap();
            assert!(
                *first <= Duration::from_millis(600),
                "{count} instances at {start}: {first:?}"
            );
            assert!(
                ends.iter()
                    .all(|end| *end >= Duration::from_millis(50) && *end <= WAIT)
            );
        }
    }
}

#[test]
fn a_message_with_another_version_or_a_wrong_length_is_rejected() {
    let value: Vec<Vec<u8>> = vec![vec![1, 2, 3]; 4];
    let bytes = codec::encode(&value).unwrap();
    assert_eq!(codec::decode::<Vec<Vec<u8>>>(&bytes).unwrap(), value);
    assert!(codec::decode::<Vec<Vec<u8>>>(&[]).is_err());
    let mut other_version = bytes.to_vec();
    other_version[0] += 1;
    assert!(codec::decode::<Vec<Vec<u8>>>(&other_version).is_err());
    let mut trailing = bytes.to_vec();
    trailing.push(0);
    assert!(codec::decode::<Vec<Vec<u8>>>(&trailing).is_err());
    // A timestamp decoded as the length of a list must not cause an allocation of 1.7 TB.
    let mut too_long = vec![bytes[0]];
    bincode::encode_into_std_write(1_767_252_734_991_u64, &mut too_long, bincode::config::standard())
        .unwrap();
    assert!(codec::decode::<Vec<u8>>(&too_long).is_err());
    assert!(codec::decode::<Vec<(String, u64)>>(&too_long).is_err());
}

fn report(number: usize) -> MemberReport {
    let card = MemberCard {
        id: InstanceId::from(format!("edge-{number}")),
        incarnation: Incarnation(u64::MAX),
        front: "10.0.0.1:8443".parse().unwrap(),
        peer: "10.0.0.1:7780".parse().unwrap(),
        data_centre: DataCentre::from("santiago-a"),
        weight: 12,
    };
    MemberReport {
        sequence: 1_000_000,
        stage: MemberStage::Ready,
        ..MemberReport::new(card)
    }
}

/// A report of as many crashes as an instance keeps, each under a request with as many suspects as are kept.
fn largest_crash_report() -> CrashReport {
    let mut table = CrashTable::default();
    let time = FleetTime {
        now: MonoTime::from_millis(1_000),
        fleet_ms: 1_767_252_734_991,
    };
    for request in 0..1_000 {
        let record = CrashRecord {
            request: u64::MAX - request,
            upstream: UpstreamKey::from(&UpstreamId::from("i-7f3a91c2")),
            sent_ms: time.fleet_ms - 100,
            crashed_ms: time.fleet_ms,
            suspects: (0..64)
                .map(|part| SuspectKey::PromptPart(u64::MAX - part))
                .collect(),
        };
        table.record_crash(record, time);
    }
    let scope = ReportScope {
        is_own_only: false,
        news_time: None,
    };
    table.report(scope, time.now)
}

#[test]
fn heartbeats_of_a_relay_in_a_large_fleet_are_split() {
    let heartbeat = Heartbeat {
        unix_ms: 1_767_252_734_991,
        is_answer: false,
        own: report(0),
        forwarded: (1..1_500).map(report).collect(),
        usage: vec![WindowCounts {
            window: 7,
            counts: vec![(CustomerId::from("acme"), 3)],
        }],
        crashes: largest_crash_report(),
    };
    let parts = encode_datagrams(&heartbeat);
    assert!(parts.len() > 1);
    assert!(parts.iter().all(|bytes| bytes.len() < 64 << 10));
    let read: Vec<Heartbeat> = parts
        .iter()
        .map(|bytes| match codec::decode(bytes).unwrap() {
            Datagram::Heartbeat(heartbeat) => heartbeat,
            other => panic!("not a heartbeat: {other:?}"),
        })
        .collect();
    let forwarded: Vec<MemberReport> = read.iter().flat_map(|part| part.forwarded.clone()).collect();
    assert_eq!(forwarded, heartbeat.forwarded);
    assert_eq!(
        read.iter().filter(|part| part.usage == heartbeat.usage).count(),
        1
    );
    assert_eq!(
        read.iter()
            .filter(|part| part.crashes == heartbeat.crashes)
            .count(),
        1
    );
    let small = Heartbeat {
        forwarded: (1..72).map(report).collect(),
        crashes: CrashReport::default(),
        ..heartbeat
    };
    assert_eq!(encode_datagrams(&small).len(), 1);
}

#[test]
fn damaged_blocks_of_the_store_are_told_apart() {
    let suspects = [SuspectKey::Request(3), SuspectKey::PromptPart(7)];
    let key = block_key(&suspects);
    let value = |fields: &str| format!("{{\"suspects\":[{{\"Request\":3}},{{\"PromptPart\":7}}],{fields}}}");
    let parse =
        |key: &str, value: &str| parse_block(key, value.as_bytes(), 1_000_000).map_err(|err| err.to_string());

    let block = parse(&key, &value("\"blocked_ms\":900000")).unwrap();
    assert_eq!((&block.suspects[..], block.is_confirmed), (&suspects[..], false));
    assert!(
        parse(&key, &value("\"blocked_ms\":900000,\"is_confirmed\":true"))
            .unwrap()
            .is_confirmed
    );

    let error = |value: &str| parse(&key, value).unwrap_err();
    assert!(error("{").starts_with("it can't be parsed"));
    assert!(error(&value("\"blocked_ms\":900000,\"colour\":1")).contains("unknown field `colour`"));
    assert!(error(&value("\"blocked_ms\":900000000")).contains("begins in the future"));
    assert_eq!(
        parse("0123456789abcdef", &value("\"blocked_ms\":900000")).unwrap_err(),
        "its key does not belong to its suspects"
    );
}

/// Returns a stream of an admitted client with short timeouts, and the client's end.
async fn client_stream() -> (ClientStream, TcpStream) {
    let limits = IntakeLimits::for_machine(MachineSize {
        memory_bytes: 120_000_000,
        descriptors: 3_075,
    });
    let control = Arc::new(IntakeControl::new(limits, Arc::new(BootClock)));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (stream, address) = listener.accept().await.unwrap();
    let connection = control.admit(ClientKind::Caller, address.ip()).await.unwrap();
    let timeouts = StreamTimeouts {
        head: Duration::from_millis(150),
        read: Duration::from_millis(300),
    };
    (ClientStream::new(stream, connection, timeouts), client)
}

/// Guards against responses that are kept for a client that has stopped to read.
#[tokio::test]
async fn a_client_that_does_not_read_is_closed() {
    let (mut stream, _client) = client_stream().await;
    let content = vec![0; 32 << 20];
    let written = stream.write_all(&content);
    let result = tokio::time::timeout(Duration::from_secs(10), written)
        .await
        .unwrap();
    assert_eq!(result.unwrap_err().kind(), ErrorKind::TimedOut);
}

/// Guards against closing a client that reads slowly but goes on.
#[tokio::test]
async fn a_client_that_reads_in_pauses_gets_the_whole_response() {
    let (mut stream, mut client) = client_stream().await;
    let size = 12 << 20;
    let reading = tokio::spawn(async move {
        let mut buffer = vec![0; 1 << 20];
        let mut read = 0;
        while read < size {
            tokio::time::sleep(Duration::from_millis(20)).await;
            read += client.read(&mut buffer).await.unwrap();
        }
        read
    });
    stream.write_all(&vec![0; size]).await.unwrap();
    assert_eq!(reading.await.unwrap(), size);
}

/// Guards against a head that trickles in and restarts its timeout with each byte.
#[tokio::test]
async fn a_trickling_head_is_closed_at_its_deadline() {
    let (mut stream, mut client) = client_stream().await;
    let sending = tokio::spawn(async move {
        while client.write_all(b"a").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let started = Instant::now();
    let mut buffer = [0; 16];
    let end = loop {
        if let Err(err) = stream.read(&mut buffer).await {
            break err;
        }
    };
    assert_eq!(end.kind(), ErrorKind::TimedOut);
    assert!(started.elapsed() < Duration::from_secs(2));
    drop(stream);
    sending.await.unwrap();
}
