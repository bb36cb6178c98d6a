//! Messages between the processes of comfreyhaven.
//!
//! Control messages are `tarpc` calls in MessagePack over TCP, with one service of agents and one
//! that every process offers to its peers. Bodies and answers are sent over HTTP/1.1 in the format
//! of [`frame`]. Every control connection starts with a [`preface`], so that processes with
//! different protocol versions reject each other with a clear error.

pub mod frame;
pub mod preface;
pub mod service;
pub mod transport;
