//! Orders to engines and to the platform.
