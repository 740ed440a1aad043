//! Settings by path, folded from the log.
