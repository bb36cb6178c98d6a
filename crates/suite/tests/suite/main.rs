//! Integration tests with the real processes, one module for each subject.

mod configuration;
mod path;
mod plans;
mod wait;
