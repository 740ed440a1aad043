//! Model check of the gateway's duties at a store that comes back from a copy: claims, fixed counts and reports, with answers
//! that are under way and appends that are carried out late, also in a later era.

mod model_support;

use std::hash::{Hash, Hasher};

use derive_more::Display;
use marigoldlock_core::gateway::duty::{DutyRecord, DutyState};
use marigoldlock_core::gateway::era::{StoreEra, StorePosition};
use marigoldlock_core::prelude::*;
use marigoldlock_core::time::MonoTime;
use model_support::{StateSpace, assert_caught, assert_safe, extra_bound};

const NODES: usize = 2;

/// Usage windows; time ends with the last of them.
const WINDOWS: u8 = 1;

/// A deliberate error that the search has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SeededFault {
    None,
    /// Offsets and claims of the earlier era stay in use.
    CursorKept,
    /// The fencing number is the offset alone.
    TokenReused,
    /// Counts that the store has lost are reported, but not written again.
    RecordNotRewritten,
    /// Counts of any window are fixed, also if others may have been reported.
    WindowRecounted,
    /// An answer counts although the store has come back since it was sent.
    AnswerUndated,
    /// Counts of an earlier era are taken for those of this one.
    CountsUndated,
}

/// How often each disruption may happen.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Budget {
    restores: u8,
    kills: u8,
    losses: u8,
    /// Reads whose answer is under way while other things happen.
    slow_reads: u8,
    appends: u8,
}

const ONE_RESTORE: Budget = Budget {
    restores: 1,
    kills: 0,
    losses: 0,
    slow_reads: 0,
    appends: 4,
};

#[derive(Clone, Copy, Debug, Display)]
enum Step {
    #[display("a window ends")]
    Tick,
    #[display("the store comes back with {_0} records")]
    Restore(usize),
    #[display("{_0} learns the era from another instance")]
    Learn(usize),
    #[display("{_0} reads the stream")]
    Read(usize),
    #[display("the store answers a read of {_0}")]
    SlowRead(usize),
    #[display("{_0} gets the answer to its read")]
    ReadAnswer(usize),
    #[display("{_0} claims the duties")]
    Claim(usize),
    #[display("{_0} fixes the counts of window {_1}")]
    Fix(usize, u8),
    #[display("the store carries out the append of {_0}")]
    Store(usize),
    #[display("{_0} gets the answer to its append")]
    Answer(usize),
    #[display("the answer to the append of {_0} is lost")]
    Lose(usize),
    #[display("{_0} reports window {_1}")]
    Report(usize, u8),
    #[display("{_0} sends an order")]
    Order(usize),
    #[display("{_0} is killed and restarts")]
    Kill(usize),
}

/// An append on its way, and what the store has answered.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PendingAppend {
    record: Record,
    end: StorePosition,
    stored: Option<Result<StorePosition, StoreEra>>,
}

/// What the store has answered to a read from a position.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct PendingRead {
    from: StorePosition,
    era: StoreEra,
    records: Vec<Record>,
}

/// A record, in a form that can be compared.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Record {
    Claim {
        node: usize,
        boot: u8,
        era: StoreEra,
        first_window: u64,
    },
    Usage {
        window: u8,
        count: u64,
        era: StoreEra,
        first_window: u64,
    },
}

impl Record {
    /// The record as a reader in `era` takes it.
    fn read_in(self, era: StoreEra, fault: SeededFault) -> DutyRecord {
        match self {
            Self::Usage {
                window,
                count,
                first_window,
                ..
            } if fault == SeededFault::CountsUndated => Self::Usage {
                window,
                count,
                era,
                first_window,
            }
            .duty_record(),
            record => record.duty_record(),
        }
    }

    fn duty_record(self) -> DutyRecord {
        match self {
            Self::Claim {
                node,
                boot,
                era,
                first_window,
            } => DutyRecord::Claim {
                holder: name_of(node),
                incarnation: Incarnation(boot.into()),
                era,
                first_window,
            },
            Self::Usage {
                window,
                count,
                era,
                first_window,
            } => DutyRecord::Usage {
                window: window.into(),
                counts: vec![(CustomerId::from("acme"), count)],
                era,
                first_window,
            },
        }
    }
}

#[derive(Clone, Debug)]
struct Node {
    boot: u8,
    era: Option<StoreEra>,
    state: DutyState,
    held: Option<u64>,
    read: Option<PendingRead>,
    append: Option<PendingAppend>,
}

impl Node {
    fn new(boot: u8) -> Self {
        Self {
            boot,
            era: None,
            state: DutyState::default(),
            held: None,
            read: None,
            append: None,
        }
    }

    fn count(&self, window: u8) -> Option<u64> {
        let counts = self.state.usage(window.into())?;
        counts.first().map(|(_, count)| *count)
    }

    /// Everything that decides what the node does next.
    fn key(&self) -> impl Eq + Hash {
        let claim = self.state.claim();
        let windows: Vec<_> = (0..WINDOWS)
            .map(|window| {
                let index = u64::from(window);
                (
                    self.count(window),
                    self.state.is_stored(index),
                    self.state.is_open(index),
                )
            })
            .collect();
        (
            (self.boot, self.era, self.held),
            self.state.position(),
            claim.map(|claim| (claim.holder.clone(), claim.incarnation, claim.fence)),
            format!("{:?}", self.state.new_claim(name_of(0), Incarnation(0))),
            windows,
            self.read.clone(),
            self.append.clone(),
        )
    }
}

impl PartialEq for Node {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

/// A report that the platform has accepted: window, count, and whether the store held it.
type Report = (u8, u64, bool);

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    budget: Budget,
    now: u8,
    era: StoreEra,
    log: Vec<Record>,
    nodes: [Node; NODES],
    /// Fencing number and sender of the accepted calls with the highest number.
    highest: Option<(u64, usize)>,
    has_rivals: bool,
    reports: Vec<Report>,
}

struct DutySpace {
    budget: Budget,
    fault: SeededFault,
    /// Windows that have ended at the start.
    ended: u8,
    /// True if the first node holds the duties at the start, and the second has read its claim.
    is_claimed: bool,
}

fn name_of(node: usize) -> InstanceId {
    InstanceId::from(["a", "b"][node])
}

fn time() -> MonoTime {
    MonoTime::from_millis(1_000)
}

impl DutySpace {
    /// The node learns of an era; returns false if an answer of that era is out of date.
    fn enter(&self, world: &mut World, index: usize, era: StoreEra) -> bool {
        let now = world.now;
        let node = &mut world.nodes[index];
        if node.era == Some(era) || self.fault == SeededFault::CursorKept && node.era.is_some() {
            return true;
        }
        if node.era.is_some_and(|known| known > era) {
            return self.fault == SeededFault::AnswerUndated;
        }
        // The first boots are those of the whole fleet.
        let is_first = node.era.is_none() && node.boot == 0 && era == StoreEra(1);
        let may_know = is_first || self.fault == SeededFault::WindowRecounted;
        node.era = Some(era);
        node.held = None;
        node.state
            .enter_era(era, if may_know { 0 } else { now.into() }, time());
        true
    }

    fn fence(&self, fence: u64) -> u64 {
        if self.fault == SeededFault::TokenReused {
            fence & u64::from(u32::MAX)
        } else {
            fence
        }
    }

    fn own_fence(world: &World, index: usize) -> Option<u64> {
        let node = &world.nodes[index];
        let incarnation = Incarnation(node.boot.into());
        node.state.fence_of(&name_of(index), incarnation)
    }

    /// A call with the fencing number of a node; `None` if it is refused.
    fn call(&self, world: &mut World, index: usize) -> Option<()> {
        let fence = self.fence(world.nodes[index].held?);
        let (highest, holder) = world.highest.unwrap_or((fence, index));
        if fence < highest {
            return None;
        }
        world.has_rivals |= fence == highest && holder != index;
        world.highest = Some((fence, index));
        Some(())
    }

    fn send(world: &mut World, index: usize, record: Record) -> Option<()> {
        world.budget.appends = world.budget.appends.checked_sub(1)?;
        let node = &mut world.nodes[index];
        node.append = Some(PendingAppend {
            record,
            end: node.state.position(),
            stored: None,
        });
        Some(())
    }

    /// What the store answers to a read of a node now.
    fn read(world: &World, index: usize) -> Option<PendingRead> {
        let from = world.nodes[index].state.position();
        let offset = usize::try_from(from.offset).ok()?;
        let records = world.log.get(offset..).unwrap_or_default().to_vec();
        Some(PendingRead {
            from,
            era: world.era,
            records,
        })
    }

    fn read_answer(&self, world: &mut World, index: usize, read: PendingRead) {
        // An answer of another era than that of the position says nothing.
        let is_same = read.from.era == read.era || self.keeps_answers();
        if self.enter(world, index, read.era) && is_same {
            let node = &mut world.nodes[index];
            for (number, record) in (read.from.offset..).zip(read.records) {
                let record = record.read_in(node.state.position().era, self.fault);
                node.state.apply(number, record, time());
            }
        }
        if world.nodes[index].held != Self::own_fence(world, index) {
            world.nodes[index].held = None;
        }
    }

    fn run(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Tick if world.now < WINDOWS => world.now += 1,
            Step::Restore(length) if length <= world.log.len() => {
                world.budget.restores = world.budget.restores.checked_sub(1)?;
                world.log.truncate(length);
                world.era = StoreEra(world.era.0 + 1);
            }
            Step::Learn(index) => {
                let known = world.nodes.iter().filter_map(|node| node.era).max()?;
                if world.nodes[index].era? >= known {
                    return None;
                }
                self.enter(&mut world, index, known);
            }
            Step::Read(index) if world.nodes[index].read.is_none() => {
                let read = Self::read(&world, index)?;
                self.read_answer(&mut world, index, read);
            }
            Step::SlowRead(index) if world.nodes[index].read.is_none() => {
                world.budget.slow_reads = world.budget.slow_reads.checked_sub(1)?;
                world.nodes[index].read = Some(Self::read(&world, index)?);
            }
            Step::ReadAnswer(index) => {
                let read = world.nodes[index].read.take()?;
                self.read_answer(&mut world, index, read);
            }
            Step::Claim(index) => {
                let node = &world.nodes[index];
                node.era?;
                if node.held.is_some() || node.append.is_some() {
                    return None;
                }
                if let Some(fence) = Self::own_fence(&world, index) {
                    world.nodes[index].held = Some(fence);
                    return Some(world);
                }
                let DutyRecord::Claim {
                    era, first_window, ..
                } = node
                    .state
                    .new_claim(name_of(index), Incarnation(node.boot.into()))
                else {
                    return None;
                };
                let boot = node.boot;
                let record = Record::Claim {
                    node: index,
                    boot,
                    era,
                    first_window,
                };
                Self::send(&mut world, index, record)?;
            }
            Step::Fix(index, window) => {
                let node = &world.nodes[index];
                let is_due = window < world.now && node.held.is_some() && node.append.is_none();
                if !is_due || node.state.is_stored(window.into()) {
                    return None;
                }
                let count = match node.count(window) {
                    Some(_) if self.fault == SeededFault::RecordNotRewritten => return None,
                    Some(count) => count,
                    None if !node.state.is_open(window.into()) => return None,
                    // Each process has heard of other requests.
                    None => 1 + index as u64 + 10 * u64::from(node.boot),
                };
                let DutyRecord::Usage {
                    era, first_window, ..
                } = node.state.new_counts(window.into(), Vec::new())
                else {
                    return None;
                };
                let record = Record::Usage {
                    window,
                    count,
                    era,
                    first_window,
                };
                Self::send(&mut world, index, record)?;
            }
            Step::Store(index) => {
                let (era, end) = (world.era, world.log.len() as u64);
                let append = world.nodes[index].append.as_mut()?;
                if append.stored.is_some() {
                    return None;
                }
                let record = append.record;
                // The condition names an offset only, so it may hold in a later era.
                let is_stored = append.end.offset == end;
                append.stored = Some(if is_stored {
                    Ok(StorePosition::new(era, end))
                } else {
                    Err(era)
                });
                if is_stored {
                    world.log.push(record);
                }
            }
            Step::Answer(index) => {
                let append = world.nodes[index]
                    .append
                    .take_if(|append| append.stored.is_some())?;
                let answer = append.stored?;
                let era = answer.map_or_else(|era| era, |position| position.era);
                let is_same = era == append.end.era || self.keeps_answers();
                let is_current = self.enter(&mut world, index, era) && is_same;
                let node = &mut world.nodes[index];
                if let (Ok(position), true) = (answer, is_current) {
                    node.state
                        .apply(position.offset, append.record.duty_record(), time());
                }
            }
            Step::Lose(index) => {
                world.budget.losses = world.budget.losses.checked_sub(1)?;
                let append = world.nodes[index].append.as_mut()?;
                let stored = append.stored.take()?;
                // An append that was stored is not stored again.
                if stored.is_ok() {
                    world.nodes[index].append = None;
                }
            }
            Step::Report(index, window) => {
                let node = &world.nodes[index];
                let count = node.count(window)?;
                let is_stored = node.state.is_stored(window.into());
                if !is_stored && self.fault != SeededFault::RecordNotRewritten {
                    return None;
                }
                // What a node knows that has not learned of the era may be lost.
                let is_held = world.log.iter().any(|record| {
                    matches!(record, Record::Usage { window: held, count: value, .. } if (*held, *value) == (window, count))
                });
                let is_kept = node.era != Some(world.era) || is_held;
                if world.reports.contains(&(window, count, is_kept)) {
                    return None;
                }
                self.call(&mut world, index)?;
                world.reports.push((window, count, is_kept));
            }
            Step::Order(index) => {
                let before = world.highest;
                self.call(&mut world, index)?;
                if before == world.highest && !world.has_rivals {
                    return None;
                }
            }
            Step::Kill(index) => {
                world.budget.kills = world.budget.kills.checked_sub(1)?;
                let boot = world.nodes[index].boot + 1;
                world.nodes[index] = Node::new(boot);
            }
            Step::Tick | Step::Restore(_) | Step::Read(_) | Step::SlowRead(_) => return None,
        }
        Some(world)
    }

    fn keeps_answers(&self) -> bool {
        matches!(self.fault, SeededFault::AnswerUndated | SeededFault::CursorKept)
    }
}

impl StateSpace for DutySpace {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        let mut world = World {
            budget: self.budget,
            now: self.ended,
            era: StoreEra(1),
            log: Vec::new(),
            nodes: [Node::new(0), Node::new(0)],
            highest: None,
            has_rivals: false,
            reports: Vec::new(),
        };
        if self.is_claimed {
            let steps = [
                Step::Read(0),
                Step::Read(1),
                Step::Claim(0),
                Step::Store(0),
                Step::Answer(0),
            ];
            for step in steps.into_iter().chain([Step::Claim(0), Step::Read(1)]) {
                world = self.run(&world, step).expect("the store is in its first era");
            }
        }
        world
    }

    fn steps(&self, world: &World) -> Vec<(Step, World)> {
        let mut steps = vec![Step::Tick];
        steps.extend((0..=world.log.len()).map(Step::Restore));
        for node in 0..NODES {
            steps.extend([
                Step::Learn(node),
                Step::Read(node),
                Step::SlowRead(node),
                Step::ReadAnswer(node),
                Step::Claim(node),
                Step::Store(node),
                Step::Answer(node),
                Step::Lose(node),
                Step::Order(node),
                Step::Kill(node),
            ]);
            for window in 0..WINDOWS {
                steps.extend([Step::Fix(node, window), Step::Report(node, window)]);
            }
        }
        steps
            .into_iter()
            .filter_map(|step| Some((step, self.run(world, step)?)))
            .collect()
    }

    fn violation(&self, world: &World) -> Option<String> {
        if world.has_rivals {
            return Some("two holders sent one fencing number".into());
        }
        if world.reports.iter().any(|(_, _, is_kept)| !is_kept) {
            return Some("counts were reported that the store does not hold".into());
        }
        if world.nodes.iter().any(|node| has_skipped(world, node)) {
            return Some("a node has skipped records of the era".into());
        }
        for (window, count, _) in &world.reports {
            if world
                .reports
                .iter()
                .any(|(other, counts, _)| other == window && counts != count)
            {
                return Some(format!("window {window} was reported with different counts"));
            }
        }
        None
    }
}

/// True if a node that is in the store's era doesn't know the latest claim before its position.
fn has_skipped(world: &World, node: &Node) -> bool {
    if node.era != Some(world.era) {
        return false;
    }
    let position = node.state.position();
    let read = usize::try_from(position.offset).unwrap_or(usize::MAX);
    let Some(read) = world.log.get(..read) else {
        return true;
    };
    let claims = (0..).zip(read).filter_map(|(offset, record)| match record {
        Record::Claim { era, .. } if *era == world.era => Some(StorePosition::new(*era, offset).fence()),
        _ => None,
    });
    claims.last() != node.state.claim().map(|claim| claim.fence)
}

fn space(budget: Budget, fault: SeededFault) -> DutySpace {
    DutySpace {
        budget,
        fault,
        ended: 0,
        is_claimed: false,
    }
}

#[test]
fn a_store_that_comes_back_once_breaks_nothing() {
    let budget = Budget {
        appends: 3 + extra_bound(),
        ..ONE_RESTORE
    };
    assert_safe("store era, once", &space(budget, SeededFault::None));
}

#[test]
fn a_store_that_comes_back_twice_breaks_nothing() {
    let budget = Budget {
        restores: 2,
        appends: 3 + extra_bound(),
        ..ONE_RESTORE
    };
    let space = DutySpace {
        ended: WINDOWS,
        ..space(budget, SeededFault::None)
    };
    assert_safe("store era, twice", &space);
}

#[test]
fn a_killed_holder_at_a_store_that_comes_back_twice_breaks_nothing() {
    let budget = Budget {
        restores: 2,
        kills: 1,
        appends: 3 + extra_bound(),
        ..ONE_RESTORE
    };
    let space = DutySpace {
        ended: WINDOWS,
        is_claimed: true,
        ..space(budget, SeededFault::None)
    };
    assert_safe("store era, twice and killed", &space);
}

#[test]
fn a_restart_beside_a_store_that_comes_back_breaks_nothing() {
    let budget = Budget {
        kills: 1,
        appends: 3 + extra_bound(),
        ..ONE_RESTORE
    };
    let space = DutySpace {
        ended: WINDOWS,
        ..space(budget, SeededFault::None)
    };
    assert_safe("store era, killed", &space);
}

#[test]
fn an_answer_that_is_under_way_breaks_nothing() {
    let budget = Budget {
        slow_reads: 1,
        appends: 3 + extra_bound(),
        ..ONE_RESTORE
    };
    let space = DutySpace {
        ended: WINDOWS,
        ..space(budget, SeededFault::None)
    };
    assert_safe("store era, slow read", &space);
}

#[test]
fn lost_answers_beside_a_store_that_comes_back_break_nothing() {
    let budget = Budget {
        losses: 1,
        appends: 3 + extra_bound(),
        ..ONE_RESTORE
    };
    assert_safe("store era, lost answer", &space(budget, SeededFault::None));
}

/// Guards against counts that a former holder sent for a window which its successor reported, and which were appended once the
/// store had lost the successor's.
#[test]
fn counts_that_are_appended_late_break_nothing() {
    let budget = Budget {
        appends: 5 + extra_bound(),
        ..ONE_RESTORE
    };
    let space = DutySpace {
        ended: WINDOWS,
        is_claimed: true,
        ..space(budget, SeededFault::None)
    };
    assert_safe("store era, late counts", &space);
}

#[test]
fn a_cursor_that_is_kept_is_caught() {
    let budget = Budget {
        appends: 4,
        ..ONE_RESTORE
    };
    let fault = SeededFault::CursorKept;
    assert_caught("cursor kept", "fencing number", &space(budget, fault));
}

#[test]
fn a_fencing_number_that_is_used_again_is_caught() {
    let budget = Budget {
        appends: 4,
        ..ONE_RESTORE
    };
    assert_caught(
        "token reused",
        "fencing number",
        &space(budget, SeededFault::TokenReused),
    );
}

#[test]
fn counts_that_are_not_written_again_are_caught() {
    let fault = SeededFault::RecordNotRewritten;
    assert_caught(
        "record not rewritten",
        "the store does not hold",
        &space(ONE_RESTORE, fault),
    );
}

#[test]
fn a_window_that_is_counted_again_is_caught() {
    let budget = Budget {
        appends: 4,
        ..ONE_RESTORE
    };
    let fault = SeededFault::WindowRecounted;
    assert_caught("window recounted", "different counts", &space(budget, fault));
}

#[test]
fn counts_of_an_earlier_era_are_caught() {
    let budget = Budget {
        appends: 5,
        ..ONE_RESTORE
    };
    let space = DutySpace {
        ended: WINDOWS,
        is_claimed: true,
        ..space(budget, SeededFault::CountsUndated)
    };
    assert_caught("counts undated", "the store does not hold", &space);
}

#[test]
fn an_answer_of_an_earlier_era_is_caught() {
    let budget = Budget {
        appends: 4,
        ..ONE_RESTORE
    };
    let fault = SeededFault::AnswerUndated;
    assert_caught("answer undated", "skipped records", &space(budget, fault));
}
