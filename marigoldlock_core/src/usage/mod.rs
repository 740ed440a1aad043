//! Usage by customer and window.
