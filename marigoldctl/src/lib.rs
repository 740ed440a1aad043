//! The operators' tool of marigoldlock.

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
