//! What session controllers tell one another, where an operator's installation lets them talk. Off by default.
//!
//! - [`wire`]: the datagrams, their form and their bounds.
//! - [`view`]: who is in the fleet, and each member's own facts; a machine without I/O and clocks.
//! - [`lease`]: who may do a fleet-wide task; its machines, which nothing uses yet.
//! - [`task`]: the one socket, and the time that the machine is given.
//! - [`show`]: what `petreldock fleet show` asks for and gets.
//!
//! A view is a belief: it may be late or differ between members. Nothing may rest its safety on it.

pub mod lease;
pub mod show;
pub mod task;
pub mod view;
pub mod wire;
