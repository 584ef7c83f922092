//! Tests that no attempt begins for a call after its caller abandoned it, wherever the call waits at that time. Each
//! test leaves the disconnect or CANCEL in the program's sockets for longer than the program may take to detect it
//! before an attempt could begin: the program is stopped (SIGSTOP), the hub's accept queue is full, the hub reads
//! nothing, or the pause before the further attempt is not over. A set-up that begins after that is a failure; no test
//! measures how long anything takes.

#[path = "common/peers.rs"]
mod peers;
#[path = "common/scripted_hub.rs"]
mod scripted_hub;
#[path = "common/site_config.rs"]
mod site_config;

use peers::*;
use petreldock::net::binary::{code, kind};
use scripted_hub::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time that is longer than the program may take to detect that a call was abandoned.
const DETECTION_TIME: Duration = Duration::from_millis(150);
/// Value of `Answer-Within` in all set-ups, in milliseconds.
const ANSWER_WITHIN_MS: u64 = 60_000;
/// Number of callers of each kind in one test.
const CALLERS_PER_KIND: usize = 6;
/// Operator's file that enables the debug log.
const DEBUG_LOG: Option<&str> = Some(r#"{"log":{"level":"debug"}}"#);
/// Type of the hubs' progress message, which has no effect on a call.
const PROGRESS: u8 = 6;
/// State in `/proc/net/tcp` of a socket whose peer has sent its FIN.
const CLOSE_WAIT: &str = "08";

/// How a caller abandons its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Abandonment {
    /// It closes its connection (FIN).
    Close,
    /// Its connection is reset (RST).
    Reset,
    /// It sends CANCEL and keeps its connection open.
    Cancel,
}

/// Order of the hub's messages and the callers' abandonments while the program is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EventOrder {
    HubFirst,
    CallersFirst,
    /// Call by call, with the hub first for every other call.
    Alternating,
}

const EVENT_ORDERS: [EventOrder; 3] =
    [EventOrder::HubFirst, EventOrder::CallersFirst, EventOrder::Alternating];

/// A calling party: one connection with one call.
struct Party {
    caller: Option<Caller>,
    /// Local address of the caller's connection.
    address: SocketAddr,
    call: u64,
    /// How it abandons the call; `None` if it keeps waiting.
    abandonment: Option<Abandonment>,
}

impl Party {
    fn connect(program: &Program, call: u64, abandonment: Option<Abandonment>) -> Party {
        let caller = Caller::connect(program.address);
        let address = caller.stream.local_addr().expect("an address");
        Party { caller: Some(caller), address, call, abandonment }
    }

    fn invite(&mut self) {
        self.invite_to(0);
    }

    /// Sends the INVITE with a place, which selects the preferred hub.
    fn invite_to(&mut self, place: i64) {
        let (caller, call) = (self.caller.as_mut().expect("connected"), self.call);
        caller.invite(call, ANSWER_WITHIN_MS, place);
    }

    /// Abandons the call unless the party keeps waiting.
    fn abandon(&mut self) {
        match self.abandonment {
            None => {}
            Some(Abandonment::Close) => drop(self.caller.take()),
            Some(Abandonment::Reset) => self.caller.take().into_iter().for_each(|c| reset(c.stream)),
            Some(Abandonment::Cancel) => {
                let call = self.call;
                self.caller.as_mut().expect("connected").send("CANCEL", call, "", b"");
            }
        }
    }

    /// Returns whether the abandonment has arrived in the socket of the stopped program, by the kernel's table.
    fn has_arrived(&self, program: &Program, table: &str) -> bool {
        let end = socket_state(table, program.address, self.address);
        match self.abandonment {
            None => true,
            Some(Abandonment::Cancel) => end.is_some_and(|(_, unread)| unread > 0),
            Some(Abandonment::Close | Abandonment::Reset) => end.is_none_or(|(state, _)| state == CLOSE_WAIT),
        }
    }
}

/// Has the parties abandon their calls, and waits until that has arrived at the program, which may be stopped.
fn abandon_calls(program: &Program, parties: &mut [Party], stopped: bool) {
    parties.iter_mut().for_each(Party::abandon);
    wait_until_abandoned(program, parties, stopped);
}

/// Waits until the abandonments have arrived: in the sockets of a stopped program, or, for CANCEL, by their responses.
fn wait_until_abandoned(program: &Program, parties: &mut [Party], stopped: bool) {
    let cancels = |p: &&mut Party| !stopped && p.abandonment == Some(Abandonment::Cancel);
    for party in parties.iter_mut().filter(cancels) {
        let call = party.call;
        assert_eq!(answer_status(party.caller.as_mut().expect("connected"), call), 487);
    }
    wait_until("the abandonments are in the sockets", || {
        let table = tcp_table();
        let has_arrived = |p: &Party| {
            !stopped && p.abandonment == Some(Abandonment::Cancel) || p.has_arrived(program, &table)
        };
        parties.iter().all(has_arrived).then_some(())
    });
}

/// Connects parties that abandon their calls in each way, and parties that keep waiting, in turn.
fn connect_parties(program: &Program, first: u64) -> Vec<Party> {
    let kinds = [Some(Abandonment::Close), Some(Abandonment::Reset), Some(Abandonment::Cancel), None];
    let kinds = kinds.iter().cycle().take(kinds.len() * CALLERS_PER_KIND);
    (first..).zip(kinds).map(|(call, abandonment)| Party::connect(program, call, *abandonment)).collect()
}

/// Resets a connection (RST without FIN).
fn reset(stream: TcpStream) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _context = runtime.enter();
    stream.set_nonblocking(true).expect("set");
    let stream = tokio::net::TcpStream::from_std(stream).expect("handed over");
    stream.set_zero_linger().expect("set");
}

/// Reads the kernel's table of TCP sockets.
fn tcp_table() -> String {
    std::fs::read_to_string("/proc/net/tcp").expect("read")
}

/// State and unread bytes of the socket of a loopback connection with the address `local`, by the kernel's table; `None`
/// once the socket no longer exists.
fn socket_state(table: &str, local: SocketAddr, remote: SocketAddr) -> Option<(String, usize)> {
    let address = |a: SocketAddr| format!("0100007F:{:04X}", a.port());
    let ends = format!(" {} {} ", address(local), address(remote));
    let line = table.lines().find(|line| line.contains(&ends))?;
    let fields: Vec<&str> = line.split_whitespace().collect();
    let unread = fields.get(4)?.split_once(':')?.1;
    Some((fields[3].to_string(), usize::from_str_radix(unread, 16).ok()?))
}

/// How often the program logged a message about a call.
fn log_count(program: &Program, what: &str, call: u64) -> usize {
    program.log().matches(&format!("{what} call={call:016x}")).count()
}

fn wait_for_log(program: &Program, what: &str, call: u64, count: usize) {
    wait_until(&format!("{what} {call:x}, {count} times"), || {
        (log_count(program, what, call) >= count).then_some(())
    });
}

/// Starts the program with its debug log and a changed configuration.
fn start_program(targets: &[String], change: impl Fn(String) -> String) -> Program {
    Program::launch(ephemeral_address(), targets, None, DEBUG_LOG, 1024, |text| {
        change(with_long_objective(text))
    })
}

/// Configures a pause before a further attempt that leaves a test enough time.
fn with_long_pause(text: String) -> String {
    text.replace("\"release\":200000", &format!("\"release\":{}", LONG_PAUSE.as_micros()))
}
const LONG_PAUSE: Duration = Duration::from_secs(4);

/// Configures a dial timeout of 60 s.
fn with_long_dial_timeout(text: String) -> String {
    text.replace("\"dialTimeout\":500000", "\"dialTimeout\":60000000")
}

/// Has a hub end a set-up with a release.
fn release_set_up(hub: &mut ScriptedHub, to: &ReceivedMessage, cause: u8) {
    hub.send(to.connection, kind::RELEASE, to.call, &[(code::CAUSE, &[cause])]);
}

/// A call that is set up at a hub before the attempts that the test resets, and answered after they were made.
struct EarlierCall {
    party: Party,
    sent: ReceivedMessage,
}

impl EarlierCall {
    fn set_up(program: &Program, hub: &mut ScriptedHub, place: i64, call: u64) -> EarlierCall {
        let mut party = Party::connect(program, call, None);
        party.invite_to(place);
        EarlierCall { party, sent: hub.wait_for_set_up(call, 1) }
    }

    /// Has its hub answer the call, so that the program does not take the following resets for a dead hub and makes
    /// further attempts there. The answer must come after all attempts that are to be reset, or it would not show that
    /// the hub is alive after them. It must answer an earlier set-up: otherwise, if the test is short of processor time,
    /// the program would regard the attempts as overtaken, give them up or close their connection, and make further ones
    /// before the calls can be abandoned.
    fn answer(&mut self, program: &Program, hub: &mut ScriptedHub) {
        hub.answer(&self.sent);
        let call = self.party.call;
        assert_eq!(answer_status(self.party.caller.as_mut().expect("connected"), call), 200);
        wait_for_log(program, "call answered", call, 1);
    }
}

/// Closes all connections of a hub while the program is stopped, so that it sees all of them closed at once. Otherwise,
/// if the test is short of processor time, a further attempt for a call of the first connection could be made on the
/// second one and end with that.
fn close_hub_connections(program: &Program, hub: &mut ScriptedHub) {
    program.pause();
    (0..hub.connections.len()).for_each(|connection| hub.break_connection(connection));
    program.resume();
}

/// Sets up a call of a new caller, which shows that the program has continued and makes attempts again.
fn set_up_marker_call(program: &Program, hubs: &mut [ScriptedHub], call: u64) -> Party {
    let mut marker = Party::connect(program, call, None);
    marker.invite();
    wait_for_set_up(hubs, call, 1);
    marker
}

/// Number of set-ups of a call at all hubs.
fn count_set_ups(hubs: &mut [ScriptedHub], call: u64) -> usize {
    hubs.iter_mut().map(|hub| hub.set_up_count(call)).sum()
}

/// Waits for the `count`-th set-up of a call at any of the hubs, and returns the hub's index and the set-up.
fn wait_for_set_up(hubs: &mut [ScriptedHub], call: u64, count: usize) -> (usize, ReceivedMessage) {
    wait_until(&format!("set-up {count} of {call:x}"), || {
        hubs.iter_mut().for_each(ScriptedHub::receive);
        let all = hubs.iter().enumerate().flat_map(|(n, hub)| hub.received.iter().map(move |s| (n, s)));
        let mut of_call = all.filter(|(_, s)| s.kind == kind::SET_UP && s.call == call);
        of_call.nth(count - 1).map(|(n, sent)| (n, sent.clone()))
    })
}

/// Checks that the calls of parties that keep waiting are set up once more than `before`, which shows that the others
/// could have been too, and that abandoned calls are not.
fn assert_no_attempt_for_abandoned_calls(
    hubs: &mut [ScriptedHub],
    parties: &[Party],
    before: usize,
    what: &str,
) {
    for party in parties.iter().filter(|p| p.abandonment.is_none()) {
        wait_for_set_up(hubs, party.call, before + 1);
    }
    // Any attempt that was decided on at the same time has been made by then.
    sleep(2 * DETECTION_TIME);
    let sent: Vec<(u64, Option<Abandonment>, usize)> = parties
        .iter()
        .filter(|p| p.abandonment.is_some())
        .map(|p| (p.call, p.abandonment, count_set_ups(hubs, p.call)))
        .filter(|(.., count)| *count != before)
        .collect();
    let all = parties.iter().filter(|p| p.abandonment.is_some()).count();
    assert!(
        sent.is_empty(),
        "{what}: attempts were made for {} of {all} abandoned calls: {sent:?}",
        sent.len()
    );
}

/// While the program is stopped, has the parties abandon their calls and the hubs send their messages in the given
/// order, and waits until all of that was in the program's sockets for longer than the detection may take.
fn abandon_while_stopped(
    program: &Program,
    parties: &mut [Party],
    order: EventOrder,
    mut hub_sends: impl FnMut(usize),
) {
    match order {
        EventOrder::HubFirst => {
            (0..parties.len()).for_each(&mut hub_sends);
            parties.iter_mut().for_each(Party::abandon);
        }
        EventOrder::CallersFirst => {
            parties.iter_mut().for_each(Party::abandon);
            (0..parties.len()).for_each(&mut hub_sends);
        }
        EventOrder::Alternating => parties.iter_mut().enumerate().for_each(|(n, party)| {
            if n % 2 == 0 {
                hub_sends(n);
                party.abandon();
            } else {
                party.abandon();
                hub_sends(n);
            }
        }),
    }
    wait_until_abandoned(program, parties, true);
    sleep(DETECTION_TIME);
}

// ---- calls abandoned before the set-up is read ----

#[test]
fn a_set_up_abandoned_before_it_is_read_begins_no_attempt() {
    let mut hubs = [ScriptedHub::new()];
    let program = start_program(&[hubs[0].target(0)], |text| text);
    for (round, accepted) in [true, false].into_iter().enumerate() {
        let first = 0x100 * (round as u64 + 1);
        let mut all = if accepted { connect_parties(&program, first) } else { Vec::new() };
        for party in &mut all {
            let caller = party.caller.as_mut().expect("connected");
            caller.send("OPTIONS", 0, "", b"");
            assert_eq!(answer_status(caller, 0), 200);
        }
        program.pause();
        if !accepted {
            all = connect_parties(&program, first);
        }
        all.iter_mut().for_each(Party::invite);
        abandon_while_stopped(&program, &mut all, EventOrder::CallersFirst, |_| {});
        program.resume();
        assert_no_attempt_for_abandoned_calls(&mut hubs, &all, 0, &format!("accepted {accepted}"));
    }
}

/// Number of set-ups sent on one connection without waiting, more than the program reads in one pass.
const PIPELINED_SET_UPS: u64 = 300;

/// Has a caller send many set-ups and abandon them before any is read.
fn abandon_pipelined_set_ups(abandonment: Abandonment, body: usize) {
    let mut hubs = [ScriptedHub::new()];
    let program = start_program(&[hubs[0].target(0)], |text| text);
    let mut party = Party::connect(&program, 0, Some(abandonment));
    let caller = party.caller.as_mut().expect("connected");
    caller.send("OPTIONS", 0, "", b"");
    assert_eq!(answer_status(caller, 0), 200);
    // No more than the socket buffers hold, so that the caller can still abandon the calls after them.
    let count = if body > 0 { 12 } else { PIPELINED_SET_UPS };
    let more = format!(
        "Call-Kind: voice\r\nAnswer-Within: {ANSWER_WITHIN_MS}\r\nRouting-Data: dest:0;width:1;via:-1\r\n"
    );
    let invites = (1..=count).flat_map(|call| request("INVITE", call, &more, &vec![b'v'; body]));
    let mut all: Vec<u8> = invites.collect();
    if abandonment == Abandonment::Cancel {
        all.extend((1..=count).flat_map(|call| request("CANCEL", call, "", b"")));
    }
    program.pause();
    let caller = party.caller.as_mut().expect("connected");
    caller.stream.write_all(&all).expect("written");
    let size = all.len();
    wait_until("all set-ups are in the socket", || {
        let (_, unread) = socket_state(&tcp_table(), program.address, party.address)?;
        (unread == size).then_some(())
    });
    if abandonment != Abandonment::Cancel {
        abandon_calls(&program, std::slice::from_mut(&mut party), true);
    }
    sleep(DETECTION_TIME);
    program.resume();
    let _marker = set_up_marker_call(&program, &mut hubs, 0x9000);
    sleep(DETECTION_TIME);
    let sent = (1..=count).filter(|call| hubs[0].set_up_count(*call) > 0).count();
    assert_eq!(
        sent, 0,
        "{abandonment:?}: how many of {count} abandoned set-ups of {body} bytes reached the hub"
    );
}

#[test]
fn pipelined_set_ups_begin_no_attempt_after_their_connection_is_closed() {
    abandon_pipelined_set_ups(Abandonment::Close, 0);
}

#[test]
fn pipelined_set_ups_begin_no_attempt_after_their_connection_is_reset() {
    abandon_pipelined_set_ups(Abandonment::Reset, 0);
}

#[test]
fn pipelined_set_ups_begin_no_attempt_after_they_are_cancelled() {
    abandon_pipelined_set_ups(Abandonment::Cancel, 0);
}

#[test]
fn long_pipelined_set_ups_begin_no_attempt_after_their_connection_is_closed() {
    abandon_pipelined_set_ups(Abandonment::Close, 8 * 1024);
}

// ---- attempts that end while their calls are abandoned ----

/// A way for a hub to end an attempt so that a further one is made.
type EndAttempt = fn(&mut ScriptedHub, &ReceivedMessage);

/// Refuses the set-up because the hub is full: it never ran, and another hub is tried at once.
fn refuse_as_full(hub: &mut ScriptedHub, to: &ReceivedMessage) {
    release_set_up(hub, to, 34);
}

/// Closes the connection of the set-up: it may have run, and a further attempt follows after the pause.
fn close_connection(hub: &mut ScriptedHub, to: &ReceivedMessage) {
    hub.break_connection(to.connection);
}

/// Ends attempts at hubs while their callers abandon the calls and the program is stopped.
fn abandon_as_attempts_end(what: &str, end: EndAttempt, change: fn(String) -> String) {
    for (round, order) in EVENT_ORDERS.into_iter().enumerate() {
        let mut hubs = [ScriptedHub::new(), ScriptedHub::new()];
        let targets = [hubs[0].target(0), hubs[1].target(1)];
        let program = start_program(&targets, change);
        let earlier =
            (0..).zip(&mut hubs).map(|(n, hub)| EarlierCall::set_up(&program, hub, n, 0x9000 + n as u64));
        let mut earlier: Vec<EarlierCall> = earlier.collect();
        let mut all = connect_parties(&program, 0x1000 * (round as u64 + 1));
        all.iter_mut().for_each(Party::invite);
        let at: Vec<(usize, ReceivedMessage)> =
            all.iter().map(|p| wait_for_set_up(&mut hubs, p.call, 1)).collect();
        earlier.iter_mut().zip(&mut hubs).for_each(|(earlier, hub)| earlier.answer(&program, hub));
        program.pause();
        abandon_while_stopped(&program, &mut all, order, |n| end(&mut hubs[at[n].0], &at[n].1));
        program.resume();
        assert_no_attempt_for_abandoned_calls(&mut hubs, &all, 1, &format!("{what}, {order:?}"));
    }
}

#[test]
fn a_call_abandoned_as_a_full_hub_refuses_it_gets_no_further_attempt() {
    abandon_as_attempts_end("full", refuse_as_full, |text| text);
}

#[test]
fn a_call_abandoned_as_its_attempt_is_reset_gets_no_further_attempt_after_a_short_pause() {
    abandon_as_attempts_end("reset", close_connection, |text| {
        text.replace("\"release\":200000", "\"release\":1000")
    });
}

/// All calls of a connection are refused as full while their caller closes it.
#[test]
fn many_refused_calls_of_a_closed_connection_get_no_further_attempts() {
    for (round, order) in [EventOrder::HubFirst, EventOrder::CallersFirst].into_iter().enumerate() {
        let first = 0x1000 * (round as u64 + 1);
        let mut hubs = [ScriptedHub::new(), ScriptedHub::new()];
        let program = start_program(&[hubs[0].target(0), hubs[1].target(1)], |text| text);
        let mut party = Party::connect(&program, 0, Some(Abandonment::Close));
        let calls = first..first + PIPELINED_SET_UPS;
        let caller = party.caller.as_mut().expect("connected");
        calls.clone().for_each(|call| caller.invite(call, ANSWER_WITHIN_MS, 0));
        let at: Vec<(usize, ReceivedMessage)> =
            calls.clone().map(|call| wait_for_set_up(&mut hubs, call, 1)).collect();
        program.pause();
        let mut refuse_all = || at.iter().for_each(|(n, sent)| release_set_up(&mut hubs[*n], sent, 34));
        if order == EventOrder::HubFirst {
            refuse_all();
            party.abandon();
        } else {
            party.abandon();
            refuse_all();
        }
        wait_until_abandoned(&program, std::slice::from_mut(&mut party), true);
        sleep(DETECTION_TIME);
        program.resume();
        let _marker = set_up_marker_call(&program, &mut hubs, first - 1);
        sleep(DETECTION_TIME);
        let sent = calls.filter(|call| count_set_ups(&mut hubs, *call) > 1).count();
        assert_eq!(
            sent, 0,
            "{order:?}: how many of {PIPELINED_SET_UPS} abandoned calls got a further attempt"
        );
    }
}

// ---- calls abandoned in the pause before a further attempt ----

/// Abandons calls in the pause after a reset. If `stopped`, the program is stopped until the pause is over.
fn abandon_in_pause(stopped: bool) {
    let mut hubs = [ScriptedHub::new()];
    let program = start_program(&[hubs[0].target(0)], with_long_pause);
    let mut earlier = EarlierCall::set_up(&program, &mut hubs[0], 0, 0x9000);
    let mut all = connect_parties(&program, 0x100);
    all.iter_mut().for_each(Party::invite);
    let at: Vec<ReceivedMessage> = all.iter().map(|p| hubs[0].wait_for_set_up(p.call, 1)).collect();
    earlier.answer(&program, &mut hubs[0]);
    at.iter().for_each(|sent| close_connection(&mut hubs[0], sent));
    all.iter().for_each(|p| wait_for_log(&program, "attempt ended", p.call, 1));
    let ended = Instant::now();
    if stopped {
        program.pause();
    }
    for party in &all {
        assert_eq!(
            count_set_ups(&mut hubs, party.call),
            1,
            "the pause must not be over before the calls are abandoned"
        );
    }
    abandon_calls(&program, &mut all, stopped);
    let over = ended + LONG_PAUSE + DETECTION_TIME;
    sleep(over.saturating_duration_since(Instant::now()).max(DETECTION_TIME));
    if stopped {
        program.resume();
    }
    assert_no_attempt_for_abandoned_calls(&mut hubs, &all, 1, &format!("stopped {stopped}"));
}

#[test]
fn a_call_abandoned_in_the_pause_gets_no_further_attempt() {
    abandon_in_pause(false);
}

#[test]
fn a_pause_that_expires_while_the_program_is_stopped_begins_no_attempt_for_abandoned_calls() {
    abandon_in_pause(true);
}

// ---- calls abandoned during a dial ----

/// Waits until the program is connected to a hub whose accept queue was filled by the connections `filling`.
fn wait_for_dial(hub: &mut ScriptedHub, filling: &[TcpStream]) {
    let own: Vec<SocketAddr> = filling.iter().map(|s| s.local_addr().expect("an address")).collect();
    let known = hub.connections.len();
    wait_until("the dial succeeds", || {
        hub.receive();
        let new_links = &hub.connections[known..];
        new_links.iter().any(|l| l.stream.peer_addr().is_ok_and(|a| !own.contains(&a))).then_some(())
    });
}

/// Abandons calls while the hub is dialled. If `further`, their first attempts were lost with the hub's connections.
/// With an order in `stopped`, the program is stopped until the abandonments and the success of the dial are in its
/// sockets, in that order.
fn abandon_during_dial(further: bool, stopped: Option<EventOrder>) {
    let mut hubs = [ScriptedHub::with_short_accept_queue()];
    let mut filling = if further { Vec::new() } else { hubs[0].fill_accept_queue() };
    let program = start_program(&[hubs[0].target(0)], with_long_dial_timeout);
    let mut earlier = further.then(|| EarlierCall::set_up(&program, &mut hubs[0], 0, 0x9000));
    let mut all = connect_parties(&program, 0x100);
    all.iter_mut().for_each(Party::invite);
    if let Some(earlier) = &mut earlier {
        all.iter().for_each(|p| drop(hubs[0].wait_for_set_up(p.call, 1)));
        earlier.answer(&program, &mut hubs[0]);
        filling = hubs[0].fill_accept_queue();
        close_hub_connections(&program, &mut hubs[0]);
    }
    let before = usize::from(further);
    all.iter().for_each(|p| wait_for_log(&program, "attempt sent", p.call, before + 1));
    if stopped.is_some() {
        program.pause();
    }
    for party in &all {
        assert_eq!(log_count(&program, "begun", party.call), before, "the set-up waits for the dial");
    }
    if stopped != Some(EventOrder::HubFirst) {
        abandon_calls(&program, &mut all, stopped.is_some());
        sleep(DETECTION_TIME);
    }
    wait_for_dial(&mut hubs[0], &filling);
    if stopped == Some(EventOrder::HubFirst) {
        abandon_calls(&program, &mut all, true);
    }
    if stopped.is_some() {
        sleep(DETECTION_TIME);
        program.resume();
    }
    let what = format!("further {further}, stopped {stopped:?}");
    assert_no_attempt_for_abandoned_calls(&mut hubs, &all, before, &what);
}

#[test]
fn a_call_abandoned_during_the_dial_gets_no_first_attempt() {
    abandon_during_dial(false, None);
}

#[test]
fn a_call_abandoned_during_the_dial_gets_no_further_attempt() {
    abandon_during_dial(true, None);
}

#[test]
fn a_dial_that_succeeds_while_the_program_is_stopped_begins_no_first_attempt_for_abandoned_calls() {
    abandon_during_dial(false, Some(EventOrder::CallersFirst));
    abandon_during_dial(false, Some(EventOrder::HubFirst));
}

#[test]
fn a_dial_that_succeeds_while_the_program_is_stopped_begins_no_further_attempt_for_abandoned_calls() {
    abandon_during_dial(true, Some(EventOrder::CallersFirst));
    abandon_during_dial(true, Some(EventOrder::HubFirst));
}

// ---- calls abandoned behind a hub that reads nothing ----

/// Fills the connections of a hub that reads nothing, until several set-ups in a row are assigned to it and do not
/// begin. Returns their caller and the last call.
fn fill_connections(program: &Program, hub: &mut ScriptedHub, first: u64) -> (Caller, u64) {
    wait_until("both connections are up", || {
        hub.receive();
        (hub.connections.len() == 2).then_some(())
    });
    let mut filler = Caller::connect(program.address);
    let body = vec![b'v'; 15 * 1024];
    let more = format!(
        "Call-Kind: voice\r\nAnswer-Within: {ANSWER_WITHIN_MS}\r\nRouting-Data: dest:0;width:1;via:-1\r\n"
    );
    let (mut last, mut stuck) = (first, 0);
    while stuck < 4 {
        last += 1;
        // A progress message shows that a connection is alive: otherwise the program would open another one beside it.
        (0..2).for_each(|connection| hub.send(connection, PROGRESS, 0, &[]));
        filler.send("INVITE", last, &more, &body);
        wait_for_log(program, "attempt sent", last, 1);
        let end = Instant::now() + Duration::from_millis(200);
        while log_count(program, "begun", last) == 0 && Instant::now() < end {
            sleep(Duration::from_millis(5));
        }
        stuck = if log_count(program, "begun", last) > 0 { 0 } else { stuck + 1 };
        assert!(last < first + 0x800, "the socket buffers never fill up");
    }
    (filler, last)
}

/// Abandons calls while their set-ups wait behind a hub that reads nothing, and then has it read. If `further`, their
/// first attempts were refused by another hub, which was full. If `stopped`, the program is stopped meanwhile, and
/// `order` gives the order of the events that it finds.
fn abandon_behind_blocked_hub(further: bool, stopped: bool, order: EventOrder) {
    let mut hubs = [ScriptedHub::with_small_receive_buffer(), ScriptedHub::new()];
    let program = start_program(&[hubs[0].target(0), hubs[1].target(1)], |text| text);
    let before = usize::from(further);
    let (filler, last) = fill_connections(&program, &mut hubs[0], 0x4000);
    let mut all = connect_parties(&program, 0x100);
    all.iter_mut().for_each(|party| party.invite_to(i64::from(further)));
    if further {
        let at: Vec<ReceivedMessage> = all.iter().map(|p| hubs[1].wait_for_set_up(p.call, 1)).collect();
        at.iter().for_each(|sent| refuse_as_full(&mut hubs[1], sent));
    }
    all.iter().for_each(|p| wait_for_log(&program, "attempt sent", p.call, before + 1));
    if stopped {
        program.pause();
    }
    for party in &all {
        assert_eq!(log_count(&program, "begun", party.call), before, "the set-up waits behind the others");
    }
    if stopped {
        abandon_while_stopped(&program, &mut all, order, |_| hubs[0].receive());
        program.resume();
    } else {
        abandon_calls(&program, &mut all, false);
        sleep(DETECTION_TIME);
    }
    let what = format!("further {further}, stopped {stopped}, {order:?}");
    hubs[0].wait_for_set_up(last, 1);
    assert_no_attempt_for_abandoned_calls(&mut hubs, &all, before, &what);
    drop(filler);
}

#[test]
fn a_call_abandoned_behind_a_hub_that_reads_nothing_gets_no_first_attempt() {
    abandon_behind_blocked_hub(false, false, EventOrder::CallersFirst);
}

#[test]
fn a_call_abandoned_behind_a_hub_that_reads_nothing_gets_no_further_attempt() {
    abandon_behind_blocked_hub(true, false, EventOrder::CallersFirst);
}

#[test]
fn a_hub_that_reads_again_while_the_program_is_stopped_gets_no_first_attempt_for_abandoned_calls() {
    for order in EVENT_ORDERS {
        abandon_behind_blocked_hub(false, true, order);
    }
}

#[test]
fn a_hub_that_reads_again_while_the_program_is_stopped_gets_no_further_attempt_for_abandoned_calls() {
    for order in EVENT_ORDERS {
        abandon_behind_blocked_hub(true, true, order);
    }
}

// ---- calls that were not abandoned ----

/// Time that is longer than the idle timeout (5 s) of a connection without open set-ups.
const OVER_IDLE_TIMEOUT: Duration = Duration::from_millis(5_500);

#[test]
fn a_connection_with_an_unread_set_up_is_not_closed_as_idle() {
    let mut hubs = [ScriptedHub::new()];
    let program = start_program(&[hubs[0].target(0)], |text| text);
    let mut all: Vec<Party> =
        (0x100..0x100 + CALLERS_PER_KIND as u64).map(|c| Party::connect(&program, c, None)).collect();
    for party in &mut all {
        let caller = party.caller.as_mut().expect("connected");
        caller.send("OPTIONS", 0, "", b"");
        assert_eq!(answer_status(caller, 0), 200);
    }
    program.pause();
    all.iter_mut().for_each(Party::invite);
    sleep(OVER_IDLE_TIMEOUT);
    program.resume();
    for party in &mut all {
        let (_, sent) = wait_for_set_up(&mut hubs, party.call, 1);
        hubs[0].answer(&sent);
        assert_eq!(answer_status(party.caller.as_mut().expect("connected"), party.call), 200);
    }
}

/// Number of bytes of set-ups that are written before the caller closes its connection: many times what the program reads
/// before it passes set-ups on.
const LONG_BACKLOG_BYTES: usize = 1024 * 1024;

/// The program passed on what it had read of a long backlog, although the caller had closed its connection behind it.
#[test]
fn a_backlog_of_megabytes_begins_no_attempt_after_its_connection_is_closed() {
    let mut hubs = [ScriptedHub::new()];
    let program = start_program(&[hubs[0].target(0)], |text| text);
    let mut party = Party::connect(&program, 0, Some(Abandonment::Close));
    let caller = party.caller.as_mut().expect("connected");
    caller.send("OPTIONS", 0, "", b"");
    assert_eq!(answer_status(caller, 0), 200);
    program.pause();
    caller.stream.set_nonblocking(true).expect("set");
    let (mut written, mut count) = (0, 0);
    while written < LONG_BACKLOG_BYTES {
        let set_up = invite_request(count + 1, ANSWER_WITHIN_MS, 0);
        // What the kernel does not take whole cannot be completed while the program is stopped.
        match caller.stream.write(&set_up) {
            Ok(bytes) if bytes == set_up.len() => (written, count) = (written + bytes, count + 1),
            _ => break,
        }
    }
    party.abandon();
    sleep(DETECTION_TIME);
    program.resume();
    let _marker = set_up_marker_call(&program, &mut hubs, 0x9000_0000);
    sleep(DETECTION_TIME);
    hubs[0].receive();
    let is_abandoned = |message: &&ReceivedMessage| message.kind == kind::SET_UP && message.call <= count;
    let sent = hubs[0].received.iter().filter(is_abandoned).count();
    assert_eq!(sent, 0, "how many of {count} abandoned set-ups reached the hub");
}
