//! Tools that the experiments and the integration tests share: one fault script, a virtual network that runs the
//! fleet's real machines in one process, and a proxy between started processes that the same script drives.

pub mod check;
pub mod net;
pub mod processes;
pub mod program;
pub mod proxy;
pub mod script;
pub mod soak;
