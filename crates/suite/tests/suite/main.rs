//! Integration tests that start the real processes, one module for each subject.

mod chaos;
mod configuration;
mod connection_faults;
mod containment;
mod disconnects;
mod explain;
mod invalid_input;
mod leaving;
mod logs;
mod metrics;
mod operators;
mod overload;
mod peers;
mod plans;
mod process_failures;
mod rates;
mod request_path;
mod resends;
mod support;
mod suspensions;
