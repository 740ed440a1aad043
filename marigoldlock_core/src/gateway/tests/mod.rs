//! Tests of the gateway's decision logic.

mod allowance;
mod capacity_demand;
mod choice;
mod crashes;
mod duty;
mod duty_unfenced;
mod era;
mod even_choice;
mod exchange;
mod hedge;
mod herding;
mod intake;
mod leaving;
mod load;
mod members;
mod news;
mod origins;
mod pace;
mod reach;
mod requests;
mod speed;
mod trials;
mod upstreams;
mod usage;

use std::time::Duration;

use marigoldlock_wire::prelude::*;

use super::call::{PromptPart, PromptShape};
use super::catalog::{UpstreamEntry, UpstreamRole};
use crate::time::MonoTime;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(100_000 + millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(id: &str, data_centre: &str, role: UpstreamRole) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::from(id),
        service: ServiceId::from("llm"),
        version: SoftwareVersion::from("v1"),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: DataCentre::from(data_centre),
        slots: 64,
        is_leaving: false,
        role,
        started_ms: Some(1),
        is_spot: false,
    }
}

/// A prompt with a shared prefix of `shared` tokens and `own` tokens of its own.
fn prompt(prefix_id: u64, shared: u32, own: u32) -> PromptShape {
    PromptShape {
        prompt_tokens: shared + own,
        output_tokens: 20,
        output_hint: None,
        parts: vec![
            PromptPart {
                id: prefix_id,
                tokens: shared,
            },
            PromptPart {
                id: prefix_id + 1_000_000,
                tokens: own,
            },
        ],
    }
}
