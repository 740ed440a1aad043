//! Relayed tokens per second on one core, with one token in each chunk, as engines send them.

use std::hint::black_box;

use bytes::Bytes;
use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use marigoldlock_core::prelude::*;
use marigoldlock_core::relay::{RelayLimits, SseSplitter, StreamRelay};

/// Tokens of one answer.
const TOKENS: usize = 1_000;

fn chunks() -> Vec<Bytes> {
    let chunk = |number: usize| {
        Bytes::from(format!(
            "data: {{\"id\":\"chatcmpl-0123456789abcdef\",\"object\":\"chat.completion.chunk\",\
             \"created\":1764800000,\"model\":\"copydesk-70b\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\" word{number}\"}},\"finish_reason\":null}}]}}\n\n"
        ))
    };
    (0..TOKENS).map(chunk).collect()
}

fn bench_relay(criterion: &mut Criterion) {
    let chunks = chunks();
    let mut group = criterion.benchmark_group("relay");
    group.throughput(Throughput::Elements(TOKENS as u64));
    group.bench_function("split_only", |bencher| {
        bencher.iter(|| {
            let mut splitter = SseSplitter::default();
            for chunk in &chunks {
                splitter.push(chunk.clone()).expect("small events");
                while let Some(event) = splitter.next_event() {
                    black_box(event);
                }
            }
        });
    });
    group.bench_function("first_attempt", |bencher| {
        bencher.iter(|| relay_all(&chunks, false))
    });
    group.bench_function("resumed", |bencher| bencher.iter(|| relay_all(&chunks, true)));
    group.finish();
}

fn relay_all(chunks: &[Bytes], resumed: bool) {
    let now = MonoTime::ZERO;
    let mut relay = StreamRelay::new(RequestId(1), RelayLimits::default());
    let mut out = Vec::new();
    let mut attempt = relay.begin_attempt(now).id;
    if resumed {
        // The first event sets another completion id, so every later event has to be rewritten.
        let first = Bytes::from_static(
            b"data: {\"id\":\"other\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"x\"}}]}\n\n",
        );
        relay.on_chunk(attempt, first, now, &mut out);
        attempt = relay.begin_attempt(now).id;
    }
    for chunk in chunks {
        relay.on_chunk(attempt, chunk.clone(), now, &mut out);
        out.clear();
    }
    black_box(relay.totals());
}

criterion_group!(benches, bench_relay);
criterion_main!(benches);
