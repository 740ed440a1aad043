//! The decisions of marigoldlock as pure state machines.
//!
//! Nothing here does I/O, reads a clock or draws a random number of its own: time, seeds and inputs are
//! passed in, and effects come out as typed values. The program, the model check, the property tests and
//! the benches run the same functions.

pub mod admission;
pub mod authority;
pub mod calls;
pub mod gateway;
pub mod jobs;
pub mod keys;
pub mod membership;
pub mod orders;
pub mod placement;
pub mod relay;
pub mod routing;
pub mod settings;
pub mod time;
pub mod usage;

pub mod prelude {
    //! The types that nearly every module uses.

    pub use marigoldlock_wire::prelude::*;

    pub use crate::time::MonoTime;
}
