//! Customers' allowances: admission of requests, and the totals that instances tell each other.
//!
//! The decisions are made in `marigoldlock_core::gateway::allowance`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use bytes::Bytes;
use marigoldlock_core::gateway::allowance::{AllowanceDecision, ChargeReport, InstanceKey};
use marigoldlock_core::gateway::exchange::RoundTargets;
use marigoldlock_core::gateway::prelude::*;
use marigoldlock_core::prelude::*;
use rand::Rng;
use tokio::net::UdpSocket;

use crate::logging::DECISION_TARGET;

use super::call::Call;
use super::heartbeats::{Datagram, MAX_DATAGRAM_BYTES, TARGET_DATAGRAM_BYTES};
use super::{Gateway, codec};

/// Rounds of heartbeats between two reports of the totals of all customers; the others name those that changed.
const COMPLETE_REPORT_ROUNDS: u64 = 60;

/// Rounds in a row in which the totals of all customers are told, since datagrams are lost.
const COMPLETE_REPORT_REPEATS: u64 = 3;

/// Reports of charges for the targets of one round.
pub struct ChargeReports {
    /// For the instances of the same data centre.
    pub for_local: Vec<ChargeReport>,
    /// For those of other data centres; empty if this instance is no relay.
    pub for_remote: Vec<ChargeReport>,
    /// One instance of each other data centre; the rounds take the relays there in turn.
    pub remote: Vec<SocketAddr>,
}

impl Gateway {
    /// Takes over what this instance hears of the fleet now.
    pub fn update_allowances(&self) {
        let (now, bounds) = (self.now(), self.bounds().allowance);
        let mut state = self.state();
        let share = state.members.share(state.has_member_list, now);
        let liveness_timeout = state.members.liveness_timeout();
        state.allowances.update(share, liveness_timeout, bounds, now);
    }

    /// Reports for one round of heartbeats; `None` if no customer has an allowance.
    pub fn charge_reports(&self, targets: &RoundTargets, round: u64) -> Option<ChargeReports> {
        let now = self.now();
        let card = &self.parts.card;
        let state = self.state();
        if state.allowances.is_empty() {
            return None;
        }
        let is_relay = targets.is_relay;
        let is_complete = round % COMPLETE_REPORT_ROUNDS < COMPLETE_REPORT_REPEATS;
        let sequence = state.reports_sent;
        let own = state
            .allowances
            .own_report(&card.id, card.incarnation, sequence, is_complete, now);
        let (mut for_local, mut for_remote) = (vec![own.clone()], vec![own]);
        if is_relay {
            let local: FastSet<InstanceKey> = state
                .members
                .all()
                .map(|member| member.card())
                .filter(|member| member.data_centre == card.data_centre)
                .map(|member| InstanceKey::from(&member.id))
                .collect();
            let is_local = |key: InstanceKey| local.contains(&key);
            let is_remote = |key: InstanceKey| !local.contains(&key);
            for_local.extend(state.allowances.forwarded(is_remote, is_complete, now));
            for_remote.extend(state.allowances.forwarded(is_local, is_complete, now));
        }
        let has_news = |report: &ChargeReport| report.is_complete || !report.totals.is_empty();
        for_local.retain(has_news);
        for_remote.retain(has_news);
        let remote = state.members.in_turn(&targets.remote, round);
        Some(ChargeReports {
            for_local,
            for_remote,
            remote,
        })
    }

    /// Takes over the totals of other instances.
    pub fn record_charges(&self, reports: &[ChargeReport]) {
        let now = self.now();
        let own = InstanceKey::from(&self.parts.card.id);
        let mut state = self.state();
        for report in reports.iter().filter(|report| report.instance != own) {
            state.allowances.record(report, now);
        }
    }
}

/// Sends reports of charges to other instances.
pub async fn send_charges(socket: &UdpSocket, reports: &[ChargeReport], addresses: &[SocketAddr]) {
    for bytes in encode_reports(reports) {
        for address in addresses {
            if let Err(err) = socket.send_to(&bytes, address).await {
                log::debug!(peer:% = address, error:% = err; "charges not sent");
            }
        }
    }
}

/// Encodes reports as datagrams that the receiver's buffer holds.
fn encode_reports(reports: &[ChargeReport]) -> Vec<Bytes> {
    if reports.is_empty() {
        return Vec::new();
    }
    match codec::encode(&Datagram::<()>::Charges(reports.to_vec())) {
        Ok(bytes) if bytes.len() > TARGET_DATAGRAM_BYTES && reports.len() > 1 => {
            let (first, second) = reports.split_at(reports.len() / 2);
            let mut datagrams = encode_reports(first);
            datagrams.extend(encode_reports(second));
            datagrams
        }
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => vec![bytes],
        Ok(bytes) => {
            log::error!(bytes = bytes.len(); "a report of charges is too large; not sent");
            Vec::new()
        }
        Err(err) => {
            log::error!(error:% = err; "charges can't be encoded");
            Vec::new()
        }
    }
}

/// Charge of a request to its customer's allowance. It is handed back when the guard is dropped, unless the request has run
/// or may have.
pub struct AllowanceGuard {
    gateway: Arc<Gateway>,
    customer: CustomerId,
    cost: u64,
    /// Runs that have taken place or may have, or are being sent; each is charged.
    runs: AtomicU32,
}

impl AllowanceGuard {
    /// Counts a run that is about to be sent. Each run beyond the first is charged once more.
    pub fn start_run(&self) {
        if self.runs.fetch_add(1, Ordering::Relaxed) > 0 {
            let now = self.gateway.now();
            let mut state = self.gateway.state();
            state.allowances.charge_again(&self.customer, self.cost, now);
        }
    }

    /// Takes back a run that has certainly not taken place.
    pub fn cancel_run(&self) {
        if self.runs.fetch_sub(1, Ordering::Relaxed) > 1 {
            self.release();
        }
    }

    fn release(&self) {
        let now = self.gateway.now();
        let mut state = self.gateway.state();
        state.allowances.release(&self.customer, self.cost, now);
    }
}

impl Drop for AllowanceGuard {
    fn drop(&mut self) {
        if *self.runs.get_mut() == 0 {
            self.release();
        }
    }
}

impl Call {
    /// Charges the request to its customer's allowance.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the allowance is used up.
    pub fn charge_allowance(&mut self) -> Result<(), Refusal> {
        let Some(owner) = &self.owner else {
            return Ok(());
        };
        let now = self.gateway.now();
        let random = rand::rng().random();
        let mut state = self.gateway.state();
        let Some(cost) = state.allowances.cost(&owner.customer, self.head.prompt.as_ref()) else {
            return Ok(());
        };
        let decision = state.allowances.try_charge(&owner.customer, cost, random, now);
        let version = state.settings.as_ref().map_or(0, |settings| settings.version);
        drop(state);
        match decision {
            AllowanceDecision::Admitted => {
                self.allowance = Some(AllowanceGuard {
                    gateway: Arc::clone(&self.gateway),
                    customer: owner.customer.clone(),
                    cost,
                    runs: AtomicU32::new(0),
                });
                metrics::counter!("gateway_allowance_requests_total", "outcome" => "admitted").increment(1);
                Ok(())
            }
            AllowanceDecision::Exhausted { retry_after, state } => {
                log::info!(
                    target: DECISION_TARGET,
                    request = self.head.attempt_id, customer:% = owner.customer, cost, left = state.level,
                    demand_per_s = state.demand_per_s, rate_per_s = state.rate_per_s, settings_version = version,
                    retry_after_ms = retry_after.as_millis() as u64;
                    "the customer's allowance is used up"
                );
                metrics::counter!("gateway_allowance_requests_total", "outcome" => "refused").increment(1);
                Err(Refusal::new(RefusalCause::AllowanceExhausted).retry_after(retry_after))
            }
        }
    }
}
