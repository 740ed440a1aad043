//! Who lives, leaves or is gone.
