//! Model checker: a bounded, exhaustive search over the core's own transition functions.
//!
//! A state holds a few processes, the log, the messages in flight and the receivers. [`check_space`] visits
//! every reachable state breadth-first, so the first violation found has a shortest trace.

#![allow(dead_code, reason = "each test binary uses a part of it")]

mod draft;
pub mod intern;
mod network;
pub mod receiver;
pub mod step;
pub mod world;

use std::fmt::{Debug, Display};
use std::hash::Hash;

use pathfinding::prelude::bfs;

/// A state space.
pub trait StateSpace {
    /// One state.
    type State: Clone + Debug + Eq + Hash;
    /// One transition.
    type Step: Display;

    /// The first state.
    fn start(&self) -> Self::State;
    /// Every transition out of a state.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;
    /// The property that the state violates.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// Result of a search.
pub struct SearchReport {
    /// States visited.
    pub states: usize,
    /// The violated property and the steps that lead to it.
    pub violation: Option<(String, Vec<String>)>,
}

/// Visits every state until a violation is found.
pub fn check_space<S: StateSpace>(space: &S) -> SearchReport {
    let mut states = 0;
    let path = bfs(
        &space.start(),
        |state| {
            states += 1;
            space
                .steps(state)
                .into_iter()
                .map(|(_, next)| next)
                .collect::<Vec<_>>()
        },
        |state| space.violation(state).is_some(),
    );
    let violation = path.map(|path| {
        let last = path.last().expect("a path has a first state");
        let property = space.violation(last).expect("the search stopped at a violation");
        (property, trace_of(space, &path))
    });
    SearchReport { states, violation }
}

fn trace_of<S: StateSpace>(space: &S, path: &[S::State]) -> Vec<String> {
    path.windows(2)
        .map(|pair| {
            space
                .steps(&pair[0])
                .into_iter()
                .find(|(_, next)| *next == pair[1])
                .map(|(step, _)| step.to_string())
                .expect("the path follows the steps")
        })
        .collect()
}

/// Fails if a reachable state violates a property; prints the number of states.
pub fn assert_safe<S: StateSpace>(name: &str, space: &S) {
    let report = check_space(space);
    println!("{name}: {} states", report.states);
    if let Some((property, trace)) = report.violation {
        panic!("{name}: {property}\n{}", trace.join("\n"));
    }
}

/// Fails unless the search finds a violation of the property; prints the shortest trace.
pub fn assert_caught<S: StateSpace>(name: &str, property: &str, space: &S) {
    let report = check_space(space);
    let (found, trace) = report
        .violation
        .unwrap_or_else(|| panic!("{name}: the fault was not found in {} states", report.states));
    println!(
        "{name}: {found}, after {} states, in {} steps:",
        report.states,
        trace.len()
    );
    println!("  {}", trace.join("\n  "));
    assert!(
        found.contains(property),
        "{name}: found `{found}`, not `{property}`"
    );
}

/// Additional time steps for a larger search, from the environment variable `MODEL_BOUND`.
pub fn extra_bound() -> u8 {
    std::env::var("MODEL_BOUND")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}
