//! Records of the orders duty.
