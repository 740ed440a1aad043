//! Which faults come when, and what they do.

use std::time::Duration;

use eyre::Result;
use marigoldlock_standin::site::site_settings;
use rand::Rng;
use rand::rngs::StdRng;
use rustix::process::Signal;

use super::SoakSite;
use super::proxy::LinkMode;

/// Time between the beginnings of two faults, on average.
const FAULT_EVERY: Duration = Duration::from_millis(900);

/// Longest fault.
const FAULT_MOST: Duration = Duration::from_millis(4_500);

/// A fault and when it strikes.
#[derive(Clone, Debug)]
pub struct PlannedFault {
    /// Time from the start.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// What it is.
    pub fault: Fault,
}

/// A fault; instances and upstreams are named by their index.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A process is killed and comes back.
    Kill(usize),
    /// A process is asked to end, and comes back.
    Terminate(usize),
    /// A process stands still.
    Pause(usize),
    /// A process is told that its settings file has changed.
    Hangup(usize),
    /// All processes are killed at once.
    KillAll,
    /// The connections of an instance to the store are harmed.
    StoreLink(usize, LinkMode),
    /// The store refuses an instance.
    StoreRefuses(usize),
    /// The store refuses all.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// Appends are done and not answered.
    LostAppends,
    /// Appends are not answered and done later.
    LateAppends,
    /// The store drops all records but the newest of each key.
    Compaction,
    /// The connections of all instances to an upstream are harmed.
    RunnerLink(usize, LinkMode),
    /// An upstream turns requests away.
    RunnerFull(usize),
    /// An upstream runs requests and loses the answers.
    RunnerLosesAnswers(usize),
    /// An upstream's answers belong to other requests.
    RunnerCrossed(usize),
    /// An upstream's streams break off.
    RunnerBreaks(usize),
    /// An upstream says that it leaves, and comes back as a new start.
    RunnerLeaves(usize),
    /// The settings change.
    NewSettings,
}

/// One change that a fault makes: its beginning or its end.
#[derive(Clone, Copy, Debug)]
pub struct FaultStep {
    /// Time from the start.
    pub at: Duration,
    /// What changes.
    pub change: FaultChange,
}

/// Beginning or end of a fault.
#[derive(Clone, Copy, Debug)]
pub enum FaultChange {
    /// The fault begins.
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
    /// Draws faults for a time.
    pub fn draw(random: &mut StdRng, instances: usize, runners: usize, faults_for: Duration) -> Self {
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < faults_for {
            let fault = draw_fault(random, instances, runners);
            let lasts = FAULT_MOST.mul_f64(random.random_range(0.1..1.0));
            faults.push(PlannedFault { at, lasts, fault });
            // Pauses of very different length: faults come alone, in series and on top of each other.
            at += FAULT_EVERY.mul_f64(-f64::ln(random.random_range(0.02..1.0)));
        }
        Self { faults }
    }

    /// Beginnings and ends in order.
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
                    at: planned.at + planned.lasts,
                    change: FaultChange::End(planned.fault),
                };
                [begin, end]
            })
            .collect();
        steps.sort_by_key(|step| step.at);
        steps
    }

    /// The faults themselves.
    pub fn into_faults(self) -> Vec<PlannedFault> {
        self.faults
    }
}

fn draw_fault(random: &mut StdRng, instances: usize, runners: usize) -> Fault {
    let instance = random.random_range(0..instances);
    let runner = random.random_range(0..runners);
    let mode = match random.random_range(0..4) {
        0 => LinkMode::Delayed(Duration::from_millis(random.random_range(20..400))),
        1 => LinkMode::Reset,
        2 => LinkMode::OneWay,
        _ => LinkMode::Silent,
    };
    match random.random_range(0..24) {
        0..3 => Fault::Kill(instance),
        3..5 => Fault::Terminate(instance),
        5..7 => Fault::Pause(instance),
        7 => Fault::Hangup(instance),
        8 => Fault::KillAll,
        9..12 => Fault::StoreLink(instance, mode),
        12 => Fault::StoreRefuses(instance),
        13 => Fault::StoreDown,
        14 => Fault::StoreSlow,
        15 => Fault::LostAppends,
        16 => Fault::LateAppends,
        17 => Fault::Compaction,
        18 => Fault::RunnerLink(runner, mode),
        19 => Fault::RunnerFull(runner),
        20 => Fault::RunnerLosesAnswers(runner),
        21 => Fault::RunnerCrossed(runner),
        22 => Fault::RunnerBreaks(runner),
        _ => match random.random_range(0..2) {
            0 => Fault::RunnerLeaves(runner),
            _ => Fault::NewSettings,
        },
    }
}

impl SoakSite {
    /// Begins or ends a fault.
    ///
    /// # Errors
    ///
    /// If a process can't be signalled.
    pub fn apply(&mut self, change: &FaultChange) -> Result<()> {
        let (fault, begins) = match *change {
            FaultChange::Begin(fault) => (fault, true),
            FaultChange::End(fault) => (fault, false),
        };
        match fault {
            Fault::Kill(at) if begins => self.instances[at].signal(Signal::KILL)?,
            Fault::Terminate(at) if begins => self.instances[at].signal(Signal::TERM)?,
            Fault::Hangup(at) if begins => self.instances[at].signal(Signal::HUP)?,
            Fault::KillAll if begins => {
                for instance in &mut self.instances {
                    instance.signal(Signal::KILL)?;
                }
            }
            Fault::Kill(_) | Fault::Terminate(_) | Fault::Hangup(_) | Fault::KillAll => {}
            Fault::Pause(at) => {
                self.instances[at].signal(if begins { Signal::STOP } else { Signal::CONT })?;
            }
            Fault::StoreLink(at, mode) => self.store_links[at].set_mode(mode_while(begins, mode)),
            Fault::StoreRefuses(at) => self.store.set_endpoint_refusal(at, begins.then_some(429)),
            Fault::StoreDown => self
                .store
                .set_faults(|faults| faults.refuse = begins.then_some(503)),
            Fault::StoreSlow => {
                let delay = Duration::from_millis(if begins { 250 } else { 0 });
                self.store.set_faults(|faults| faults.delay = delay);
            }
            Fault::LostAppends => self
                .store
                .set_faults(|faults| faults.lost_answers = if begins { 2 } else { 0 }),
            Fault::LateAppends => self.store.set_faults(|faults| {
                faults.delayed_appends = if begins { 2 } else { 0 };
                faults.append_delay = Duration::from_millis(2_500);
            }),
            Fault::Compaction if begins => self.store.compact("keyed.servers"),
            Fault::Compaction => {}
            Fault::RunnerLink(at, mode) => self.runner_links[at].set_mode(mode_while(begins, mode)),
            Fault::RunnerFull(at) => self.runners[at].set_faults(|faults| faults.rejects_requests = begins),
            Fault::RunnerLosesAnswers(at) => {
                self.runners[at].set_faults(|faults| faults.drops_answers = begins);
            }
            Fault::RunnerCrossed(at) => self.runners[at].set_faults(|faults| faults.crosses_answers = begins),
            Fault::RunnerBreaks(at) => {
                self.runners[at].set_faults(|faults| faults.cut_stream_after = begins.then_some(2));
            }
            Fault::RunnerLeaves(at) => self.tell_runner(at, begins),
            Fault::NewSettings if begins => {
                self.settings_version += 3;
                self.store.put_settings(&site_settings(self.settings_version));
            }
            Fault::NewSettings => {}
        }
        Ok(())
    }

    fn tell_runner(&mut self, at: usize, leaves: bool) {
        let runner = &self.runners[at];
        let mut entry = runner.entry(if leaves { "draining" } else { "ready" });
        entry["Address"] = self.runner_links[at].address().to_string().into();
        if !leaves {
            self.runner_starts += 1;
        }
        entry["born"] = self.runner_starts.into();
        self.store.put_upstream(runner.id(), Some(&entry));
    }

    /// Ends whatever is still harmed.
    ///
    /// # Errors
    ///
    /// If a process can't be signalled.
    pub fn heal(&mut self) -> Result<()> {
        for instance in &mut self.instances {
            instance.signal(Signal::CONT)?;
        }
        self.store.set_faults(|faults| *faults = Default::default());
        for (at, link) in self.store_links.iter().enumerate() {
            link.set_mode(LinkMode::Open);
            self.store.set_endpoint_refusal(at, None);
        }
        for link in &self.runner_links {
            link.set_mode(LinkMode::Open);
        }
        for at in 0..self.runners.len() {
            self.runners[at].set_faults(|faults| *faults = Default::default());
            self.tell_runner(at, false);
        }
        Ok(())
    }
}

fn mode_while(begins: bool, mode: LinkMode) -> LinkMode {
    if begins { mode } else { LinkMode::Open }
}
