//! Admission: who may run now.
