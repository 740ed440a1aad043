//! Records of the calls duty.
