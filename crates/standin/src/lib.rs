//! Small stand-ins for the systems around comfreyhaven, for tests and benchmarks: a model engine,
//! a plain service, the configuration service and the host list. A naive scheduler is there to
//! compare with.
//!
//! Each is a library module with a thin binary. They speak the same protocols as the systems they
//! stand for, keep a record of what they saw, and can be made to fail.

pub mod answer_text;
pub mod booking;
pub mod engine;
pub mod hosts;
pub mod launch;
pub mod naive;
pub mod relay;
pub mod values;
