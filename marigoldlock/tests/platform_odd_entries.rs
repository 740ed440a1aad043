//! Entries among those of the upstreams that another writer has left: nested, out of range, of other types, or no text at all.

mod platform_support;

use marigoldlock_core::gateway::hedge::HedgeShare;
use marigoldlock_standin::site::site_settings;
use platform_support::{Site, wait_until};
use serde_json::{Value, json};

/// Depth far beyond any recursion limit, in a record of the largest size.
const DEPTH: usize = 40_000;

/// Odd entries, made from a sound one.
fn odd_entries(sound: &Value) -> Vec<Vec<u8>> {
    let with = |field: &str, value: Value| {
        let mut entry = sound.clone();
        entry[field] = value;
        entry.to_string().into_bytes()
    };
    let text = sound.to_string();
    let open = text.trim_end_matches('}');
    let raw = |field: &str, value: &str| format!("{open},\"{field}\":{value}}}").into_bytes();
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let objects = format!("{}1{}", "{\"a\":".repeat(DEPTH), "}".repeat(DEPTH));
    vec![
        nested.clone().into_bytes(),
        objects.clone().into_bytes(),
        "[".repeat(DEPTH).into_bytes(),
        raw("Extra", &nested),
        raw("Extra", &objects),
        raw("Extra", "1e99999"),
        raw("Extra", &"9".repeat(5_000)),
        with("Slots", json!(-1)),
        with("Slots", json!(0)),
        with("Slots", json!(u32::MAX)),
        with("Slots", json!(1e300)),
        with("born", json!(-5)),
        with("born", json!(1.5)),
        with("born", json!(u64::MAX)),
        with("Sequence", json!(u64::MAX)),
        with("Sequence", json!("many")),
        with("ColdLeftMs", json!(u64::MAX)),
        with("Address", json!("127.0.0.1:65536")),
        with("Address", json!("127.0.0.1:0")),
        with("Address", json!("127.0.0.1:99999999999999999999")),
        with("Address", json!("0.0.0.0:80")),
        with("Address", json!("[::1]:80")),
        with("Address", json!(["127.0.0.1", 80])),
        with("Service", json!("nobody")),
        with("Service", json!(null)),
        with("Zone", json!({"a": "b"})),
        with("Stage", json!(7)),
        with("State", json!("half")),
        with("Version", json!(3)),
        with("Version", json!("v".repeat(100_000))),
        b"null".to_vec(),
        b"17".to_vec(),
        b"\"text\"".to_vec(),
        b"{}".to_vec(),
        vec![0xff; 1_000],
        vec![0; 1_000],
        text.as_bytes()[..text.len() / 2].to_vec(),
        vec![b' '; 200_000],
    ]
}

/// Guards against instances that end, or cease to follow the store, because of one entry of another writer.
#[tokio::test]
async fn odd_entries_end_no_instance_and_hide_no_other_entry() {
    let mut site = Site::start(2).await;
    let mut sound = site.runner("a1").entry("ready");
    // Some entries are odd but usable; their upstream isn't there.
    sound["Service"] = "odd".into();
    for (number, entry) in odd_entries(&sound).into_iter().enumerate() {
        site.store
            .put("keyed.servers", &format!("odd{number}"), Some(&entry));
        // The same instead of an entry that was sound, and under keys that are no names.
        site.store.put("keyed.servers", "d2", Some(&entry));
        site.store.put(
            "keyed.servers",
            &format!("{}\u{1}\"{number}", "k".repeat(200)),
            Some(&entry),
        );
    }
    site.store.put("keyed.servers", "", Some(b"{}"));
    site.store
        .put_upstream("d2", Some(&site.runner("d2").entry("ready")));
    // Entries after the odd ones are read, by the instances that run and by one that starts.
    let mut last = site.runner("a2").entry("draining");
    last["born"] = 9.into();
    site.store.put_upstream("a2", Some(&last));
    site.store.put_settings(&site_settings(60));
    for instance in &site.instances {
        wait_until("later settings are in force", || {
            instance.settings_version() == 60
        })
        .await;
    }
    site.store.compact("keyed.servers");
    // The entry after the odd ones says that a2 leaves.
    let mut arrived = 0;
    for round in 0..200 {
        for (instance, call) in (0..2).flat_map(|instance| (0..10).map(move |call| (instance, call))) {
            let answer = site
                .send(instance, "/look/x", &format!("l{round}-{instance}-{call}"))
                .await;
            assert_eq!(answer.status(), 200);
        }
        let before = std::mem::replace(&mut arrived, site.runner("a2").arrivals().len());
        if round > 0 && arrived == before {
            break;
        }
        assert!(round < 199, "a2 still gets requests");
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    for number in 0..odd_entries(&sound).len() {
        site.store.put("keyed.servers", &format!("odd{number}"), None);
        site.store.put(
            "keyed.servers",
            &format!("{}\u{1}\"{number}", "k".repeat(200)),
            None,
        );
    }
    for instance in &site.instances {
        wait_until("the odd entries are gone", || instance.usable_upstreams() == 4).await;
    }
    site.upstreams.retain(|runner| runner.id() != "a2");
    site.start_instance(7).await.unwrap();
}

/// The same for an instance that starts with the odd entries in its first listing.
#[tokio::test]
async fn an_instance_starts_amid_odd_entries() {
    let mut site = Site::start(1).await;
    let mut sound = site.runner("a1").entry("ready");
    // Some entries are odd but usable; their upstream isn't there.
    sound["Service"] = "odd".into();
    let entries = odd_entries(&sound);
    // Those that are sound in form name an upstream; they would count as upstreams of the site.
    let broken: Vec<&Vec<u8>> = entries
        .iter()
        .filter(|entry| {
            serde_json::from_slice::<Value>(entry).is_ok_and(|value| !value.is_object())
                || serde_json::from_slice::<Value>(entry).is_err()
        })
        .filter(|entry| !entry.starts_with(b"{\"Address"))
        .collect();
    for (number, entry) in broken.iter().enumerate() {
        site.store
            .put("keyed.servers", &format!("odd{number}"), Some(entry));
    }
    site.start_instance(1).await.unwrap();
    assert_eq!(site.send(1, "/look/x", "l1").await.status(), 200);
}

/// Guards against a sum of slots that overflows: one entry is in range, two are not.
#[tokio::test]
async fn upstreams_with_endless_slots_are_used() {
    let mut site = Site::start(0).await;
    for id in ["a1", "a2"] {
        let mut entry = site.runner(id).entry("ready");
        entry["Slots"] = u32::MAX.into();
        site.store.put_upstream(id, Some(&entry));
    }
    let share = HedgeShare::try_new(0.05).unwrap();
    site.start_hedging_instance(0, share).await.unwrap();
    for call in 0..20 {
        let answer = site.send(0, "/look/x", &format!("l{call}")).await;
        assert_eq!(answer.status(), 200);
    }
}
