//! The core with injected time and no sockets: each guard of the rules, and what crosses what.

#[path = "common/site.rs"]
mod site;

use bytes::Bytes;
use petreldock::config::Config;
use petreldock::core::*;
use petreldock::interface::*;
use petreldock::learning::{Ageing, Identity, Kept, Memory, Picture};
use petreldock::net::feed;
use std::sync::{Arc, Mutex};
use tokio::sync::{mpsc, watch};

const SECOND: u64 = 1_000_000;
const START: u64 = 1_700_000_000_000_000;

struct Opened {
    link: LinkId,
    endpoint: String,
    commands: mpsc::Receiver<ToHub>,
}

struct Desk {
    core: Core,
    front: mpsc::Receiver<ToFront>,
    links: Arc<Mutex<Vec<Opened>>>,
    status: watch::Receiver<Status>,
    now: u64,
}

fn hub(uid: &str, endpoint: &str, place: i64, phase: Phase) -> Hub {
    Hub { uid: uid.into(), endpoint: endpoint.into(), place, phase, born: None }
}

/// News that count as told when they come.
fn list(all: bool, hubs: Vec<Hub>) -> Input {
    Input::List(News { all, hubs, told: Micros(u64::MAX), seq: 0 })
}

impl Desk {
    fn new() -> Desk {
        Desk::with(|_| {})
    }

    fn with(change: impl Fn(&mut Config)) -> Desk {
        let targets = [
            site::target("a", "10.0.0.1:1", 0, "in_service"),
            site::target("b", "10.0.0.2:1", 1, "in_service"),
        ];
        let mut config = site::config(&targets);
        change(&mut config);
        let (sender, front) = mpsc::channel(100);
        let links: Arc<Mutex<Vec<Opened>>> = Arc::default();
        let opened = links.clone();
        let connect = Box::new(move |link, endpoint: &str| {
            let (sender, commands) = mpsc::channel(100);
            opened.lock().expect("lock").push(Opened { link, endpoint: endpoint.into(), commands });
            sender
        });
        let (status, watched) = watch::channel(Status::default());
        let core = Core::new(&config, vec![sender], connect, status, Micros(START)).expect("sane");
        let mut desk = Desk { core, front, links, status: watched, now: START };
        for input in feed::inputs(config.known, &mut 0, Micros(0)) {
            desk.tell(input);
        }
        desk
    }

    fn tell(&mut self, input: Input) {
        self.core.handle(Micros(self.now), input);
    }

    /// Lets time pass, tick by tick.
    fn pass(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + 5_000).min(end);
            self.core.tick(Micros(self.now));
        }
    }

    fn offer(&mut self, call: u64, place: i64) {
        self.offer_with(call, place, &[]);
    }

    fn offer_with(&mut self, call: u64, place: i64, body: &[u8]) {
        self.offer_from(5, call, place, body);
    }

    fn offer_from(&mut self, origin: u64, call: u64, place: i64, body: &[u8]) {
        let deadline = Some(Micros(self.now + 3 * SECOND));
        self.tell(Input::Offer(Offer {
            front: FrontId(0),
            origin: Origin(origin),
            call: CallName(call),
            class: "voice".into(),
            number: "7f3a".into(),
            place,
            deadline,
            repeat: false,
            returned: false,
            description: Description { form: "test", bytes: Bytes::copy_from_slice(body) },
        }));
    }

    fn withdraw(&mut self, call: u64) {
        self.tell(Input::Withdrawn(FrontId(0), Origin(5), CallName(call)));
    }

    fn hear(&mut self, link: usize, from: FromHub) {
        let link = self.links.lock().expect("lock")[link].link;
        self.tell(Input::Hub(link, from));
    }

    fn released(&mut self, link: usize, call: u64, cause: u8, note: Note) {
        self.hear(link, FromHub::Released(CallName(call), Cause(cause), note, Report::default()));
    }

    fn stands(&mut self, link: usize, call: u64) {
        self.hear(link, FromHub::Stands(CallName(call), Description::default()));
    }

    fn command(&mut self, link: usize) -> Option<ToHub> {
        self.links.lock().expect("lock")[link].commands.try_recv().ok()
    }

    /// The attempt that a link is told to start.
    fn set_up(&mut self, link: usize) -> Option<u64> {
        match self.command(link)? {
            ToHub::SetUp(set_up) => Some(set_up.attempt),
            other => panic!("a set-up was expected, not {other:?}"),
        }
    }

    fn said(&mut self) -> Option<ToFront> {
        self.front.try_recv().ok()
    }
}

#[test]
fn a_full_hub_leads_to_another_and_one_answer() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    assert!(desk.set_up(0).is_some() && desk.set_up(1).is_none());
    desk.released(0, 1, 34, Note::Throttled);
    assert!(desk.set_up(1).is_some(), "a refusal never ran: the next try needs no pause");
    desk.stands(1, 1);
    assert!(matches!(desk.said(), Some(ToFront::Answer(Origin(5), CallName(1), _))));
    desk.stands(1, 1);
    desk.pass(4 * SECOND);
    assert!(desk.said().is_none(), "one answer, and no deadline once it stands");
    desk.released(1, 1, 16, Note::None);
    assert!(matches!(desk.said(), Some(ToFront::Release(Some(Origin(5)), CallName(1), Cause(16)))));
    desk.released(1, 1, 16, Note::None);
    assert!(desk.said().is_none(), "a release that the hub repeats is passed on once");
    assert_eq!(desk.core.open_calls(), 0);
}

#[test]
fn a_set_up_that_never_began_is_taken_back() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    let attempt = desk.set_up(0).expect("sent");
    desk.withdraw(1);
    assert!(matches!(desk.command(0), Some(ToHub::GiveUp(CallName(1), n)) if n == attempt));
    assert_eq!(desk.core.open_calls(), 1, "the attempt ends once its link says so");
    desk.hear(0, FromHub::GivenUp { attempt, call: CallName(1), began: false });
    assert_eq!(desk.core.open_calls(), 0);
    assert!(desk.said().is_none(), "no answer is owed");
}

#[test]
fn an_answer_that_crosses_the_give_up_is_released_and_not_passed_on() {
    for written in [false, true] {
        let mut desk = Desk::new();
        desk.offer(1, 0);
        let attempt = desk.set_up(0).expect("sent");
        desk.withdraw(1);
        assert!(matches!(desk.command(0), Some(ToHub::GiveUp(..))));
        if written {
            desk.hear(0, FromHub::GivenUp { attempt, call: CallName(1), began: true });
        }
        desk.stands(0, 1);
        assert!(matches!(desk.command(0), Some(ToHub::Release(CallName(1), Cause(16)))));
        assert!(desk.said().is_none());
    }
}

#[test]
fn the_pause_starts_once_the_give_up_is_written() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    let attempt = desk.set_up(0).expect("sent");
    // The hub is silent: the module calls the attempt off while another hub can still take it.
    desk.pass(SECOND);
    assert!(matches!(desk.command(0), Some(ToHub::GiveUp(..))));
    assert!(desk.set_up(1).is_none(), "no second attempt while the first is out");
    desk.hear(0, FromHub::GivenUp { attempt, call: CallName(1), began: true });
    desk.pass(195_000);
    assert!(desk.set_up(1).is_none(), "not within 200 ms of the give-up's writing");
    desk.pass(10_000);
    assert!(desk.set_up(1).is_some() || desk.set_up(0).is_some() || desk.said().is_some());
}

#[test]
fn a_reset_set_up_waits_the_pause_out() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    let attempt = desk.set_up(0).expect("sent");
    desk.hear(0, FromHub::Broken(CallName(1), attempt));
    desk.pass(195_000);
    assert!(desk.set_up(0).is_none() && desk.set_up(1).is_none());
    desk.pass(10_000);
    assert!(desk.set_up(0).or(desk.set_up(1)).is_some());
}

#[test]
fn a_call_nobody_takes_is_answered_before_its_deadline() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    desk.pass(3 * SECOND);
    assert!(matches!(desk.said(), Some(ToFront::Fail(..) | ToFront::Refuse(..))));
    assert!(desk.said().is_none());
    desk.stands(0, 1);
    assert!(desk.said().is_none(), "too late");
}

#[test]
fn a_drain_is_told_to_the_link_and_ends_set_ups_after_its_grace() {
    let mut desk = Desk::new();
    desk.tell(list(false, vec![hub("b", "10.0.0.2:1", 1, Phase::Draining)]));
    let until = Micros(desk.now + 2 * SECOND);
    assert!(matches!(desk.command(1), Some(ToHub::NotAfter(Some(t))) if t == until));
    desk.pass(2 * SECOND);
    for call in 0..20 {
        desk.offer(call, 1);
    }
    assert!(desk.command(1).is_none());
}

#[test]
fn a_hub_that_is_gone_or_dead_ends_what_stood_there_and_an_old_address_is_a_new_hub() {
    let mut desk = Desk::new();
    for call in [1, 2] {
        desk.offer(call, call as i64 - 1);
        assert!(desk.set_up(call as usize - 1).is_some());
        desk.stands(call as usize - 1, call);
        assert!(matches!(desk.said(), Some(ToFront::Answer(..))));
    }
    desk.hear(1, FromHub::Dead);
    assert!(matches!(desk.said(), Some(ToFront::Release(_, CallName(2), Cause(41)))));
    let replaced = vec![hub("a", "", 0, Phase::Gone), hub("c", "10.0.0.1:1", 0, Phase::Up)];
    desk.tell(list(false, replaced));
    assert!(matches!(desk.said(), Some(ToFront::Release(_, CallName(1), Cause(41)))));
    assert!(matches!(desk.command(0), Some(ToHub::Close)));
    let links = desk.links.lock().expect("lock");
    assert_eq!((links.len(), &*links[2].endpoint), (3, "10.0.0.1:1"));
    drop(links);
    desk.released(0, 9, 16, Note::None);
    assert!(desk.said().is_none(), "the closed link is heard no more");
}

#[test]
fn a_dead_hub_cuts_what_stood_and_its_set_ups_end_as_the_link_settles_them() {
    let mut desk = Desk::new();
    for call in [1, 2] {
        desk.offer(call, 0);
    }
    let open = desk.set_up(0).expect("the first");
    assert!(desk.set_up(0).is_some());
    desk.stands(0, 2);
    assert!(matches!(desk.said(), Some(ToFront::Answer(..))));
    desk.hear(0, FromHub::Dead);
    assert!(matches!(desk.said(), Some(ToFront::Release(_, CallName(2), Cause(41)))));
    desk.pass(SECOND / 2);
    assert!(desk.set_up(0).or(desk.set_up(1)).is_none(), "no second copy while the first may still run");
    desk.hear(0, FromHub::Broken(CallName(1), open));
    desk.pass(SECOND / 2);
    assert!(desk.set_up(0).or(desk.set_up(1)).is_some());
}

#[test]
fn a_hub_that_is_replaced_has_its_set_ups_out_until_its_connections_are_closed() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    let attempt = desk.set_up(0).expect("sent");
    desk.tell(list(false, vec![hub("a", "", 0, Phase::Gone)]));
    assert!(matches!(desk.command(0), Some(ToHub::NotAfter(_)) | Some(ToHub::Close)));
    desk.pass(SECOND / 2);
    assert!(desk.command(1).is_none(), "no second copy while the first may still run");
    desk.stands(0, 1);
    assert!(desk.said().is_none(), "nor is anything else believed of a link that closes");
    desk.hear(0, FromHub::Broken(CallName(1), attempt));
    desk.hear(0, FromHub::Closed);
    desk.pass(SECOND / 10);
    assert!(desk.command(1).is_none(), "the pause");
    desk.pass(SECOND / 5);
    assert!(desk.set_up(1).is_some());
    // A link that forgets a set-up leaves none out for ever.
    desk.tell(list(false, vec![hub("b", "", 1, Phase::Gone), hub("c", "10.0.0.3:1", 0, Phase::Up)]));
    desk.hear(1, FromHub::Closed);
    desk.pass(SECOND / 2);
    assert!(desk.set_up(2).is_some());
}

#[test]
fn a_drain_counts_from_when_the_change_log_may_have_told_it() {
    let mut desk = Desk::new();
    let told = Micros(START - SECOND);
    let hubs = vec![hub("b", "10.0.0.2:1", 1, Phase::Draining)];
    desk.tell(Input::List(News { all: false, hubs: hubs.clone(), told, seq: 0 }));
    assert!(matches!(desk.command(1), Some(ToHub::NotAfter(Some(t))) if t == told + Micros(2 * SECOND)));
    desk.pass(SECOND / 2);
    desk.tell(list(false, hubs));
    assert!(desk.command(1).is_none(), "told again, it counts from the first time");
    // A start finds drains in its list that were told long before.
    let drains =
        [site::target("a", "10.0.0.1:1", 0, "terminating"), site::target("b", "10.0.0.2:1", 1, "in_service")];
    let mut desk = Desk::with(|config| config.known = site::config(&drains).known);
    for call in 0..10 {
        desk.offer(call, 0);
        assert!(desk.set_up(0).is_some(), "the only link is the other hub's");
        desk.stands(0, call);
    }
    assert_eq!(&*desk.links.lock().expect("lock")[0].endpoint, "10.0.0.2:1");
}

#[test]
fn a_test_is_passed_once_the_change_log_was_heard() {
    let mut desk = Desk::with(|config| config.change_log = "10.0.0.9:1".parse().ok());
    desk.hear(0, FromHub::State(Report::default()));
    desk.hear(1, FromHub::State(Report::default()));
    desk.pass(SECOND / 2);
    assert!(!desk.status.borrow().settled, "a drain may stand there that the start's list lacks");
    desk.tell(Input::Current);
    desk.pass(10_000);
    assert!(desk.status.borrow().settled);
    let mut silent = Desk::with(|config| config.change_log = "10.0.0.9:1".parse().ok());
    silent.pass(SECOND + 10_000);
    assert!(silent.status.borrow().settled, "one that cannot be reached keeps nobody out for ever");
}

/// Each way in which an attempt can end, for each effect: whether the call is sent again, when, and how it
/// is answered if it is not.
#[test]
fn each_end_of_an_attempt_is_followed_as_its_effect_allows() {
    let released = |cause, note| FromHub::Released(CallName(1), Cause(cause), note, Report::default());
    let attempt = 1;
    let given_up = |began| FromHub::GivenUp { attempt, call: CallName(1), began };
    let ends = [
        (released(34, Note::Congestion), false, false),
        (released(34, Note::Throttled), false, false),
        (FromHub::Unreachable(CallName(1), attempt), false, false),
        (FromHub::NotSent(CallName(1), attempt), false, false),
        (given_up(false), false, false),
        (released(17, Note::None), true, false),
        (released(47, Note::None), true, false),
        (released(41, Note::None), true, true),
        (FromHub::Broken(CallName(1), attempt), true, true),
        (given_up(true), true, true),
    ];
    for effect in [Idempotency::Free, Idempotency::Guarded, Idempotency::SingleShot] {
        for (end, ran, pause) in &ends {
            let case = format!("{effect:?}, {end:?}");
            let mut desk = Desk::with(|config| config.settings.classes[0].idempotency = effect);
            desk.offer(1, 0);
            assert_eq!(desk.set_up(0), Some(attempt), "{case}");
            desk.hear(0, end.clone());
            desk.pass(190_000);
            let at_once = desk.set_up(0).or(desk.set_up(1)).is_some();
            desk.pass(20_000);
            let later = desk.set_up(0).or(desk.set_up(1)).is_some();
            let again = effect == Idempotency::Free || !ran;
            assert_eq!((at_once, later), (again && !pause, again && *pause), "{case}");
            if !again {
                assert!(matches!(desk.said(), Some(ToFront::Fail(..))), "{case}: it may have run");
                assert!(desk.said().is_none(), "{case}: one answer");
            }
        }
        // Moot, or too late for its first byte: nothing ran, and it may be refused.
        for end in [released(102, Note::None), FromHub::NotSent(CallName(1), attempt)] {
            let late = matches!(end, FromHub::NotSent(..));
            let mut desk = Desk::with(|config| config.settings.classes[0].idempotency = effect);
            desk.offer(1, 0);
            desk.now += if late { 3 * SECOND } else { 0 };
            desk.hear(0, end);
            assert!(matches!(desk.said(), Some(ToFront::Refuse(..))), "{effect:?}");
        }
    }
}

#[test]
fn hubs_that_were_replaced_are_forgotten_and_new_ones_always_taken() {
    let mut desk = Desk::new();
    let (first, second) = (hub("a", "10.0.0.1:1", 0, Phase::Gone), hub("a", "10.0.0.1:1", 0, Phase::Up));
    desk.tell(list(false, vec![first]));
    desk.tell(list(false, vec![second]));
    for number in 0..5_000 {
        desk.now += 1_000;
        let uid = format!("s-{number}");
        // Each at the address of the one before.
        desk.tell(list(false, vec![hub(&uid, "10.0.0.9:1", 1, Phase::Up)]));
        desk.tell(list(false, vec![hub(&uid, "", 1, Phase::Gone)]));
    }
    assert!(desk.core.known_hubs() < 1100, "{} hubs known", desk.core.known_hubs());
    desk.tell(list(false, vec![hub("b", "10.0.0.2:1", 1, Phase::Gone)]));
    desk.tell(list(false, vec![hub("last", "10.0.0.9:1", 1, Phase::Up)]));
    desk.offer(1, 1);
    let last = desk.links.lock().expect("lock").len() - 1;
    assert!(desk.set_up(last).is_some());
    desk.offer(2, 0);
    let set_up = std::iter::from_fn(|| desk.command(2)).any(|c| matches!(c, ToHub::SetUp(_)));
    assert!(set_up, "the hub that stays serves on through all of it");
}

#[test]
fn an_answer_under_an_id_that_nobody_knows_means_nothing() {
    let mut desk = Desk::new();
    desk.stands(0, 78);
    assert!(desk.command(0).is_none() && desk.said().is_none());
}

#[test]
fn a_release_of_an_unknown_call_is_passed_on_once() {
    let mut desk = Desk::new();
    desk.released(0, 77, 16, Note::None);
    assert!(matches!(desk.said(), Some(ToFront::Release(None, CallName(77), Cause(16)))));
    desk.released(1, 77, 16, Note::None);
    assert!(desk.said().is_none());
}

#[test]
fn a_callers_release_reaches_the_hub_also_for_a_call_from_before_the_start() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    desk.set_up(0).expect("sent");
    desk.stands(0, 1);
    desk.tell(Input::Hangup(FrontId(0), CallName(1), Cause(16)));
    assert!(matches!(desk.command(0), Some(ToHub::Release(CallName(1), Cause(16)))));
    assert_eq!(desk.core.open_calls(), 0);
    desk.tell(Input::Hangup(FrontId(0), CallName(55), Cause(16)));
    assert!(matches!(desk.command(0), Some(ToHub::Release(CallName(55), _))));
    assert!(matches!(desk.command(1), Some(ToHub::Release(CallName(55), _))));
}

#[test]
fn repeats_unknown_classes_and_foreign_connections_do_no_harm() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    desk.offer(1, 0);
    assert!(desk.set_up(0).is_some() && desk.command(0).is_none(), "a repeat starts nothing");
    desk.tell(Input::Withdrawn(FrontId(0), Origin(6), CallName(1)));
    assert!(desk.command(0).is_none(), "another connection's end withdraws nothing here");
    desk.tell(Input::Hangup(FrontId(0), CallName(1), Cause(16)));
    assert!(desk.command(0).is_none(), "nor does a release of what does not stand yet");
    assert!(desk.said().is_none());
    // The same id on another connection is refused there, whether the first one is open or stands.
    desk.offer_from(6, 1, 0, b"other");
    assert!(matches!(desk.said(), Some(ToFront::Refuse(Origin(6), CallName(1), _))));
    desk.stands(0, 1);
    assert!(matches!(desk.said(), Some(ToFront::Answer(Origin(5), CallName(1), _))));
    desk.offer_from(6, 1, 0, b"other");
    assert!(matches!(desk.said(), Some(ToFront::Refuse(Origin(6), CallName(1), _))));
    assert!(desk.command(0).is_none() && desk.command(1).is_none());
    let deadline = Some(Micros(desk.now + SECOND));
    desk.tell(Input::Offer(Offer {
        front: FrontId(0),
        origin: Origin(5),
        call: CallName(2),
        class: "odd".into(),
        number: "1".into(),
        place: 0,
        deadline,
        repeat: false,
        returned: false,
        description: Description::default(),
    }));
    assert!(matches!(desk.said(), Some(ToFront::Fail(_, CallName(2)))));
}

#[test]
fn a_stop_refuses_what_is_left_at_its_time() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    desk.tell(Input::Stop(Micros(desk.now + SECOND / 2)));
    desk.pass(5_000);
    assert_eq!(*desk.status.borrow(), Status { settled: false, stopping: true, unanswered: 1 });
    desk.pass(SECOND / 2);
    assert!(matches!(desk.said(), Some(ToFront::Refuse(_, CallName(1), _))));
    desk.pass(5_000);
    assert_eq!(desk.status.borrow().unanswered, 0);
}

#[test]
fn descriptions_are_bounded_together_and_give_their_room_back() {
    let mut desk = Desk::with(|c| c.limits.description_bytes = 25_000);
    let body = [b'v'; 10_000];
    for call in [1, 2, 3] {
        desk.offer_with(call, 0, &body);
    }
    assert!(matches!(desk.said(), Some(ToFront::Refuse(_, CallName(3), _))));
    desk.stands(0, 1);
    assert!(matches!(desk.said(), Some(ToFront::Answer(_, CallName(1), _))));
    desk.offer_with(4, 0, &body);
    assert!(desk.said().is_none(), "a call that stands needs its description no more");
    desk.released(0, 2, 17, Note::Engaged);
    assert!(matches!(desk.said(), Some(ToFront::Fail(..) | ToFront::Refuse(..))));
    desk.offer_with(5, 0, &body);
    assert!(desk.said().is_none(), "nor does one that is over");
}

#[test]
fn a_planned_end_half_way_through_a_picture_still_gives_a_whole_one() {
    let (mut desk, latest) = keeping(None);
    let hubs = (0..1000).map(|n| hub(&format!("h-{n}"), "10.0.0.9:1", n, Phase::Up)).collect();
    desk.tell(list(true, hubs));
    desk.pass(SECOND + 15_000);
    assert!(latest.borrow().is_none(), "it is being gathered");
    desk.tell(Input::Keep);
    let picture = latest.borrow().clone().expect("whole");
    let names: std::collections::BTreeSet<_> = picture.hubs.iter().map(|k| k.hub.uid.clone()).collect();
    assert_eq!((picture.hubs.len(), names.len()), (1000, 1000));
}

#[test]
fn hubs_of_the_operators_file_are_kept_where_no_list_ever_comes() {
    let (mut desk, latest) = keeping(None);
    desk.core.fix(Micros(START), vec![hub("desk", "iax2:10.0.0.8:4569", 0, Phase::Up)]);
    desk.tell(Input::Keep);
    assert_eq!(latest.borrow().as_ref().expect("handed out").hubs.len(), 1);
}

/// A core with pictures every second, which has heard no list yet, and recalls something if it is given.
fn keeping(memory: Option<Memory>) -> (Desk, watch::Receiver<Option<Arc<Picture>>>) {
    let mut desk = Desk::with(|config| config.known.events.clear());
    let (pictures, latest) = watch::channel(None);
    desk.core.keep(pictures, Micros(SECOND), Micros(START));
    if let Some(memory) = memory {
        desk.core.recollect(memory);
    }
    (desk, latest)
}

fn kept(uid: &str, endpoint: &str, place: i64) -> Kept {
    let hub = Identity { uid: uid.into(), endpoint: endpoint.into(), place, born: None };
    let belief = ServerEstimate {
        heard: Micros(START - SECOND),
        pass: 0.1,
        carries: 3.0,
        ..ServerEstimate::default()
    };
    Kept { hub, belief }
}

#[test]
fn pictures_are_handed_out_after_the_first_list_a_few_hubs_at_a_tick() {
    let (mut desk, mut latest) = keeping(None);
    desk.pass(5 * SECOND);
    desk.tell(Input::Keep);
    assert!(latest.borrow_and_update().is_none(), "nothing is known before the first list");
    let hubs = (0..1000).map(|n| hub(&format!("h-{n}"), "10.0.0.9:1", n, Phase::Up)).collect();
    desk.tell(list(true, hubs));
    desk.pass(20_000);
    assert!(latest.borrow().is_none(), "not all at one tick");
    desk.pass(30_000);
    let picture = latest.borrow_and_update().clone().expect("whole");
    assert_eq!(picture.hubs.len(), 1000);
    assert_eq!(picture.hold, 8.0);
    // The next comes a second after; at the end one comes at once, without what is gone.
    desk.tell(list(false, vec![hub("h-3", "", 3, Phase::Gone)]));
    desk.pass(900_000);
    assert!(!latest.has_changed().expect("open"));
    desk.tell(Input::Keep);
    assert_eq!(latest.borrow_and_update().as_ref().expect("at once").hubs.len(), 999);
}

#[test]
fn what_was_kept_is_recalled_for_the_same_hub_and_kept_on_for_one_not_named_yet() {
    let hubs = vec![kept("a", "10.0.0.1:1", 0), kept("b", "10.0.0.7:1", 1), kept("late", "10.0.0.3:1", 2)];
    let picture = Picture { at: Micros(START - SECOND), hold: 5.0, hubs };
    let memory = Memory::new(picture, Ageing::default(), Micros(START)).0;
    let (mut desk, latest) = keeping(Some(memory));
    // b has another address by now: another machine.
    desk.tell(list(true, vec![hub("a", "10.0.0.1:1", 0, Phase::Up), hub("b", "10.0.0.2:1", 1, Phase::Up)]));
    desk.tell(Input::Keep);
    let now_kept = |latest: &watch::Receiver<Option<Arc<Picture>>>, uid: &str| {
        let picture = latest.borrow().clone().expect("handed out");
        picture.hubs.iter().find(|k| &*k.hub.uid == uid).map(|k| (k.belief.pass, k.belief.heard))
    };
    assert_eq!(latest.borrow().as_ref().expect("handed out").hold, 5.0);
    let (pass, heard) = now_kept(&latest, "a").expect("kept");
    assert!(pass < 0.2 && heard == Micros(START - SECOND), "{pass} {heard:?}");
    assert_eq!(now_kept(&latest, "b"), Some((1.0, Micros(0))), "nothing is known of it");
    assert_eq!(now_kept(&latest, "late"), Some((0.1, Micros(START - SECOND))));
    // A list that names it later finds it; one that leaves and comes back does not find it again.
    desk.tell(list(false, vec![hub("late", "10.0.0.3:1", 2, Phase::Up)]));
    desk.tell(Input::Keep);
    assert!(now_kept(&latest, "late").expect("kept").0 < 0.2);
    desk.tell(list(false, vec![hub("late", "10.0.0.3:1", 2, Phase::Gone)]));
    desk.tell(list(false, vec![hub("late", "10.0.0.3:1", 2, Phase::Up)]));
    desk.tell(Input::Keep);
    assert_eq!(now_kept(&latest, "late"), Some((1.0, Micros(0))));
}

#[test]
fn a_hub_at_the_address_of_one_that_was_not_told_gone_succeeds_it() {
    let mut desk = Desk::new();
    desk.offer(1, 0);
    desk.set_up(0).expect("at a");
    desk.stands(0, 1);
    assert!(matches!(desk.said(), Some(ToFront::Answer(..))));
    // The end of 'a' is late, or lost: who has its address now is another process.
    desk.tell(list(false, vec![hub("c", "10.0.0.1:1", 0, Phase::Up)]));
    assert!(matches!(desk.command(0), Some(ToHub::Close)), "nothing dials that address for 'a' any more");
    assert!(matches!(desk.said(), Some(ToFront::Release(Some(_), CallName(1), Cause(41)))));
    desk.hear(0, FromHub::Closed);
    assert_eq!(desk.links.lock().expect("lock")[2].endpoint, "10.0.0.1:1");
    desk.offer(2, 0);
    assert!(desk.set_up(2).is_some(), "the new one has its place");
    // What comes late about 'a' takes nothing from its successor.
    desk.tell(list(false, vec![hub("a", "10.0.0.1:1", 0, Phase::Gone)]));
    assert!(desk.command(2).is_none());
}

#[test]
fn what_may_have_run_is_not_refused_nor_sent_again_unless_its_class_bears_it() {
    for (effect, refused) in
        [(Idempotency::Free, true), (Idempotency::Guarded, false), (Idempotency::SingleShot, false)]
    {
        let mut desk = Desk::with(|config| config.settings.classes[0].idempotency = effect);
        for call in [1, 2] {
            desk.offer(call, 0);
        }
        desk.set_up(0).expect("at a");
        desk.set_up(0).expect("at a");
        // A planned end comes while one is out and one waits for its pause to pass.
        desk.tell(Input::Stop(Micros(desk.now + 100_000)));
        desk.hear(0, FromHub::Broken(CallName(2), 2));
        desk.pass(150_000);
        let mut said = Vec::new();
        while let Some(message) = desk.said() {
            said.push(matches!(message, ToFront::Refuse(..)));
        }
        assert_eq!(said, [refused, refused], "{effect:?}");
        assert!(matches!(desk.command(0), Some(ToHub::GiveUp(CallName(1), 1))), "and the hub is told");
    }
}

#[test]
fn who_does_not_say_how_long_it_waits_waits_as_long_as_its_class_and_no_longer_than_the_longest() {
    for (asked, class_ms, waits_ms) in [
        (None, 900, 900),
        (Some(1_500), 900, 1_500),
        (Some(500_000), 900, 60_000),
        (Some(500_000), 90_000, 90_000),
    ] {
        let mut desk = Desk::with(|config| {
            config.settings.classes[0].deadline = Micros(class_ms * 1000);
            config.settings.classes[0].objective = Micros(class_ms * 500);
        });
        let now = desk.now;
        desk.tell(Input::Offer(Offer {
            front: FrontId(0),
            origin: Origin(5),
            call: CallName(1),
            class: "voice".into(),
            number: "7f3a".into(),
            place: 0,
            deadline: asked.map(|ms| Micros(now + ms * 1000)),
            repeat: false,
            returned: false,
            description: Description::default(),
        }));
        let Some(ToHub::SetUp(set_up)) = desk.command(0) else { panic!("sent") };
        let until = set_up.until.0;
        let end = now + waits_ms * 1000;
        assert!((end - 100_000..=end).contains(&until), "{asked:?} {class_ms}: {}", until - now);
    }
}

#[tokio::test]
async fn a_set_up_that_is_withdrawn_while_it_waits_in_the_queue_is_not_sent_on() {
    let desk = Desk::new();
    let offer = |call: u64, origin: u64| {
        Input::Offer(Offer {
            front: FrontId(0),
            origin: Origin(origin),
            call: CallName(call),
            class: "voice".into(),
            number: "7f3a".into(),
            place: 0,
            deadline: None,
            repeat: false,
            returned: false,
            description: Description::default(),
        })
    };
    let gone = |call: u64, origin: u64| Input::Withdrawn(FrontId(0), Origin(origin), CallName(call));
    let (inputs, queue) = mpsc::channel(QUEUE);
    // All of it is there before the core looks. The second is withdrawn by one that does not own it; the third
    // is withdrawn and then comes again.
    for input in [offer(1, 5), offer(2, 5), offer(3, 5), gone(1, 5), gone(2, 9), gone(3, 5), offer(3, 5)] {
        inputs.send(input).await.expect("taken");
    }
    let Desk { core, links, front: _front, .. } = desk;
    drop(inputs);
    petreldock::core::run(core, queue, Clock::system()).await;
    let mut sent = Vec::new();
    for link in links.lock().expect("lock").iter_mut() {
        while let Ok(command) = link.commands.try_recv() {
            if let ToHub::SetUp(set_up) = command {
                sent.push(set_up.call.0);
            }
        }
    }
    sent.sort_unstable();
    assert_eq!(sent, [2, 3]);
}
