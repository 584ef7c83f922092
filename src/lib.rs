//! A session controller that routes calls from callers to shared table hubs.
//!
//! - [`interface`] and [`Controller`]: the decision module, shared by the program and the simulator's adapter.
//! - [`core`]: owns the decision module, the call table and the timers, and is independent of protocols.
//! - [`net`] and [`iax2`]: the platform's network protocols (SIP, a binary protocol, HTTP), and IAX2.
//! - [`learning`], [`state`] and [`store`]: the state saved across restarts, the task that saves it, and its files.
//! - [`recovery`]: the record of calls in progress, from which a process recovers them after a restart.
//! - [`fleet`]: the protocol between session controllers of an installation.
//! - [`config`]: reads and validates all configuration and applies defaults.
//! - [`cli`], [`telemetry`] and [`metrics`]: the command line, the logs, and the counters in the logs.
//! - [`simulator_protocol`]: the simulator's text protocol, for the adapter.
//!
//! A [`Controller`] handles events and returns actions. It reads no clock, does no I/O and starts no thread: the time
//! comes with each event.
//!
//! ```
//! use petreldock::interface::*;
//! use petreldock::Controller;
//!
//! let settings = Settings {
//!     balancers: 2,
//!     classes: vec![Class {
//!         objective: Micros(1_000_000), deadline: Micros(6_000_000), worth: 1.0, late_worth: 0.2,
//!         idempotency: Idempotency::Free, places: vec![], hold_time: Micros(8_000_000),
//!     }],
//!     cold_from: 0.4, warm_up: Micros(10_000_000),
//!     overload_factor: 3.0, overload_for: Micros(1_500_000), drain_grace: Micros(2_000_000), release: Micros(300_000),
//!     resend: Micros(0), max_attempts: 4, may_cancel: true,
//!     max_retry_after: Micros(0), may_message_peers: false, index: 0, must_subscribe: false,
//!     own_place: None,
//! };
//! let mut actions = Vec::new();
//! let mut controller = Controller::new(settings, 7, Micros(0))?;
//! let entry = Entry { server: ServerId(40), place: 0, phase: Phase::Up, born: None, phase_since: None };
//! controller.handle(Micros(0), Event::List(ListKind::Saved, vec![entry]), &mut actions);
//! let call = NewCall {
//!     id: CallId(1), class: 0, place: 0, number: None, deadline: Micros(3_000_000),
//!     repeat: false, returned: false, transit: false,
//! };
//! controller.handle(Micros(10), Event::Call(call), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send(CallId(1), ServerId(40), _))));
//! # Ok::<(), SettingsError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cli;
pub mod config;
pub mod core;
pub mod fleet;
pub mod iax2;
pub mod interface;
pub mod learning;
mod logic;
pub mod metrics;
pub mod net;
pub mod recovery;
pub mod simulator_protocol;
pub mod state;
pub mod store;
pub mod telemetry;

pub use logic::Controller;
