//! x

fn main() {}
