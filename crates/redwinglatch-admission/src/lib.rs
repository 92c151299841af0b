//! Part of redwinglatch.
