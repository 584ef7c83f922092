//! A session controller that stands before shared table hubs.
//!
//! - [`interface`] and [`Controller`]: the decision module, used by both programs.
//! - [`core`]: owns the module, the call table and the timers, and knows no wire.
//! - [`net`] and [`iax2`]: the sockets' sides, for the platform's protocol and for IAX2.
//! - [`learning`], [`state`] and [`store`]: what outlives the process, the task that keeps it, and its files.
//! - [`cli`], [`telemetry`] and [`metrics`]: the command line, the logs, and the counters in them.
//! - [`fleet`]: what session controllers tell one another, where an installation lets them talk.
//! - [`config`]: the one place where configuration is read, checked and given defaults.
//! - [`wire`]: the simulator's wire, for the adapter.
//!
//! A [`Controller`] is told what happens and says what to do. It reads no clock, does no I/O
//! and starts no thread: time comes in with each event.
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
//! let mut gateway = Controller::new(settings, 7, Micros(0))?;
//! let entry = Entry { server: ServerId(40), place: 0, phase: Phase::Up, born: None, phase_since: None };
//! gateway.handle(Micros(0), Event::List(ListKind::Saved, vec![entry]), &mut actions);
//! let call = NewCall {
//!     id: CallId(1), class: 0, place: 0, number: None, deadline: Micros(3_000_000),
//!     repeat: false, returned: false, transit: false,
//! };
//! gateway.handle(Micros(10), Event::Call(call), &mut actions);
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
