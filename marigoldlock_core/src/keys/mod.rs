//! Keys of customers.
