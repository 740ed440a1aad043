//! Records of the jobs duty.
