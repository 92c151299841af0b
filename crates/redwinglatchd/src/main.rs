//! Part of redwinglatch.

fn main() {}
