//! Authority over a duty, kept in the log.
