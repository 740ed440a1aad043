//! Chats whose prompt is processed at a prefill engine and whose output comes from a decode engine.

mod support;

use marigoldlock_fleet::{Fleet, FleetOptions};
use marigoldlock_standin::prelude::expected_text;
use marigoldlock_wire::engine::{EngineAction, EngineOrder, EngineRole};
use marigoldlock_wire::prelude::*;
use support::{TestCaller, chat_messages, eventually};

async fn set_role(fleet: &Fleet, engine: &UpstreamId, role: EngineRole) {
    let dispatch = &fleet.instances[0]
        .instance()
        .expect("a running instance")
        .context()
        .dispatch;
    let upstreams = dispatch.upstreams().await;
    let address = &upstreams
        .iter()
        .find(|one| one.upstream == *engine)
        .expect("a known engine")
        .address;
    let order = EngineOrder {
        reference: format!("role-{engine}"),
        epoch: Epoch(LogPosition(1)),
        orderer: InstanceId::from("test"),
        action: EngineAction::SetRole(role),
    };
    let http = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client without TLS");
    let request = http.post(format!("http://{address}/v1/orders")).json(&order);
    assert!(request.send().await.expect("an answer").status().is_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_is_processed_at_a_prefill_engine_and_its_kv_cache_transferred() {
    let mut options = FleetOptions::small(1);
    options.engine.change_ms = 10;
    options.engine.prefill_tokens_per_s = 4_000.0;
    let fleet = Fleet::start(options).await.expect("the fleet starts");
    let caller = TestCaller::new(&fleet, "dairy-north");
    let engines = fleet.upstreams(fleet.options().deployment.chat.as_str());
    set_role(&fleet, &engines[0], EngineRole::Prefill).await;
    for engine in &engines[1..] {
        set_role(&fleet, engine, EngineRole::Decode).await;
    }
    let dispatch = fleet.instances[0]
        .instance()
        .expect("a running instance")
        .context()
        .dispatch
        .clone();
    eventually("the change of roles", async || {
        dispatch
            .upstreams()
            .await
            .iter()
            .filter(|one| one.role != EngineRole::Mixed)
            .count()
            == engines.len()
    })
    .await;
    let prompt = (0..2_000)
        .map(|word| format!("clause{word}"))
        .collect::<Vec<_>>()
        .join(" ");

    let chat = caller.stream_chat(0, &prompt, 20).await;

    assert_eq!(
        chat.text,
        expected_text(&chat_messages(&prompt), 20),
        "{}",
        chat.body
    );
    let prefill = fleet.host.engine_seen(&engines[0]).expect("a known engine");
    assert!(
        prefill.recent.iter().any(|request| request.output_tokens == 1),
        "the prefill engine did not process the prompt"
    );
    assert!(
        chat.body.contains("\"cached_tokens\":19"),
        "the KV cache was not transferred: {}",
        chat.body
    );
    fleet.close().await;
}
