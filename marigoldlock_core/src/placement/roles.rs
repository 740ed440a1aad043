//! Choice of the mix of engine roles that serves a load best.

use marigoldlock_wire::engine::EngineRole;

/// Share of a mixed engine's time spent on prefill at which all of its streams are disturbed.
const DISTURBANCE_THRESHOLD: f64 = 0.35;

/// Weight of idle dedicated engines in the loss; breaks ties towards a balanced mix.
const IMBALANCE_WEIGHT: f64 = 0.05;

/// Benefit of dedicated prefill and decode engines over mixed ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleBenefit {
    /// Factor by which a dedicated engine does more of its kind of work than a mixed one.
    pub speedup: f64,
    /// Share of the streams on an engine busy with prefill that miss the target time between tokens; 0 if the
    /// engines' prefill chunks are small enough.
    pub disturbed_share: f64,
}

/// Load of a service, as the number of engines that it fully uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Engines used by prompts.
    pub prefill: f64,
    /// Engines used by output.
    pub decode: f64,
}

impl EngineLoad {
    /// Total number of engines used.
    pub fn total(self) -> f64 {
        self.prefill + self.decode
    }
}

/// Number of engines by role.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RoleMix {
    /// Engines that process prompts and generate output.
    pub mixed: u32,
    /// Engines that only process prompts.
    pub prefill: u32,
    /// Engines that only generate output.
    pub decode: u32,
}

impl RoleMix {
    /// Counts engines by role.
    pub fn count(roles: impl Iterator<Item = EngineRole>) -> Self {
        let mut mix = Self::default();
        for role in roles {
            *mix.count_mut(role) += 1;
        }
        mix
    }

    /// The mix after one engine has changed its role.
    pub fn with_change(mut self, from: EngineRole, to: EngineRole) -> Self {
        let count = self.count_mut(from);
        *count = count.saturating_sub(1);
        *self.count_mut(to) += 1;
        self
    }

    fn count_mut(&mut self, role: EngineRole) -> &mut u32 {
        match role {
            EngineRole::Mixed => &mut self.mixed,
            EngineRole::Prefill => &mut self.prefill,
            EngineRole::Decode => &mut self.decode,
        }
    }

    /// Work that is not served in time, as a number of engines; includes the imbalance term.
    pub fn loss(self, load: EngineLoad, benefit: RoleBenefit) -> f64 {
        if self.mixed + self.decode == 0 || self.mixed + self.prefill == 0 {
            return f64::INFINITY;
        }
        let mixed = f64::from(self.mixed);
        let prefill = f64::from(self.prefill) * benefit.speedup;
        let decode = f64::from(self.decode) * benefit.speedup;
        let prefill_rest = (load.prefill - prefill).max(0.0);
        let decode_rest = (load.decode - decode).max(0.0);
        let overload = (prefill_rest + decode_rest - mixed).max(0.0);
        let disturbance = if mixed > 0.0 {
            (prefill_rest / mixed / DISTURBANCE_THRESHOLD).min(1.0)
        } else {
            1.0
        };
        let idle = (prefill - load.prefill).max(0.0) + (decode - load.decode).max(0.0);
        let imbalance = idle / (mixed + prefill + decode);
        overload
            + benefit.disturbed_share * decode_rest.min(mixed) * disturbance
            + IMBALANCE_WEIGHT * imbalance
    }

    /// The role change of one engine that reduces the loss most, and the reduction.
    pub fn best_change(
        self,
        load: EngineLoad,
        benefit: RoleBenefit,
    ) -> Option<(EngineRole, EngineRole, f64)> {
        const ROLES: [EngineRole; 3] = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
        let now = self.loss(load, benefit);
        let changes = ROLES
            .into_iter()
            .flat_map(|from| ROLES.into_iter().map(move |to| (from, to)));
        let mut mix = self;
        let possible = changes.filter(|(from, to)| from != to && *mix.count_mut(*from) > 0);
        let saving =
            possible.map(|(from, to)| (from, to, now - self.with_change(from, to).loss(load, benefit)));
        saving
            .filter(|(_, _, saved)| *saved > 0.0)
            .max_by(|left, right| left.2.total_cmp(&right.2))
    }
}
