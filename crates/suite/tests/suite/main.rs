//! Integration tests with the real processes, one module for each subject.

mod callers;
mod configuration;
mod cuts;
mod freezes;
mod input;
mod kills;
mod logs;
mod path;
mod plans;
mod support;
mod wait;
