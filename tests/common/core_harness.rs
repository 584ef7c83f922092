//! The core with injected time and without sockets, for tests.
#![allow(dead_code)]

use crate::site_config;
use bytes::Bytes;
use petreldock::config::Config;
use petreldock::core::*;
use petreldock::interface::*;
use petreldock::net::change_log_poller;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, watch};

pub const SECOND: u64 = 1_000_000;
pub const START: u64 = 1_700_000_000_000_000;

/// A link that the core has opened, with the commands that it was sent.
pub struct OpenedLink {
    pub link: LinkId,
    pub endpoint: String,
    pub commands: mpsc::Receiver<ToHub>,
}

/// The core with two hubs, `a` at place 0 and `b` at place 1, and one front.
pub struct Harness {
    pub core: Core,
    pub front: mpsc::Receiver<ToFront>,
    pub links: Arc<Mutex<Vec<OpenedLink>>>,
    pub status: watch::Receiver<Status>,
    pub now: u64,
}

pub fn hub(uid: &str, endpoint: &str, place: i64, phase: Phase) -> Hub {
    Hub { uid: uid.into(), endpoint: endpoint.into(), place, phase, born: None }
}

/// A hub list update that takes effect when it is received.
pub fn list(full: bool, hubs: Vec<Hub>) -> Input {
    Input::HubList(HubListUpdate { full, hubs, effective_since: Micros(u64::MAX), seq: 0 })
}

impl Harness {
    pub fn new() -> Harness {
        Harness::with(|_| {})
    }

    pub fn with(change: impl Fn(&mut Config)) -> Harness {
        let targets = [
            site_config::target("a", "10.0.0.1:1", 0, "in_service"),
            site_config::target("b", "10.0.0.2:1", 1, "in_service"),
        ];
        let mut config = site_config::config(&targets);
        change(&mut config);
        let (sender, front) = mpsc::channel(100);
        let links: Arc<Mutex<Vec<OpenedLink>>> = Arc::default();
        let opened = links.clone();
        let connect = Box::new(move |link, endpoint: &str| {
            let (sender, commands) = mpsc::channel(100);
            opened.lock().expect("lock").push(OpenedLink { link, endpoint: endpoint.into(), commands });
            sender
        });
        let (status, watched) = watch::channel(Status::default());
        let core = Core::new(&config, vec![sender], connect, status, Micros(START)).expect("valid settings");
        let mut harness = Harness { core, front, links, status: watched, now: START };
        for input in change_log_poller::core_inputs(config.known, &mut 0, Micros(0)) {
            harness.input(input);
        }
        harness
    }

    pub fn input(&mut self, input: Input) {
        self.core.handle(Micros(self.now), input);
    }

    /// Advances the time, tick by tick.
    pub fn advance(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + 5_000).min(end);
            self.core.tick(Micros(self.now));
        }
    }

    pub fn offer(&mut self, call: u64, place: i64) {
        self.offer_with(call, place, &[]);
    }

    pub fn offer_with(&mut self, call: u64, place: i64, body: &[u8]) {
        self.offer_from(5, call, place, body);
    }

    pub fn offer_from(&mut self, origin: u64, call: u64, place: i64, body: &[u8]) {
        let deadline = Some(Micros(self.now + 3 * SECOND));
        self.input(Input::Offer(Offer {
            front: FrontId(0),
            origin: Origin(origin),
            call: CallName(call),
            class: "voice".into(),
            number: "7f3a".into(),
            place,
            deadline,
            repeat: false,
            returned: false,
            description: Description { format: "test", bytes: Bytes::copy_from_slice(body) },
            retained_bytes: 0,
        }));
    }

    pub fn withdraw(&mut self, call: u64) {
        self.input(Input::Withdrawn(FrontId(0), Origin(5), CallName(call)));
    }

    pub fn hub_event(&mut self, link: usize, event: FromHub) {
        let link = self.links.lock().expect("lock")[link].link;
        self.input(Input::Hub(link, event));
    }

    pub fn released(&mut self, link: usize, call: u64, cause: u8, note: RefusalNote) {
        self.hub_event(link, FromHub::Released(CallName(call), Cause(cause), note, Report::default()));
    }

    pub fn answered(&mut self, link: usize, call: u64) {
        self.hub_event(link, FromHub::Answered(CallName(call), Description::default()));
    }

    pub fn next_command(&mut self, link: usize) -> Option<ToHub> {
        self.links.lock().expect("lock")[link].commands.try_recv().ok()
    }

    /// Returns the number of the attempt that a link is told to start next, if any.
    pub fn next_set_up(&mut self, link: usize) -> Option<u64> {
        match self.next_command(link)? {
            ToHub::SetUp(set_up) => Some(set_up.attempt),
            other => panic!("expected a set-up, got {other:?}"),
        }
    }

    pub fn next_message(&mut self) -> Option<ToFront> {
        self.front.try_recv().ok()
    }
}
