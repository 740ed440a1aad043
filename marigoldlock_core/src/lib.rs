//! The decision logic of marigoldlock as pure state machines.
//!
//! This crate does no I/O, reads no clock and generates no random numbers. Time, seeds and inputs are passed
//! in, and effects are returned as typed values, so that the program, the model checker, the property tests and
//! the benchmarks all run the same code.

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
    //! Types used by nearly every module.

    pub use marigoldlock_wire::prelude::*;

    pub use crate::time::MonoTime;
}
