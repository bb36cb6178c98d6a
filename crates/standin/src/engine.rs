//! A model engine: continuous batching, a bounded prefix cache, cold starts, crashes on demand and
//! a load report that lags.

mod batch;
mod cache;
mod http;
mod sequence;
mod shared;
mod spec;

pub use batch::CRASH_MARK;
pub use shared::Engine;
pub use spec::{Report, Spec, Totals};
