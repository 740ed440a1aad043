//! Command-line tool for operators of marigoldlock.
//!
//! Each subcommand of `marigoldctl` is one module.

pub mod backend;
pub mod config;
pub mod customers;
pub mod dev;
pub mod explain;
pub mod keys;
pub mod load;
pub mod output;
pub mod soak;
pub mod standin;
pub mod status;
