//! Messages between the processes of comfreyhaven.
//!
//! Control messages are `tarpc` calls in MessagePack over TCP, one service for each role. Bodies
//! and answers are HTTP/1.1, framed as [`frame`] says. Every connection of the control protocol
//! opens with a [`preface`], so that processes of different versions refuse each other plainly.

pub mod frame;
pub mod preface;
pub mod service;
pub mod transport;
