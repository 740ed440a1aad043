//! Records of the authority duty.
