//! Long work that outlives instances.
