//! Small stand-ins for the systems around comfreyhaven, for tests and benchmarks: a model engine,
//! a plain service, the configuration service and the host list. A naive scheduler serves as the
//! baseline of comparisons.
//!
//! Each is a library module with a thin binary. The stand-ins implement the protocols of the
//! systems that they replace, record the calls that they receive, and can inject faults.

pub mod answer_text;
pub mod booking;
pub mod configuration;
pub mod engine;
pub mod hosts;
pub mod launch;
pub mod naive;
pub mod relay;
