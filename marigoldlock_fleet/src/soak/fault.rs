//! Schedule and effects of the faults of a soak test.

use std::time::Duration;

use eyre::Result;
use marigoldlock_standin::site::{StoreCopy, site_settings};
use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use super::SoakSite;
use super::crashing;
use crate::link::LinkMode;
use crate::site::BASE_VERSION;

/// Approximate mean time between the starts of two faults.
const MEAN_FAULT_INTERVAL: Duration = Duration::from_millis(900);

/// Upper limit of a fault's duration.
const MAX_FAULT_DURATION: Duration = Duration::from_millis(4_500);

/// Time from the start of the traffic to the first fault.
const FIRST_FAULT_DELAY: Duration = Duration::from_millis(500);

/// Approximate mean time between two returns of the store from a copy.
const MEAN_COPY_INTERVAL: Duration = Duration::from_millis(5_000);

/// Time for which the store is away before and after it comes back from a copy.
const COPY_OUTAGE: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(200));

/// Faults that a plan draws from.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FaultMix {
    /// All faults.
    #[default]
    Any,
    /// All upstreams lose their answers the whole time, and instances restart.
    Retries,
}

/// A fault with its start and duration.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Time from the start.
    pub at: Duration,
    /// Duration of the fault.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// A fault. Instances and upstreams are given by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A process is killed and restarted.
    Kill(usize),
    /// A process is terminated gracefully and restarted.
    Terminate(usize),
    /// A process is paused.
    Pause(usize),
    /// A process gets `HUP`, which makes it reload its settings file.
    Hangup(usize),
    /// All processes are killed at once.
    KillAll,
    /// Half of the processes, from an index on, are terminated gracefully at once.
    TerminateHalf(usize),
    /// Half of the processes, from an index on, are paused at once.
    PauseHalf(usize),
    /// The proxy between an instance and the store is in this mode.
    StoreLink(usize, LinkMode),
    /// The store refuses the calls of an instance.
    StoreRefuses(usize),
    /// The store refuses all calls.
    StoreDown,
    /// The store delays its answers.
    StoreSlow,
    /// Appends are applied but not answered.
    LostAppends,
    /// Appends are not answered and are applied later.
    LateAppends,
    /// The store comes back from a copy that is as old as the fault is long. Operators and upstreams write again what they
    /// have written. The number tells faults that overlap apart.
    StoreCopied(usize),
    /// The store keeps only the newest record of each key.
    Compaction,
    /// The proxy in front of an upstream is in this mode.
    RunnerLink(usize, LinkMode),
    /// An upstream refuses requests because it is full.
    RunnerFull(usize),
    /// An upstream runs requests without answering them.
    RunnerLosesAnswers(usize),
    /// All upstreams run requests without answering them.
    AllLoseAnswers,
    /// An upstream sends answers that belong to other requests.
    RunnerCrossed(usize),
    /// An upstream's streams end early.
    RunnerBreaks(usize),
    /// An upstream states that it takes two requests per second from all instances together.
    RunnerLimited(usize),
    /// An upstream announces that it is draining, and returns as a new start.
    RunnerLeaves(usize),
    /// A new version of the settings is published.
    NewSettings,
}

/// Scheduled start or end of a fault.
#[derive(Clone, Copy, Debug)]
pub struct FaultStep {
    /// Time from the start.
    pub at: Duration,
    /// The fault that starts or ends.
    pub change: FaultChange,
}

/// Start or end of a fault.
#[derive(Clone, Copy, Debug)]
pub enum FaultChange {
    /// The fault starts.
    Begin(Fault),
    /// The fault ends.
    End(Fault),
}

/// The faults of one seed.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws random faults that start within `fault_period`.
    pub fn draw(
        random: &mut StdRng,
        mix: FaultMix,
        instances: usize,
        upstreams: usize,
        fault_period: Duration,
    ) -> Self {
        let mut faults = Vec::new();
        let mut at = FIRST_FAULT_DELAY;
        if mix == FaultMix::Retries {
            faults.push(PlannedFault {
                at,
                duration: fault_period,
                fault: Fault::AllLoseAnswers,
            });
        }
        while at < fault_period {
            let fault = match mix {
                FaultMix::Any => draw_fault(random, instances, upstreams),
                FaultMix::Retries => draw_restart(random, instances),
            };
            let duration = MAX_FAULT_DURATION.mul_f64(random.random_range(0.1..1.0));
            faults.push(PlannedFault { at, duration, fault });
            // The intervals vary widely, so that faults occur alone, in quick succession and overlapping.
            at += MEAN_FAULT_INTERVAL.mul_f64(-f64::ln(random.random_range(0.02..1.0)));
        }
        if mix == FaultMix::Any {
            // Drawn last, so that a seed keeps its other faults.
            draw_copies(random, fault_period, &mut faults);
        }
        Self { faults }
    }

    /// Returns the starts and ends of all faults in the order of time.
    pub fn steps(&self) -> Vec<FaultStep> {
        let mut steps: Vec<FaultStep> = self
            .faults
            .iter()
            .flat_map(|planned| {
                let begin = FaultStep {
                    at: planned.at,
                    change: FaultChange::Begin(planned.fault),
                };
                let end = FaultStep {
                    at: planned.at + planned.duration,
                    change: FaultChange::End(planned.fault),
                };
                [begin, end]
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        steps
    }

    /// Returns the faults in the order of their starts.
    pub fn into_faults(self) -> Vec<PlannedFault> {
        self.faults
    }
}

/// Draws returns of the store from a copy, each amid an outage. They may overlap.
fn draw_copies(random: &mut StdRng, fault_period: Duration, faults: &mut Vec<PlannedFault>) {
    let interval = |random: &mut StdRng| MEAN_COPY_INTERVAL.mul_f64(random.random_range(0.2..1.8));
    let mut at = interval(random);
    let mut number = 0;
    while at < fault_period {
        let duration = MAX_FAULT_DURATION.mul_f64(random.random_range(0.3..1.0));
        faults.push(PlannedFault {
            at,
            duration,
            fault: Fault::StoreCopied(number),
        });
        let (before, after) = COPY_OUTAGE;
        faults.push(PlannedFault {
            at: at + duration - before,
            duration: before + after,
            fault: Fault::StoreDown,
        });
        at += interval(random);
        number += 1;
    }
}

fn draw_restart(random: &mut StdRng, instances: usize) -> Fault {
    match random.random_range(0..4) {
        0 => Fault::KillAll,
        1 => Fault::Terminate(random.random_range(0..instances)),
        _ => Fault::Kill(random.random_range(0..instances)),
    }
}

fn draw_fault(random: &mut StdRng, instances: usize, upstreams: usize) -> Fault {
    let instance = random.random_range(0..instances);
    let upstream = random.random_range(0..upstreams);
    let mode = match random.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(random.random_range(20..400))),
        1 => LinkMode::Reset,
        2 => LinkMode::OneWay,
        _ => LinkMode::Silent,
    };
    match random.random_range(0..26) {
        0..3 => Fault::Kill(instance),
        3..5 => Fault::Terminate(instance),
        5..7 => Fault::Pause(instance),
        7 => Fault::Hangup(instance),
        8 => match random.random_range(0..3) {
            0 => Fault::KillAll,
            1 => Fault::TerminateHalf(instance),
            _ => Fault::PauseHalf(instance),
        },
        9..12 => Fault::StoreLink(instance, mode),
        12 => Fault::StoreRefuses(instance),
        13 => Fault::StoreDown,
        14 => Fault::StoreSlow,
        15 => Fault::LostAppends,
        16 => Fault::LateAppends,
        17 => Fault::Compaction,
        18 => Fault::RunnerLink(upstream, mode),
        19 => Fault::RunnerFull(upstream),
        20 => Fault::RunnerLosesAnswers(upstream),
        21 => Fault::RunnerCrossed(upstream),
        22 => Fault::RunnerBreaks(upstream),
        23 => Fault::RunnerLimited(upstream),
        24 => Fault::AllLoseAnswers,
        _ => match random.random_range(0..2) {
            0 => Fault::RunnerLeaves(upstream),
            _ => Fault::NewSettings,
        },
    }
}

impl SoakSite {
    /// Starts or ends a fault.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be signalled.
    pub fn apply(&mut self, change: &FaultChange) -> Result<()> {
        let (fault, is_active) = match *change {
            FaultChange::Begin(fault) => (fault, true),
            FaultChange::End(fault) => (fault, false),
        };
        match fault {
            Fault::Kill(index) if is_active => self.instances[index].signal(Signal::KILL)?,
            Fault::Terminate(index) if is_active => self.instances[index].signal(Signal::TERM)?,
            Fault::Hangup(index) if is_active => self.instances[index].signal(Signal::HUP)?,
            Fault::KillAll if is_active => {
                for instance in &mut self.instances {
                    instance.signal(Signal::KILL)?;
                }
            }
            Fault::TerminateHalf(first) if is_active => self.signal_half(first, Signal::TERM)?,
            Fault::Kill(_)
            | Fault::Terminate(_)
            | Fault::Hangup(_)
            | Fault::KillAll
            | Fault::TerminateHalf(_) => {}
            Fault::Pause(index) => {
                self.instances[index].signal(if is_active { Signal::STOP } else { Signal::CONT })?;
            }
            Fault::PauseHalf(first) => {
                self.signal_half(first, if is_active { Signal::STOP } else { Signal::CONT })?;
            }
            Fault::StoreLink(index, mode) => {
                self.store_links[index].set_mode(effective_mode(is_active, mode))
            }
            Fault::StoreRefuses(index) => self.store.set_endpoint_refusal(index, is_active.then_some(429)),
            Fault::StoreDown => self
                .store
                .set_faults(|faults| faults.refuse = is_active.then_some(503)),
            Fault::StoreSlow => {
                let delay = Duration::from_millis(if is_active { 250 } else { 0 });
                self.store.set_faults(|faults| faults.delay = delay);
            }
            Fault::LostAppends => self
                .store
                .set_faults(|faults| faults.lost_answers = if is_active { 2 } else { 0 }),
            Fault::LateAppends => self.store.set_faults(|faults| {
                faults.delayed_appends = if is_active { 2 } else { 0 };
                faults.append_delay = Duration::from_millis(2_500);
            }),
            Fault::StoreCopied(number) if is_active => {
                self.copies.insert(number, self.store.copy());
            }
            Fault::StoreCopied(number) => {
                if let Some(copy) = self.copies.remove(&number) {
                    self.restore_store(&copy);
                }
            }
            Fault::Compaction if is_active => self.store.compact("keyed.servers"),
            Fault::Compaction => {}
            Fault::RunnerLink(index, mode) => {
                self.upstream_links[index].set_mode(effective_mode(is_active, mode))
            }
            Fault::RunnerFull(index) => {
                self.upstreams[index].set_faults(|faults| faults.rejects_requests = is_active)
            }
            Fault::RunnerLosesAnswers(index) => {
                self.upstreams[index].set_faults(|faults| faults.drops_answers = is_active);
            }
            Fault::AllLoseAnswers => {
                for upstream in &self.upstreams {
                    upstream.set_faults(|faults| faults.drops_answers = is_active);
                }
            }
            Fault::RunnerCrossed(index) => {
                self.upstreams[index].set_faults(|faults| faults.crosses_answers = is_active)
            }
            Fault::RunnerBreaks(index) => {
                self.upstreams[index].set_faults(|faults| faults.cut_stream_after = is_active.then_some(2));
            }
            Fault::RunnerLimited(index) => {
                self.upstreams[index].set_faults(|faults| faults.rate_limit = is_active.then_some(2.0));
            }
            Fault::RunnerLeaves(index) => self.publish_upstream_entry(index, is_active),
            Fault::NewSettings if is_active => {
                self.settings_version += 3;
                self.store.put_settings(&site_settings(self.settings_version));
            }
            Fault::NewSettings => {}
        }
        Ok(())
    }

    /// Signals half of the processes, at least two, from an index on.
    fn signal_half(&mut self, first: usize, signal: Signal) -> Result<()> {
        let count = self.instances.len();
        for offset in 0..(count / 2).max(2).min(count) {
            self.instances[(first + offset) % count].signal(signal)?;
        }
        Ok(())
    }

    /// Brings the store back from a copy, and writes again what operators and upstreams have written.
    fn restore_store(&mut self, copy: &StoreCopy) {
        self.store.restore(copy);
        self.store.put_settings(&site_settings(self.settings_version));
        for (id, entry) in &self.entries {
            self.store.put_upstream(id, Some(entry));
        }
    }

    /// Publishes the entry of an upstream that is draining, or has started again.
    pub fn publish_upstream_entry(&mut self, index: usize, is_draining: bool) {
        let upstream = &self.upstreams[index];
        let mut entry = upstream.entry(if is_draining { "draining" } else { "ready" });
        entry["Address"] = self.upstream_links[index].address().to_string().into();
        if !self.names_versions {
            entry["Version"] = BASE_VERSION.into();
        }
        if !is_draining {
            self.upstream_starts += 1;
        }
        entry["born"] = self.upstream_starts.into();
        self.store.put_upstream(upstream.id(), Some(&entry));
        self.entries.insert(upstream.id().to_owned(), entry);
    }

    /// Clears all faults and resumes paused processes.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be signalled.
    pub fn clear_faults(&mut self) -> Result<()> {
        for instance in &mut self.instances {
            instance.signal(Signal::CONT)?;
        }
        self.copies.clear();
        self.store.set_faults(|faults| *faults = Default::default());
        for (index, link) in self.store_links.iter().enumerate() {
            link.set_mode(LinkMode::Open);
            self.store.set_endpoint_refusal(index, None);
        }
        for link in &self.upstream_links {
            link.set_mode(LinkMode::Open);
        }
        for index in 0..self.upstreams.len() {
            self.upstreams[index].set_faults(|faults| *faults = Default::default());
            crashing::arm(&self.upstreams[index]);
            self.publish_upstream_entry(index, false);
        }
        Ok(())
    }
}

fn effective_mode(is_active: bool, mode: LinkMode) -> LinkMode {
    if is_active { mode } else { LinkMode::Open }
}
