//! Test tools shared by the experiments and the integration tests: fault scripts, a virtual network that runs the
//! fleet's state machines in one process, and a proxy that applies the same scripts between processes.

pub mod lease_model;
pub mod processes;
pub mod program;
pub mod proxy;
pub mod script;
pub mod soak;
pub mod virtual_network;
