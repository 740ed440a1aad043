//! Relaying streams whole.
