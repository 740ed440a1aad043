//! Tests of the routing table and its policies.
