//! Integration tests with the real processes, one module for each subject.

mod path;
mod plans;
