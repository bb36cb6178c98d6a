//! A model engine with continuous batching, a bounded prefix cache, cold starts, crashes on demand
//! and a delayed load report.

mod batch;
mod cache;
mod http;
mod sequence;
mod shared;
mod spec;

pub use batch::CRASH_MARKER;
pub use shared::Engine;
pub use spec::{LoadReport, Spec, Totals};
