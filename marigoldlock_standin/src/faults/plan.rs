//! Description of a stand-in's faults, as set over HTTP or in process.

use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How many calls a fault applies to.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallBudget {
    /// No call.
    #[default]
    None,
    /// The next `n` calls.
    Next(u64),
    /// Every call until the plan is replaced.
    Every,
}

impl CallBudget {
    pub(super) fn consume(&mut self) -> bool {
        match self {
            Self::None | Self::Next(0) => false,
            Self::Next(left) => {
                *left -= 1;
                true
            }
            Self::Every => true,
        }
    }
}

impl FromStr for CallBudget {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "none" => Ok(Self::None),
            "every" => Ok(Self::Every),
            number => number.parse().map(Self::Next),
        }
    }
}

/// Error for text that isn't a valid outage window.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
#[error("expected <from ms>:<length ms>:<refuse|stall|vanish|pause>")]
pub struct WindowFormatError;

/// How callers see an outage.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// Calls get 503 immediately.
    #[default]
    Refuse,
    /// Calls are read and never answered.
    Stall,
    /// The listener and all connections are closed.
    Vanish,
    /// Nothing is read, run or answered; calls that arrived meanwhile run afterwards.
    Pause,
}

/// Time window in which a stand-in is out of service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutageWindow {
    /// Start, in milliseconds after the plan was set.
    #[serde(default)]
    pub from_ms: u64,
    /// Length, in milliseconds.
    pub for_ms: u64,
    /// How callers see it.
    #[serde(default)]
    pub kind: OutageKind,
}

impl FromStr for OutageWindow {
    type Err = WindowFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(':');
        let (Some(from), Some(length), kind, None) = (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(WindowFormatError);
        };
        let kind = match kind {
            None | Some("refuse") => OutageKind::Refuse,
            Some("stall") => OutageKind::Stall,
            Some("vanish") => OutageKind::Vanish,
            Some("pause") => OutageKind::Pause,
            Some(_) => return Err(WindowFormatError),
        };
        let from_ms = from.parse().map_err(|_| WindowFormatError)?;
        let for_ms = length.parse().map_err(|_| WindowFormatError)?;
        Ok(Self {
            from_ms,
            for_ms,
            kind,
        })
    }
}

/// Faults of a stand-in.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultPlan {
    /// Method of the calls that the call faults apply to; `None` for all.
    pub method: Option<String>,
    /// Path prefix of the calls that the call faults apply to; `None` for all.
    pub path: Option<String>,
    /// Delay before a call runs or is refused, in milliseconds.
    pub delay_ms: u64,
    /// Delay between a call and its response, in milliseconds.
    pub answer_delay_ms: u64,
    /// Calls that are refused with 503 without running.
    pub refuse: CallBudget,
    /// Calls that are read but neither run nor answered; the connection stays open.
    pub stall: CallBudget,
    /// Calls whose connection is closed before they run.
    pub drop_call: CallBudget,
    /// Calls that run, and whose connection is then closed without a response.
    pub drop_answer: CallBudget,
    /// Calls that run and are never answered; the connection stays open.
    pub stall_answer: CallBudget,
    /// Answers of an engine that carry the ids and the text of the previous request.
    pub cross_answer: CallBudget,
    /// Factor by which work takes longer.
    pub slowdown: Option<f64>,
    /// Number of tokens after which a streamed answer stalls; the connection stays open.
    pub stall_stream_after: Option<u64>,
    /// Number of tokens after which the connection of a streamed answer is closed.
    pub cut_stream_after: Option<u64>,
    /// Currently open connections stop responding for good; new ones work.
    pub silence_open: bool,
    /// Outages.
    pub outages: Vec<OutageWindow>,
    /// Nothing is read, run or answered until the plan is replaced in process.
    pub paused: bool,
    /// The listener and all connections are closed until the plan is replaced in process.
    pub gone: bool,
    /// Close the listener and all connections now, and restart after this many milliseconds with a new
    /// incarnation.
    pub restart_ms: Option<u64>,
}

impl FaultPlan {
    pub(super) fn covers(&self, method: &str, path: &str) -> bool {
        let method_fits = self
            .method
            .as_deref()
            .is_none_or(|wanted| wanted.eq_ignore_ascii_case(method));
        let path_fits = self.path.as_deref().is_none_or(|wanted| path.starts_with(wanted));
        method_fits && path_fits
    }

    pub(super) fn outage_at(&self, elapsed_ms: u64) -> Option<OutageKind> {
        self.outages
            .iter()
            .find(|window| elapsed_ms >= window.from_ms && elapsed_ms - window.from_ms < window.for_ms)
            .map(|window| window.kind)
    }

    pub(super) fn next_boundary(&self, elapsed_ms: u64) -> Option<u64> {
        let starts = self.outages.iter().map(|window| window.from_ms);
        let ends = self
            .outages
            .iter()
            .map(|window| window.from_ms.saturating_add(window.for_ms));
        let restart = self.restart_ms;
        starts
            .chain(ends)
            .chain(restart)
            .filter(|boundary| *boundary > elapsed_ms)
            .min()
    }

    pub(super) fn is_closed_at(&self, elapsed_ms: u64) -> bool {
        self.gone
            || self.restart_ms.is_some_and(|restart| elapsed_ms < restart)
            || self.outage_at(elapsed_ms) == Some(OutageKind::Vanish)
    }

    pub(super) fn is_paused_at(&self, elapsed_ms: u64) -> bool {
        self.paused || self.outage_at(elapsed_ms) == Some(OutageKind::Pause)
    }
}
