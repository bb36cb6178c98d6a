//! Integration tests with the real processes, one module for each subject.

mod callers;
mod chaos;
mod configuration;
mod containment;
mod cuts;
mod explain;
mod freezes;
mod input;
mod kills;
mod leaving;
mod logs;
mod metrics;
mod operators;
mod overload;
mod path;
mod peers;
mod plans;
mod rates;
mod resends;
mod support;
