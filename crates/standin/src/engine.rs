//! A model engine: continuous batching, a bounded prefix cache, cold starts, crashes on demand and
//! a load report that lags.

mod batch;
mod cache;
mod http;

pub use batch::{Engine, Report, Spec};
