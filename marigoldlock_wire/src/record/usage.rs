//! Records of the usage duty.
