//! Network input and output: SIP callers, table hubs and the change log.

pub mod binary;
pub mod buffer;
pub mod change_log_poller;
pub mod connection_limit;
pub mod dial;
pub mod http;
pub mod hub;
pub mod shared_count;
pub mod sip;
pub mod sip_server;

/// Media type of the session descriptions that SIP callers and table hubs exchange.
pub const SDP: &str = "application/sdp";
