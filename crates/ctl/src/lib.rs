//! Placeholder for the crate's modules.
