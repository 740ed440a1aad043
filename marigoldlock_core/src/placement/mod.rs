//! Roles, models and upstreams.
