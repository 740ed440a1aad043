//! Which mix of roles serves a load best.

use marigoldlock_wire::engine::EngineRole;

/// Share of a mixed engine's time in prefill from which all of its streams are disturbed.
const DISTURBED_FROM: f64 = 0.35;

/// Weight of idle engines that the load can't use; breaks ties towards an even spread.
const UNEVEN_WEIGHT: f64 = 0.05;

/// What a role of its own is worth.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleWorth {
    /// How much more of its own work an engine does that does nothing else.
    pub gain: f64,
    /// Share of the streams beside busy prefill that miss the target between tokens; 0 if the engines' chunks
    /// are small enough.
    pub disturbed: f64,
}

/// Load of a service, in engines that it fills.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Engines filled by prompts.
    pub prefill: f64,
    /// Engines filled by output.
    pub decode: f64,
}

impl EngineLoad {
    /// Engines filled in all.
    pub fn total(self) -> f64 {
        self.prefill + self.decode
    }
}

/// Engines by role.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoleMix {
    /// Engines that take prompts and output.
    pub mixed: u32,
    /// Engines that take prompts only.
    pub prefill: u32,
    /// Engines that take output only.
    pub decode: u32,
}

impl RoleMix {
    /// Counts engines by role.
    pub fn count(roles: impl Iterator<Item = EngineRole>) -> Self {
        let mut mix = Self::default();
        for role in roles {
            *mix.of(role) += 1;
        }
        mix
    }

    /// The mix after one engine has changed its role.
    pub fn after(mut self, from: EngineRole, to: EngineRole) -> Self {
        let count = self.of(from);
        *count = count.saturating_sub(1);
        *self.of(to) += 1;
        self
    }

    fn of(&mut self, role: EngineRole) -> &mut u32 {
        match role {
            EngineRole::Mixed => &mut self.mixed,
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
        }
    }

    /// Engines' worth of work a second that is not served in time.
    pub fn loss(self, load: EngineLoad, worth: RoleWorth) -> f64 {
        if self.mixed + self.decode == 0 || self.mixed + self.prefill == 0 {
            return f64::INFINITY;
        }
        let mixed = f64::from(self.mixed);
        let prefill = f64::from(self.prefill) * worth.gain;
        let decode = f64::from(self.decode) * worth.gain;
        let prompts = (load.prefill - prefill).max(0.0);
        let streams = (load.decode - decode).max(0.0);
        let overload = (prompts + streams - mixed).max(0.0);
        let busy = if mixed > 0.0 {
            (prompts / mixed / DISTURBED_FROM).min(1.0)
        } else {
            1.0
        };
        let idle = (prefill - load.prefill).max(0.0) + (decode - load.decode).max(0.0);
        let uneven = idle / (mixed + prefill + decode);
        overload + worth.disturbed * streams.min(mixed) * busy + UNEVEN_WEIGHT * uneven
    }

    /// The single change of a role that saves most, and what it saves.
    pub fn best_change(self, load: EngineLoad, worth: RoleWorth) -> Option<(EngineRole, EngineRole, f64)> {
        const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
        let now = self.loss(load, worth);
        let changes = ROLES
            .into_iter()
            .flat_map(|from| ROLES.into_iter().map(move |to| (from, to)));
        let mut mix = self;
        let possible = changes.filter(|(from, to)| from != to && *mix.of(*from) > 0);
        let saving = possible.map(|(from, to)| (from, to, now - self.after(from, to).loss(load, worth)));
        saving
            .filter(|(_, _, saved)| *saved > 0.0)
            .max_by(|left, right| left.2.total_cmp(&right.2))
    }
}
