//! Communication between the session controllers of one fleet. Off unless the operator configures it.
//!
//! - [`wire`]: the datagram format and its size limits.
//! - [`view`]: the membership view and each member's own facts; a state machine without I/O or clocks.
//! - [`lease`]: leases for fleet-wide tasks; state machines that nothing in the program uses yet.
//! - [`task`]: the Tokio task that owns the UDP socket and drives the view.
//! - [`show`]: the status report behind `petreldock fleet show`.
//!
//! A view is eventually consistent: it may be late and may differ between members, so nothing may depend on it for
//! safety.

pub mod lease;
pub mod show;
pub mod task;
pub mod view;
pub mod wire;
