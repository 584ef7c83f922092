//! Callers that have gone: their calls are sent on no more, wherever they wait when that happens. Each test forces
//! the departure to be in the program's sockets for longer than it may take to be noticed before an attempt could
//! begin: by a program that is stopped (SIGSTOP), by a hub whose accept queue is full, by one that reads nothing, or
//! by a pause that is not over. Every set-up that begins after that is one that began too late; no test measures
//! how long anything took.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/script.rs"]
mod script;
#[path = "common/site.rs"]
mod site;

use peers::*;
use petreldock::net::binary::{code, kind};
use script::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longer than a departure may take to be noticed.
const NOTICED: Duration = Duration::from_millis(150);
/// How long a caller here waits for its answer, in milliseconds.
const WITHIN: u64 = 60_000;
/// Callers of each kind in one crossing.
const EACH: usize = 6;
const DEBUG: Option<&str> = Some(r#"{"log":{"level":"debug"}}"#);
/// The hubs' message that means nothing.
const PROGRESS: u8 = 6;
/// A state of `/proc/net/tcp`: the other end has sent its FIN.
const CLOSE_WAIT: &str = "08";

/// How a caller leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It closes its connection (FIN).
    Closes,
    /// Its connection is reset (RST).
    Resets,
    /// It sends CANCEL, and its connection stays.
    Cancels,
}

/// What happens first while the program is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Order {
    HubFirst,
    CallersFirst,
    /// Call by call, in turn.
    Alternating,
}

const ORDERS: [Order; 3] = [Order::HubFirst, Order::CallersFirst, Order::Alternating];

/// One caller with one call.
struct Party {
    caller: Option<Caller>,
    /// The address of its end of the connection.
    address: SocketAddr,
    call: u64,
    /// How it is to leave; else it stays.
    leaves: Option<Departure>,
}

impl Party {
    fn connect(program: &Program, call: u64, leaves: Option<Departure>) -> Party {
        let caller = Caller::connect(program.address);
        let address = caller.stream.local_addr().expect("an address");
        Party { caller: Some(caller), address, call, leaves }
    }

    fn invite(&mut self) {
        self.invite_to(0);
    }

    /// Invites with a hub of first choice.
    fn invite_to(&mut self, place: i64) {
        let (caller, call) = (self.caller.as_mut().expect("it is there"), self.call);
        caller.invite(call, WITHIN, place);
    }

    /// Leaves, where it is one that leaves.
    fn leave(&mut self) {
        match self.leaves {
            None => {}
            Some(Departure::Closes) => drop(self.caller.take()),
            Some(Departure::Resets) => self.caller.take().into_iter().for_each(|c| reset(c.stream)),
            Some(Departure::Cancels) => {
                let call = self.call;
                self.caller.as_mut().expect("it is there").send("CANCEL", call, "", b"");
            }
        }
    }

    /// Whether its departure is in the socket of the program, which stands still, by the kernel's table.
    fn is_gone(&self, program: &Program, table: &str) -> bool {
        let end = socket(table, program.address, self.address);
        match self.leaves {
            None => true,
            Some(Departure::Cancels) => end.is_some_and(|(_, unread)| unread > 0),
            Some(Departure::Closes | Departure::Resets) => end.is_none_or(|(state, _)| state == CLOSE_WAIT),
        }
    }
}

/// Has the callers leave that do, and waits till that is in the sockets of the program, which stands still or runs.
fn leave(program: &Program, parties: &mut [Party], stopped: bool) {
    parties.iter_mut().for_each(Party::leave);
    are_seen_to_leave(program, parties, stopped);
}

fn are_seen_to_leave(program: &Program, parties: &mut [Party], stopped: bool) {
    let cancels = |p: &&mut Party| !stopped && p.leaves == Some(Departure::Cancels);
    for party in parties.iter_mut().filter(cancels) {
        let call = party.call;
        assert_eq!(status(party.caller.as_mut().expect("it is there"), call), 487);
    }
    until("the departures are in the sockets", || {
        let table = table();
        let seen = |p: &Party| !stopped && p.leaves == Some(Departure::Cancels) || p.is_gone(program, &table);
        parties.iter().all(seen).then_some(())
    });
}

/// Callers that leave in each way, and some that stay, in turn.
fn parties(program: &Program, first: u64) -> Vec<Party> {
    let kinds = [Some(Departure::Closes), Some(Departure::Resets), Some(Departure::Cancels), None];
    let kinds = kinds.iter().cycle().take(kinds.len() * EACH);
    (first..).zip(kinds).map(|(call, leaves)| Party::connect(program, call, *leaves)).collect()
}

/// Resets a connection: the kernel drops it without a FIN.
fn reset(stream: TcpStream) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _context = runtime.enter();
    stream.set_nonblocking(true).expect("set");
    let stream = tokio::net::TcpStream::from_std(stream).expect("handed over");
    stream.set_zero_linger().expect("set");
}

/// The kernel's table of connections.
fn table() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("read")
}

/// State and unread bytes of the end `local` of a loopback connection, as the table has it; none once it is gone.
fn socket(table: &str, local: SocketAddr, remote: SocketAddr) -> Option<(String, usize)> {
    let address = |a: SocketAddr| format!("0100007F:{:04X}", a.port());
    let ends = format!(" {} {} ", address(local), address(remote));
    let line = table.lines().find(|line| line.contains(&ends))?;
    let fields: Vec<&str> = line.split_whitespace().collect();
    let unread = fields.get(4)?.split_once(':')?.1;
    Some((fields[3].to_string(), usize::from_str_radix(unread, 16).ok()?))
}

/// How often the program logged that of a call.
fn logged(program: &Program, what: &str, call: u64) -> usize {
    program.log().matches(&format!("{what} call={call:016x}")).count()
}

fn wait_logged(program: &Program, what: &str, call: u64, count: usize) {
    until(&format!("{what} {call:x}, {count} times"), || {
        (logged(program, what, call) >= count).then_some(())
    });
}

/// The program with its debug log, and with settings that are changed first.
fn started(targets: &[String], change: impl Fn(String) -> String) -> Program {
    Program::launch(any_address(), targets, None, DEBUG, 1024, |text| change(unhurried(text)))
}

/// A pause so long that a test can do much in it.
fn long_pause(text: String) -> String {
    text.replace("\"release\":200000", &format!("\"release\":{}", LONG_PAUSE.as_micros()))
}
const LONG_PAUSE: Duration = Duration::from_secs(4);

/// A dial may come up late.
fn patient(text: String) -> String {
    text.replace("\"dialTimeout\":500000", "\"dialTimeout\":60000000")
}

/// A release that ends a set-up with a cause.
fn refuse(hub: &mut ScriptedHub, to: &Sent, cause: u8) {
    hub.say(to.link, kind::RELEASE, to.call, &[(code::CAUSE, &[cause])]);
}

/// A call that is set up at a hub before the attempts that are to be reset, and answered after them.
struct EarlyCall {
    party: Party,
    sent: Sent,
}

impl EarlyCall {
    fn set_up(program: &Program, hub: &mut ScriptedHub, place: i64, call: u64) -> EarlyCall {
        let mut party = Party::connect(program, call, None);
        party.invite_to(place);
        EarlyCall { party, sent: hub.set_up(call, 1) }
    }

    /// Has its hub answer it, so that the resets which follow are not taken for the hub's death: attempts go there as
    /// before. The answer must come after all attempts that are to be reset are out, or it shows nothing of them; and
    /// it must be to an earlier set-up, or they count as overtaken where this process is short of time, and are called
    /// off, or closed with their connection, and sent again before anyone could leave.
    fn is_answered(&mut self, program: &Program, hub: &mut ScriptedHub) {
        hub.answer(&self.sent);
        let call = self.party.call;
        assert_eq!(status(self.party.caller.as_mut().expect("it is there"), call), 200);
        wait_logged(program, "call answered", call, 1);
    }
}

/// Ends all connections of a hub while the program stands still, so that it hears of all ends at once: else, where
/// this process is short of time, what was on the first could be sent again on the second and end with that.
fn break_all(program: &Program, hub: &mut ScriptedHub) {
    program.pause();
    (0..hub.links.len()).for_each(|link| hub.break_connection(link));
    program.go_on();
}

/// Has a caller that comes now set up a call: the program has gone on, and sends on again.
fn sends_on(program: &Program, hubs: &mut [ScriptedHub], call: u64) -> Party {
    let mut marker = Party::connect(program, call, None);
    marker.invite();
    set_up(hubs, call, 1);
    marker
}

/// How often a call was set up at any of the hubs.
fn set_ups(hubs: &mut [ScriptedHub], call: u64) -> usize {
    hubs.iter_mut().map(|hub| hub.set_ups(call)).sum()
}

/// Waits for the `count`-th set-up of a call at any of the hubs; says which and what.
fn set_up(hubs: &mut [ScriptedHub], call: u64, count: usize) -> (usize, Sent) {
    until(&format!("set-up {count} of {call:x}"), || {
        hubs.iter_mut().for_each(ScriptedHub::take_in);
        let all = hubs.iter().enumerate().flat_map(|(n, hub)| hub.sent.iter().map(move |s| (n, s)));
        let mut of_call = all.filter(|(_, s)| s.kind == kind::SET_UP && s.call == call);
        of_call.nth(count - 1).map(|(n, sent)| (n, sent.clone()))
    })
}

/// The callers that stay are set up once more than `before`, which shows that those that left would have been; and
/// those that left are not.
fn only_those_that_stay(hubs: &mut [ScriptedHub], parties: &[Party], before: usize, what: &str) {
    for party in parties.iter().filter(|p| p.leaves.is_none()) {
        set_up(hubs, party.call, before + 1);
    }
    // What was decided at the same time as their attempts is out by now.
    sleep(2 * NOTICED);
    let sent: Vec<(u64, Option<Departure>, usize)> = parties
        .iter()
        .filter(|p| p.leaves.is_some())
        .map(|p| (p.call, p.leaves, set_ups(hubs, p.call)))
        .filter(|(.., count)| *count != before)
        .collect();
    let all = parties.iter().filter(|p| p.leaves.is_some()).count();
    assert!(sent.is_empty(), "{what}: {} of {all} are sent on for nobody: {sent:?}", sent.len());
}

/// Has the callers leave, and what the hubs say besides, in an order, while the program stands still; lets it go on
/// once all of that was in its sockets for longer than it may take to be noticed.
fn cross(program: &Program, parties: &mut [Party], order: Order, mut hub_says: impl FnMut(usize)) {
    match order {
        Order::HubFirst => {
            (0..parties.len()).for_each(&mut hub_says);
            parties.iter_mut().for_each(Party::leave);
        }
        Order::CallersFirst => {
            parties.iter_mut().for_each(Party::leave);
            (0..parties.len()).for_each(&mut hub_says);
        }
        Order::Alternating => parties.iter_mut().enumerate().for_each(|(n, party)| {
            if n % 2 == 0 {
                hub_says(n);
                party.leave();
            } else {
                party.leave();
                hub_says(n);
            }
        }),
    }
    are_seen_to_leave(program, parties, true);
    sleep(NOTICED);
}

// ---- before the set-up is read ----

#[test]
fn a_first_attempt_does_not_begin_once_its_unread_caller_left() {
    let mut hubs = [ScriptedHub::new()];
    let program = started(&[hubs[0].target(0)], |text| text);
    for (round, accepted) in [true, false].into_iter().enumerate() {
        let first = 0x100 * (round as u64 + 1);
        let mut all = if accepted { parties(&program, first) } else { Vec::new() };
        for party in &mut all {
            let caller = party.caller.as_mut().expect("it is there");
            caller.send("OPTIONS", 0, "", b"");
            assert_eq!(status(caller, 0), 200);
        }
        program.pause();
        if !accepted {
            all = parties(&program, first);
        }
        all.iter_mut().for_each(Party::invite);
        cross(&program, &mut all, Order::CallersFirst, |_| {});
        program.go_on();
        only_those_that_stay(&mut hubs, &all, 0, &format!("accepted {accepted}"));
    }
}

/// Set-ups behind one another on one connection, more than one look takes in.
const PIPELINED: u64 = 300;

/// Has a caller send many set-ups and leave before any of them is read.
fn leaves_many_unread(how: Departure, body: usize) {
    let mut hubs = [ScriptedHub::new()];
    let program = started(&[hubs[0].target(0)], |text| text);
    let mut party = Party::connect(&program, 0, Some(how));
    let caller = party.caller.as_mut().expect("it is there");
    caller.send("OPTIONS", 0, "", b"");
    assert_eq!(status(caller, 0), 200);
    // What the sockets between them take, and no more: the caller must be able to leave behind it.
    let count = if body > 0 { 12 } else { PIPELINED };
    let more =
        format!("Call-Kind: voice\r\nAnswer-Within: {WITHIN}\r\nRouting-Data: dest:0;width:1;via:-1\r\n");
    let invites = (1..=count).flat_map(|call| request("INVITE", call, &more, &vec![b'v'; body]));
    let mut all: Vec<u8> = invites.collect();
    if how == Departure::Cancels {
        all.extend((1..=count).flat_map(|call| request("CANCEL", call, "", b"")));
    }
    program.pause();
    let caller = party.caller.as_mut().expect("it is there");
    caller.stream.write_all(&all).expect("written");
    let size = all.len();
    until("all is in the socket", || {
        let (_, unread) = socket(&table(), program.address, party.address)?;
        (unread == size).then_some(())
    });
    if how != Departure::Cancels {
        leave(&program, std::slice::from_mut(&mut party), true);
    }
    sleep(NOTICED);
    program.go_on();
    let _marker = sends_on(&program, &mut hubs, 0x9000);
    sleep(NOTICED);
    let sent = (1..=count).filter(|call| hubs[0].set_ups(*call) > 0).count();
    assert_eq!(sent, 0, "{how:?}: of {count} set-ups of {body} bytes each, sent on for nobody");
}

#[test]
fn none_of_many_set_ups_on_a_connection_begins_once_it_was_closed() {
    leaves_many_unread(Departure::Closes, 0);
}

#[test]
fn none_of_many_set_ups_on_a_connection_begins_once_it_was_reset() {
    leaves_many_unread(Departure::Resets, 0);
}

#[test]
fn none_of_many_set_ups_on_a_connection_begins_once_they_were_cancelled() {
    leaves_many_unread(Departure::Cancels, 0);
}

#[test]
fn none_of_the_long_set_ups_on_a_connection_begins_once_it_was_closed() {
    leaves_many_unread(Departure::Closes, 8 * 1024);
}

// ---- a refusal and a departure at once ----

/// How a hub ends a set-up, so that a further attempt is made.
type EndOfAttempt = fn(&mut ScriptedHub, &Sent);

/// Full: it never ran, and goes elsewhere at once.
fn full(hub: &mut ScriptedHub, to: &Sent) {
    refuse(hub, to, 34);
}

/// Its connection ends: it may have run, and is sent again after the pause.
fn broken(hub: &mut ScriptedHub, to: &Sent) {
    hub.break_connection(to.link);
}

/// Set-ups at hubs are ended as their callers leave, with the program short of processor time.
fn ended_as_they_leave(what: &str, end: EndOfAttempt, change: fn(String) -> String) {
    for (round, order) in ORDERS.into_iter().enumerate() {
        let mut hubs = [ScriptedHub::new(), ScriptedHub::new()];
        let targets = [hubs[0].target(0), hubs[1].target(1)];
        let program = started(&targets, change);
        let early =
            (0..).zip(&mut hubs).map(|(n, hub)| EarlyCall::set_up(&program, hub, n, 0x9000 + n as u64));
        let mut early: Vec<EarlyCall> = early.collect();
        let mut all = parties(&program, 0x1000 * (round as u64 + 1));
        all.iter_mut().for_each(Party::invite);
        let at: Vec<(usize, Sent)> = all.iter().map(|p| set_up(&mut hubs, p.call, 1)).collect();
        early.iter_mut().zip(&mut hubs).for_each(|(early, hub)| early.is_answered(&program, hub));
        program.pause();
        cross(&program, &mut all, order, |n| end(&mut hubs[at[n].0], &at[n].1));
        program.go_on();
        only_those_that_stay(&mut hubs, &all, 1, &format!("{what}, {order:?}"));
    }
}

#[test]
fn a_further_attempt_after_full_does_not_begin_once_the_caller_left() {
    ended_as_they_leave("full", full, |text| text);
}

#[test]
fn a_further_attempt_after_a_reset_with_hardly_a_pause_does_not_begin_once_the_caller_left() {
    ended_as_they_leave("broken", broken, |text| text.replace("\"release\":200000", "\"release\":1000"));
}

/// A connection with many calls is closed as all of them are refused.
#[test]
fn none_of_many_calls_of_a_connection_is_sent_again_once_it_was_closed() {
    for (round, order) in [Order::HubFirst, Order::CallersFirst].into_iter().enumerate() {
        let first = 0x1000 * (round as u64 + 1);
        let mut hubs = [ScriptedHub::new(), ScriptedHub::new()];
        let program = started(&[hubs[0].target(0), hubs[1].target(1)], |text| text);
        let mut party = Party::connect(&program, 0, Some(Departure::Closes));
        let calls = first..first + PIPELINED;
        let caller = party.caller.as_mut().expect("it is there");
        calls.clone().for_each(|call| caller.invite(call, WITHIN, 0));
        let at: Vec<(usize, Sent)> = calls.clone().map(|call| set_up(&mut hubs, call, 1)).collect();
        program.pause();
        let mut refuse_all = || at.iter().for_each(|(n, sent)| refuse(&mut hubs[*n], sent, 34));
        if order == Order::HubFirst {
            refuse_all();
            party.leave();
        } else {
            party.leave();
            refuse_all();
        }
        are_seen_to_leave(&program, std::slice::from_mut(&mut party), true);
        sleep(NOTICED);
        program.go_on();
        let _marker = sends_on(&program, &mut hubs, first - 1);
        sleep(NOTICED);
        let sent = calls.filter(|call| set_ups(&mut hubs, *call) > 1).count();
        assert_eq!(sent, 0, "{order:?}: of {PIPELINED} calls, sent on for nobody");
    }
}

// ---- in the pause ----

/// Callers leave in the pause after a reset. `starved`: the program gets no time till the pause is over.
fn leave_in_the_pause(starved: bool) {
    let mut hubs = [ScriptedHub::new()];
    let program = started(&[hubs[0].target(0)], long_pause);
    let mut early = EarlyCall::set_up(&program, &mut hubs[0], 0, 0x9000);
    let mut all = parties(&program, 0x100);
    all.iter_mut().for_each(Party::invite);
    let at: Vec<Sent> = all.iter().map(|p| hubs[0].set_up(p.call, 1)).collect();
    early.is_answered(&program, &mut hubs[0]);
    at.iter().for_each(|sent| broken(&mut hubs[0], sent));
    all.iter().for_each(|p| wait_logged(&program, "attempt ended", p.call, 1));
    let ended = Instant::now();
    if starved {
        program.pause();
    }
    for party in &all {
        assert_eq!(set_ups(&mut hubs, party.call), 1, "the pause is over before anyone could leave");
    }
    leave(&program, &mut all, starved);
    let over = ended + LONG_PAUSE + NOTICED;
    sleep(over.saturating_duration_since(Instant::now()).max(NOTICED));
    if starved {
        program.go_on();
    }
    only_those_that_stay(&mut hubs, &all, 1, &format!("starved {starved}"));
}

#[test]
fn a_further_attempt_does_not_begin_once_the_caller_left_in_the_pause() {
    leave_in_the_pause(false);
}

#[test]
fn a_pause_that_is_over_when_a_stopped_program_goes_on_begins_nothing_for_those_that_left() {
    leave_in_the_pause(true);
}

// ---- during a dial ----

/// Waits till a connection of the program is up at a hub, besides those that filled its queue.
fn dial_comes_up(hub: &mut ScriptedHub, filling: &[TcpStream]) {
    let own: Vec<SocketAddr> = filling.iter().map(|s| s.local_addr().expect("an address")).collect();
    let known = hub.links.len();
    until("the dial comes up", || {
        hub.take_in();
        let news = &hub.links[known..];
        news.iter().any(|l| l.stream.peer_addr().is_ok_and(|a| !own.contains(&a))).then_some(())
    });
}

/// Callers leave while the hub is dialled. `further`: their first attempts were broken with the hub's connections.
/// `starved`: the program gets no time till both the departures and the dial are in its sockets, in that order.
fn leave_during_a_dial(further: bool, starved: Option<Order>) {
    let mut hubs = [ScriptedHub::with_short_queue()];
    let mut filling = if further { Vec::new() } else { hubs[0].fill_queue() };
    let program = started(&[hubs[0].target(0)], patient);
    let mut early = further.then(|| EarlyCall::set_up(&program, &mut hubs[0], 0, 0x9000));
    let mut all = parties(&program, 0x100);
    all.iter_mut().for_each(Party::invite);
    if let Some(early) = &mut early {
        all.iter().for_each(|p| drop(hubs[0].set_up(p.call, 1)));
        early.is_answered(&program, &mut hubs[0]);
        filling = hubs[0].fill_queue();
        break_all(&program, &mut hubs[0]);
    }
    let before = usize::from(further);
    all.iter().for_each(|p| wait_logged(&program, "attempt sent", p.call, before + 1));
    if starved.is_some() {
        program.pause();
    }
    for party in &all {
        assert_eq!(logged(&program, "begun", party.call), before, "it waits for the dial");
    }
    if starved != Some(Order::HubFirst) {
        leave(&program, &mut all, starved.is_some());
        sleep(NOTICED);
    }
    dial_comes_up(&mut hubs[0], &filling);
    if starved == Some(Order::HubFirst) {
        leave(&program, &mut all, true);
    }
    if starved.is_some() {
        sleep(NOTICED);
        program.go_on();
    }
    let what = format!("further {further}, starved {starved:?}");
    only_those_that_stay(&mut hubs, &all, before, &what);
}

#[test]
fn a_first_attempt_does_not_begin_once_the_caller_left_during_the_dial() {
    leave_during_a_dial(false, None);
}

#[test]
fn a_further_attempt_does_not_begin_once_the_caller_left_during_the_dial() {
    leave_during_a_dial(true, None);
}

#[test]
fn a_dial_that_is_up_when_a_stopped_program_goes_on_begins_no_first_attempt_for_those_that_left() {
    leave_during_a_dial(false, Some(Order::CallersFirst));
    leave_during_a_dial(false, Some(Order::HubFirst));
}

#[test]
fn a_dial_that_is_up_when_a_stopped_program_goes_on_begins_no_further_attempt_for_those_that_left() {
    leave_during_a_dial(true, Some(Order::CallersFirst));
    leave_during_a_dial(true, Some(Order::HubFirst));
}

// ---- behind a hub that reads nothing ----

/// Fills all of a hub's connections, which reads nothing: several set-ups in a row are sent on and do not begin.
/// Gives back the caller of these and their last call.
fn fill_connections(program: &Program, hub: &mut ScriptedHub, first: u64) -> (Caller, u64) {
    until("both connections are up", || {
        hub.take_in();
        (hub.links.len() == 2).then_some(())
    });
    let mut filler = Caller::connect(program.address);
    let body = vec![b'v'; 15 * 1024];
    let more =
        format!("Call-Kind: voice\r\nAnswer-Within: {WITHIN}\r\nRouting-Data: dest:0;width:1;via:-1\r\n");
    let (mut last, mut stuck) = (first, 0);
    while stuck < 4 {
        last += 1;
        // Progress means nothing, but shows that the connection is alive: else it would get another beside it.
        (0..2).for_each(|link| hub.say(link, PROGRESS, 0, &[]));
        filler.send("INVITE", last, &more, &body);
        wait_logged(program, "attempt sent", last, 1);
        let end = Instant::now() + Duration::from_millis(200);
        while logged(program, "begun", last) == 0 && Instant::now() < end {
            sleep(Duration::from_millis(5));
        }
        stuck = if logged(program, "begun", last) > 0 { 0 } else { stuck + 1 };
        assert!(last < first + 0x800, "the sockets take all");
    }
    (filler, last)
}

/// Callers leave while their set-ups wait behind a hub that reads nothing, and then it reads on. `further`: their
/// first attempts were refused by another hub, which was full. `starved`: the program gets no time meanwhile; what it finds first is given by `order`.
fn leave_behind_a_hub_that_reads_nothing(further: bool, starved: bool, order: Order) {
    let mut hubs = [ScriptedHub::narrow(), ScriptedHub::new()];
    let program = started(&[hubs[0].target(0), hubs[1].target(1)], |text| text);
    let before = usize::from(further);
    let (filler, last) = fill_connections(&program, &mut hubs[0], 0x4000);
    let mut all = parties(&program, 0x100);
    all.iter_mut().for_each(|party| party.invite_to(i64::from(further)));
    if further {
        let at: Vec<Sent> = all.iter().map(|p| hubs[1].set_up(p.call, 1)).collect();
        at.iter().for_each(|sent| full(&mut hubs[1], sent));
    }
    all.iter().for_each(|p| wait_logged(&program, "attempt sent", p.call, before + 1));
    if starved {
        program.pause();
    }
    for party in &all {
        assert_eq!(logged(&program, "begun", party.call), before, "it waits behind the others");
    }
    if starved {
        cross(&program, &mut all, order, |_| hubs[0].take_in());
        program.go_on();
    } else {
        leave(&program, &mut all, false);
        sleep(NOTICED);
    }
    let what = format!("further {further}, starved {starved}, {order:?}");
    hubs[0].set_up(last, 1);
    only_those_that_stay(&mut hubs, &all, before, &what);
    drop(filler);
}

#[test]
fn a_first_attempt_does_not_begin_once_the_caller_left_behind_a_hub_that_reads_nothing() {
    leave_behind_a_hub_that_reads_nothing(false, false, Order::CallersFirst);
}

#[test]
fn a_further_attempt_does_not_begin_once_the_caller_left_behind_a_hub_that_reads_nothing() {
    leave_behind_a_hub_that_reads_nothing(true, false, Order::CallersFirst);
}

#[test]
fn a_hub_that_reads_on_while_the_program_is_stopped_gets_no_first_attempt_for_those_that_left() {
    for order in ORDERS {
        leave_behind_a_hub_that_reads_nothing(false, true, order);
    }
}

#[test]
fn a_hub_that_reads_on_while_the_program_is_stopped_gets_no_further_attempt_for_those_that_left() {
    for order in ORDERS {
        leave_behind_a_hub_that_reads_nothing(true, true, order);
    }
}

// ---- callers that have not left ----

/// A connection without a set-up is closed after 5 s; what came in that time is no silence.
const LONGER_THAN_IDLE: Duration = Duration::from_millis(5_500);

#[test]
fn what_waits_in_its_socket_keeps_a_connection_from_being_closed_as_idle() {
    let mut hubs = [ScriptedHub::new()];
    let program = started(&[hubs[0].target(0)], |text| text);
    let mut all: Vec<Party> =
        (0x100..0x100 + EACH as u64).map(|c| Party::connect(&program, c, None)).collect();
    for party in &mut all {
        let caller = party.caller.as_mut().expect("it is there");
        caller.send("OPTIONS", 0, "", b"");
        assert_eq!(status(caller, 0), 200);
    }
    program.pause();
    all.iter_mut().for_each(Party::invite);
    sleep(LONGER_THAN_IDLE);
    program.go_on();
    for party in &mut all {
        let (_, sent) = set_up(&mut hubs, party.call, 1);
        hubs[0].answer(&sent);
        assert_eq!(status(party.caller.as_mut().expect("it is there"), party.call), 200);
    }
}
