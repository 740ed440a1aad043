//! Learns from other instances what this one has missed.
//!
//! Only a few instances read the store; the others, and those that the store turns away, take settings and
//! upstreams from an instance that knows more.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use marigoldlock_core::gateway::adapter::KeyedRecord;
use marigoldlock_core::gateway::exchange::FleetView;
use marigoldlock_core::gateway::members::{MemberStage, MemberState, SyncState};
use marigoldlock_core::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::follow::{apply_settings, apply_upstream, become_ready};
use super::links::{LinkSender, connect};
use super::{Gateway, codec};

/// Time for which a follower waits for its own long poll before it asks another instance.
const OWN_POLL_FIRST: Duration = Duration::from_millis(150);

/// Shortest time between two questions for what was missed, which gathers changes that come together.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// Longest time between two looks at what others know.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Longest time for a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which listings may differ at the same offset before the whole listing is asked for: after the store
/// dropped records, followers find some changes late.
const DIFFER_PATIENCE: Duration = Duration::from_millis(500);

/// Time for which an instance may stay behind before it reads the store itself: heartbeats may pass where questions
/// don't.
const BEHIND_MOST: Duration = Duration::from_millis(1_000);

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 16 << 20;

/// What an instance asks another for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ChangeQuestion {
    /// Version of the settings that is known.
    settings_version: u64,
    /// Records of upstreams from this offset on are asked for.
    upstreams_from: u64,
}

/// What an instance tells another that has missed changes.
#[derive(Debug, Deserialize, Serialize)]
struct ChangeAnswer {
    settings: Vec<u8>,
    settings_offset: u64,
    upstreams: Vec<(String, u64, Option<Vec<u8>>)>,
    upstreams_offset: u64,
}

/// Keeps up with other instances, for ever.
pub async fn catch_up(gateway: &Gateway) {
    let mut asker = ChangeAsker::default();
    loop {
        tokio::select! {
            () = gateway.peer_differs.notified() => {}
            () = tokio::time::sleep(LOOK_EVERY) => {}
        }
        asker.look(gateway).await;
        tokio::time::sleep(ASK_EVERY).await;
    }
}

#[derive(Default)]
struct ChangeAsker {
    /// Connection to the instance that was asked last.
    link: Option<(SocketAddr, LinkSender)>,
    behind_since: Option<MonoTime>,
    difference: Option<ListingDifference>,
}

/// Another instance's listing that differs at the same offset.
struct ListingDifference {
    digest: u64,
    since: MonoTime,
    /// True once the whole listing was asked for: the other may be the one that has missed something.
    is_asked: bool,
}

impl ChangeAsker {
    async fn look(&mut self, gateway: &Gateway) {
        let now = gateway.now();
        let question = self.next_question(gateway, now);
        let is_stuck = self
            .behind_since
            .is_some_and(|since| now.since(since) >= BEHIND_MOST);
        if std::mem::replace(&mut gateway.state().is_stuck, is_stuck) != is_stuck {
            log::info!(is_stuck; "being behind the other instances has lasted or ended");
        }
        let Some((address, question)) = question else {
            return;
        };
        match tokio::time::timeout(ASK_TIMEOUT, self.ask(address, question)).await {
            Ok(Ok(answer)) => {
                log::info!(
                    peer:% = address, upstreams_from = question.upstreams_from, upstreams_offset = answer.upstreams_offset,
                    upstreams = answer.upstreams.len(), settings_bytes = answer.settings.len();
                    "caught up from another instance"
                );
                take(gateway, answer);
            }
            Ok(Err(err)) => {
                self.link = None;
                log::info!(peer:% = address, error:% = err; "another instance could not be asked");
            }
            Err(_) => {
                self.link = None;
                log::info!(peer:% = address; "another instance did not answer in time");
            }
        }
    }

    /// Whom to ask for what, if anybody knows more.
    fn next_question(&mut self, gateway: &Gateway, now: MonoTime) -> Option<(SocketAddr, ChangeQuestion)> {
        let state = gateway.state();
        let own = state.sync_state();
        let card = &gateway.parts.card;
        let view = FleetView {
            own: card,
            members: &state.members,
            now,
        };
        let informed: Vec<&MemberState> = state
            .members
            .live(now)
            .filter(|member| member.report.stage != MemberStage::Starting)
            .collect();
        let ahead: Vec<&MemberState> = informed
            .iter()
            .copied()
            .filter(|member| is_ahead(&member.report.sync_state, &own))
            .collect();
        if ahead.is_empty() {
            self.behind_since = None;
            return self.differing(&informed, &own, now);
        }
        let since = *self.behind_since.get_or_insert(now);
        if view.is_follower() && now.since(since) < OWN_POLL_FIRST {
            return None;
        }
        let question = ChangeQuestion {
            settings_version: own.settings_version,
            upstreams_from: own.upstreams_offset,
        };
        Some((self.pick(&ahead, &card.data_centre), question))
    }

    /// Asks for the whole listing if another instance's differs at the same offset for a while.
    fn differing(
        &mut self,
        informed: &[&MemberState],
        own: &SyncState,
        now: MonoTime,
    ) -> Option<(SocketAddr, ChangeQuestion)> {
        let other = informed.iter().find(|member| {
            let sync_state = &member.report.sync_state;
            sync_state.upstreams_offset == own.upstreams_offset
                && sync_state.upstreams_digest != own.upstreams_digest
        });
        let Some(other) = other else {
            self.difference = None;
            return None;
        };
        let digest = other.report.sync_state.upstreams_digest;
        match &mut self.difference {
            Some(known) if known.digest == digest => {
                let is_due = !known.is_asked && now.since(known.since) >= DIFFER_PATIENCE;
                known.is_asked |= is_due;
                let question = ChangeQuestion {
                    settings_version: own.settings_version,
                    upstreams_from: 0,
                };
                is_due.then(|| (other.card().peer, question))
            }
            _ => {
                self.difference = Some(ListingDifference {
                    digest,
                    since: now,
                    is_asked: false,
                });
                None
            }
        }
    }

    /// The instance that was asked last if it still knows more, or else a near one.
    fn pick(&self, ahead: &[&MemberState], data_centre: &DataCentre) -> SocketAddr {
        if let Some((address, _)) = &self.link
            && ahead.iter().any(|member| member.card().peer == *address)
        {
            return *address;
        }
        let near: Vec<&&MemberState> = ahead
            .iter()
            .filter(|member| member.card().data_centre == *data_centre)
            .collect();
        let at = rand::rng().random_range(0..near.len().max(ahead.len()));
        match near.get(at % near.len().max(1)) {
            Some(member) => member.card().peer,
            None => ahead[at % ahead.len()].card().peer,
        }
    }

    async fn ask(&mut self, address: SocketAddr, question: ChangeQuestion) -> std::io::Result<ChangeAnswer> {
        let kept = self.link.take();
        let mut link = match kept {
            Some((known, link)) if known == address && !link.is_closed() => link,
            _ => connect(address).await?,
        };
        let question = codec::encode(&question).map_err(std::io::Error::other)?;
        let request = http::Request::post("/")
            .header(http::header::HOST, address.to_string())
            .body(Full::new(question))
            .map_err(std::io::Error::other)?;
        let response = link.send_request(request).await.map_err(std::io::Error::other)?;
        let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
        let bytes = body.map_err(std::io::Error::other)?.to_bytes();
        let answer = codec::decode(&bytes).map_err(std::io::Error::other)?;
        self.link = Some((address, link));
        Ok(answer)
    }
}

fn is_ahead(other: &SyncState, own: &SyncState) -> bool {
    other.settings_version > own.settings_version || other.upstreams_offset > own.upstreams_offset
}

fn take(gateway: &Gateway, answer: ChangeAnswer) {
    if !answer.settings.is_empty() {
        apply_settings(gateway, &Bytes::from(answer.settings), "instance");
    }
    for (key, offset, value) in answer.upstreams {
        let record = KeyedRecord {
            offset,
            key,
            value: value.map(Bytes::from),
        };
        apply_upstream(gateway, &record);
    }
    let mut state = gateway.state();
    state.settings_offset = state.settings_offset.max(answer.settings_offset);
    state.upstreams_offset = state.upstreams_offset.max(answer.upstreams_offset);
    drop(state);
    become_ready(gateway);
}

/// Answers another instance's question.
pub fn answer(gateway: &Gateway, question: &[u8]) -> Bytes {
    let question: ChangeQuestion = match codec::decode(question) {
        Ok(question) => question,
        Err(err) => {
            log::warn!(error:% = err; "a question for changes can't be read");
            return Bytes::new();
        }
    };
    let state = gateway.state();
    let knows_newer = state.sync_state().settings_version > question.settings_version;
    let answer = ChangeAnswer {
        settings: if knows_newer {
            state.settings_raw.to_vec()
        } else {
            Vec::new()
        },
        settings_offset: state.settings_offset,
        upstreams: state
            .upstreams_raw
            .iter()
            .filter(|(_, raw)| raw.offset >= question.upstreams_from)
            .map(|(key, raw)| {
                let value = raw.value.as_ref().map(|value| value.to_vec());
                (key.clone(), raw.offset, value)
            })
            .collect(),
        upstreams_offset: state.upstreams_offset,
    };
    drop(state);
    codec::encode(&answer).unwrap_or_else(|err| {
        log::error!(error:% = err; "an answer about changes can't be written");
        Bytes::new()
    })
}
