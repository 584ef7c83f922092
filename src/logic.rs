//! Every decision of the gateway. Types, events and actions: `src/interface.rs`.
//!
//! A new call goes to its first-choice server unless that server's stored share holds it back; a
//! held-back call goes once to another server, drawn by weight and passed through that one's share,
//! else is refused. Every send passes `gate`, which alone keeps the five rules.

use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A reported or derived share holds this long (design: 5 s where no period is told).
const SHARE_PERIOD: Micros = Micros(5_000_000);
/// A reported share over this is not noise but nonsense, like a wait longer than any call's time.
const SHARE_ABSURD: f64 = 2.0;
/// A derived share rises by this much at each report over the mark (design: by fives).
const SHARE_STEP: f64 = 0.05;
/// Mark on the wait, in parts of the tightest objective: a call stands after about twice the wait.
const WAIT_MARK: f64 = 0.23;
/// Mark on the utilisation, where that is what is reported: above it queues grow without bound.
const UTILISATION_MARK: f64 = 0.92;
/// Mark on the queue, in messages, where that is what is reported.
const QUEUE_MARK: f64 = 8.0;
/// Mark on the smoothed delay of own set-ups, in parts of the tightest objective, without reports.
const DELAY_MARK: f64 = 0.5;
/// Part of a new delay taken into the smoothed one: about the last five set-ups count.
const DELAY_SMOOTHING: f64 = 0.2;
/// A weight is multiplied by this for each own set-up that is over the delay mark.
const WEIGHT_FALL: f64 = 0.85;
/// ... and by this for each rise of the server's share.
const WEIGHT_SHARE_FALL: f64 = 0.95;
/// ... and creeps back by this for each own set-up under the mark; it stays in 0.05 to 1.
const WEIGHT_CREEP: f64 = 0.03;
/// The least weight: a server is never quite out of the draw.
const WEIGHT_LEAST: f64 = 0.05;
/// Debt of held-back calls is kept at most this high, so that a long throttle leaves no tail.
const DEBT_MOST: f64 = 8.0;
/// A told wait is believed less this much for each second since: an idle processor works it off.
const WAIT_FALL: f64 = 0.7;
/// Room left for the network and the work itself when judging whether a call can still stand.
const STAND_SLACK: Micros = Micros(100_000);
/// Part of the time to its aim in which a call must be expected to stand: waits are told late.
const STAND_PART: f64 = 0.85;
/// A refused caller stays away for this part of the time left to its aim.
const AWAY_PART: f64 = 0.3;
/// A draining server is sent nothing for so long before its grace ends: news of the drain is late.
const DRAIN_MARGIN: Micros = Micros(500_000);
/// Final answers are given this long before the caller's time is up: a few rounds of the wire.
const ANSWER_MARGIN: Micros = Micros(30_000);
/// A server that answers nothing for this part of the tightest objective, though asked, is silent.
const SILENT_AFTER: f64 = 0.5;
/// ... or for this many times what a set-up should take by the wait told; what is told is late.
const OVERDUE: f64 = 1.5;
/// Free lines left alone, in square roots of what all gateways send between two reports: chance.
const LINE_SPARE: f64 = 1.0;
/// What all gateways bring a server is reckoned over so many set-ups: less is mostly chance.
const FLEET_OVER: f64 = 40.0;
/// ... or what would be so many a second, where they are fewer,
const FLEET_SLOW: f64 = 13.0;
/// ... from reports at least this far apart: chance is too large in less.
const FLEET_GAP: Micros = Micros(250_000);
/// Free lines may be filled, and a wait brought to its mark, over this long.
const FLEET_FILL: f64 = 1.0;
/// With no line free, more is brought than is seen: so much of what calls give back is let through.
const FULL_PASS: f64 = 0.7;
/// Part by which the fleet's rate may pass what is told, at no wait, and falls short at twice the mark.
const FLEET_GAIN: f64 = 0.5;
/// A server counts in the draw with at least this part of what it may be brought.
const SPARE_LEAST: f64 = 0.02;
/// A wait grows with what all gateways bring over what is carried, if by more than this part.
const WAIT_CHANCE: f64 = 0.15;
/// ... and by no more than this a second. Danger: a busy processor tells for a moment that it can take next
/// to nothing, which is no rate that it works at. Its wait would be held to be seconds long, nothing would
/// be sent there, and so nothing would tell better.
const WAIT_RISE: f64 = 1.0;
/// Where no rate is told, what a server is held to carry creeps back by this part a second.
const CARRIES_RISE: f64 = 0.15;
/// A turn for a diverted call is good for this long; many go unused, so there are so many more.
const DIVERT_GOOD: Micros = Micros(2_000_000);
const DIVERT_MORE: f64 = 4.0;
/// The part let through rises by at most this much of itself a second,
const PASS_RISE: f64 = 2.0;
/// ... and never falls under this: a server is never quite shut by it.
const PASS_LEAST: f64 = 0.03;
/// Where messages are allowed, a wait that changed by this part of the mark is told to
const NEWS: f64 = 0.5;
/// ... so many other gateways, in eight bytes each.
const TOLD_PEERS: usize = 8;
/// A set-up is looked at this often while it is out.
const CHECK_EVERY: Micros = Micros(150_000);
/// A set-up is lost if one sent this much later was answered: jitter is far smaller.
const OVERTAKEN_BY: Micros = Micros(60_000);
/// Set-ups a second taken for a server of which nothing is known: no bound.
const UNBOUND: f64 = 1e6;
/// A silent server gets one trial call in this time from each gateway,
const TRIAL_EVERY: Micros = Micros(700_000);
/// ... and of all gateways no more than so many a second, or this part of what its lines can carry if
/// that is more (fewer would not show), unless the lines told show it at work.
const TRIAL_RATE: f64 = 8.0;
const TRIAL_PART: f64 = 0.05;
/// At work: new set-ups come at this part of the rate at which its calls end.
const AT_WORK: f64 = 0.3;
/// A turn is good for this part of the budget's window: 1.25 times COLD_SPENT is the budget.
const TURN_HOLDS: f64 = 0.25;
/// A crash: the lines told fall from over so many taken to under this part between two reports.
const CRASH_LINES: f64 = 12.0;
const CRASH_LEFT: f64 = 0.25;
/// Part of the cold budget that is spent: the estimate of capacity may be too high by as much.
const COLD_SPENT: f64 = 0.8;
/// A cold server whose lines were not yet told counts as this part of the smallest known.
const COLD_UNSEEN: f64 = 0.25;
/// Held-back share of a busy number rises and falls by this at each answer.
const NUMBER_STEP: f64 = 0.25;
/// The most of a busy number's calls that is held back: the rest finds out whether lines are free.
const NUMBER_MOST: f64 = 0.9;
/// The least mean length of a call, in seconds, that lines are reckoned with.
const HOLD_LEAST: f64 = 0.1;
/// What is recalled is wrong once a rate is told that is over so many times the recalled one.
const RECALL_OFF: f64 = 1.25;
/// Calls that a recalled mean length counts as.
const RECALL_CALLS: f64 = 20.0;
/// Callers remembered at most: a few seconds of refusals at the highest rates.
const CALLERS_KEPT: usize = 4096;
/// Numbers remembered at most.
const NUMBERS_KEPT: usize = 64;

/// A lapsing share with the debt of calls it still has to hold back.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    part: f64,
    until: Micros,
    debt: f64,
}

impl Share {
    fn now(&self, now: Micros) -> f64 {
        if now < self.until {
            self.part
        } else {
            0.0
        }
    }

    fn store(&mut self, part: f64, now: Micros) {
        self.part = part.clamp(0.0, 1.0);
        self.until = now + SHARE_PERIOD;
        if self.part <= 0.0 {
            self.debt = 0.0;
        }
    }

    /// Counted hold-back: each call adds the share to the debt, each held-back call pays one.
    /// A call is held back once the debt reaches its `worth` (1 for the least of the classes), so
    /// the low-worth ones pay first while the total share is kept. A full share holds back all.
    fn holds_back(&mut self, worth: f64, least: f64, now: Micros) -> bool {
        let part = self.now(now).max(least);
        if part <= 0.0 {
            return false;
        }
        self.debt = (self.debt + part).min(DEBT_MOST);
        let held = part >= 1.0 || self.debt >= worth.min(DEBT_MOST);
        if held {
            self.debt = (self.debt - 1.0).max(0.0);
        }
        held
    }
}

/// This gateway's turns out of a rate that all gateways share. Danger: what each gateway may do at
/// once, all do at once. The first turn has a random phase; a turn that is not used lapses, so that
/// all gateways together never send more than the rate over the span and how long a turn is good.
#[derive(Clone, Copy, Debug, Default)]
struct Turns {
    room: f64,
    at: Micros,
}

impl Turns {
    /// A turn is good for `brief`; a single one, where they come seldom, for `good`.
    fn refill(&mut self, rate: f64, brief: Micros, good: Micros, now: Micros) {
        self.room += rate * (now - self.at).secs();
        self.at = now;
        let most = 1.0 + (rate * good.secs()).min(1.0).max(rate * brief.secs());
        self.room -= (self.room - most).max(0.0).ceil();
    }
}

#[derive(Clone, Debug, Default)]
struct Server {
    place: i64,
    up: bool,
    /// While it drains, what no other server takes may still go there, till then.
    drains_until: Micros,
    born: Option<Micros>,
    cold_until: Micros,
    turns: Turns, // Turns: while cold for all calls, else for those that have another first choice
    share: Share,
    weight: f64,
    wait: Micros,
    wait_at: Option<Micros>,
    /// When any figure was last told that a share comes from; own delays take over without.
    figure_at: Option<Micros>,
    delay: Micros,
    took: Micros,                             // What the last own set-up took that stood
    pending: BTreeMap<(CallId, u32), Micros>, // Set-ups sent and not answered, with the time of their send
    answered_at: Micros,
    /// When the latest set-up was sent that has been answered: older ones still out are lost.
    answered_sent: Micros,
    carried: f64,  // The most calls a second it was seen to carry, warm, for all gateways
    can_take: f64, // New set-ups a second it last said it can take from all
    /// Lines told free, lines in all, and when that was told; own sends since.
    lines: Option<(f64, f64, Micros)>,
    sent_since: f64,
    taken: Option<(f64, Micros)>, // Lines taken when the fleet's flow was last reckoned, and when
    flow: f64, // Set-ups a second of all gateways, and the part that was let through meanwhile
    passed: f64,
    carries: f64,             // Set-ups a second that it is held to carry
    spare: f64, // What all gateways may bring beyond that, a second; no bound where nothing is told
    pass: f64,  // The part of own calls to let through
    trial_at: Option<Micros>, // Set while it gives signs of being dead: next trial not before this
    prior: f64, // The rate recalled of it, till one is told that is clearly higher
}

/// What the servers' figures are read with.
#[derive(Debug)]
struct Env {
    mark: Micros,
    balancers: f64,
    hold: f64,
    warm_up: Micros,
    longest: Micros,
}

#[derive(Clone, Debug)]
struct Call {
    asked: NewCall,
    first: Micros, // When its caller first tried, as far as is known; the aim counts from there
    aim: Micros,
    out: Option<(ServerId, u32)>,
    standing: bool,
    sent: u32,
    not_before: Micros,
    may_have_run: bool,
    tried: Vec<ServerId>,
}

/// The decision module of one gateway.
#[derive(Debug)]
pub struct Controller {
    set: Settings,
    rng: Pcg32,
    now: Micros,
    started: Micros,
    tightest: Micros,
    env: Env,
    least_worth: f64,
    arrivals: u64,
    holds: f64, // Calls that the mean length is reckoned over
    recalled: BTreeMap<ServerId, Belief>,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    numbers: BTreeMap<u64, Share>,
    /// Numbers of calls that were given up, with the time of their caller's first try.
    callers: BTreeMap<u64, Micros>,
    callers_by_age: VecDeque<(u64, Micros)>,
}

const END_TIMER: u64 = 0;
const AGAIN_TIMER: u64 = 1;
const CHECK_TIMER: u64 = 2;
const TIMER_KINDS: u64 = 3;

fn wake(at: Micros, id: CallId, kind: u64) -> Action {
    Action::Timer(at, id.0.wrapping_mul(TIMER_KINDS).wrapping_add(kind))
}

impl Controller {
    /// A gateway that knows no server yet. Settings that make no sense are refused.
    pub fn new(set: Settings, seed: u64, now: Micros) -> Result<Controller, SettingsError> {
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let amount = |x: f64| x.is_finite() && x >= 0.0;
        let tightest = set.classes.iter().map(|c| c.objective).min().unwrap_or_default();
        let worths = set.classes.iter().all(|c| amount(c.worth) && share(c.late_worth));
        for (sane, error) in [
            (!set.classes.is_empty(), SettingsError::NoClasses),
            (set.balancers > 0, SettingsError::Nought("balancers")),
            (set.max_attempts > 0, SettingsError::Nought("max_attempts")),
            (share(set.cold_from), SettingsError::OutOfRange("cold_from")),
            (amount(set.overload_factor), SettingsError::OutOfRange("overload_factor")),
            (worths, SettingsError::OutOfRange("worth")),
            (tightest > Micros(0), SettingsError::OutOfRange("objective")),
        ] {
            if !sane {
                return Err(error);
            }
        }
        let holds: f64 = set.classes.iter().map(|c| c.hold.secs()).sum();
        let least = set.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min);
        Ok(Controller {
            rng: Pcg32::seed_from_u64(seed),
            now,
            started: now,
            tightest,
            env: Env {
                mark: tightest.scale(WAIT_MARK),
                balancers: f64::from(set.balancers),
                warm_up: set.warm_up,
                longest: set.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
                hold: (holds / set.classes.len() as f64).max(HOLD_LEAST),
            },
            least_worth: if least > 0.0 { least } else { 1.0 },
            arrivals: 0,
            holds: 0.0,
            recalled: BTreeMap::new(),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            numbers: BTreeMap::new(),
            callers: BTreeMap::new(),
            callers_by_age: VecDeque::new(),
            set,
        })
    }

    /// How many calls, servers and numbers are remembered.
    pub fn remembered(&self) -> (usize, usize, usize) {
        (self.calls.len(), self.servers.len(), self.numbers.len())
    }

    /// Takes one event and appends what is to be done. Time never runs back here.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::List(kind, entries) => self.list(kind, entries, actions),
            Event::Call(asked) => self.arrive(asked, actions),
            Event::Stands(id, server, attempt, took) => self.stands(id, server, attempt, took),
            Event::Ended(end) => {
                let held = self.servers.get(&end.server).map_or(Micros(0), |s| s.expected_wait(self.now));
                self.attempt_ended(&end);
                self.gossip(&end, held, actions);
                self.call_ended(&end, actions);
            }
            Event::Left(id) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.remember(&call);
                }
            }
            Event::Timer(token) => self.timer(token, actions),
            Event::Probed(server, outcome, report) => {
                if outcome == Outcome::Success {
                    self.report(server, &report);
                }
            }
            Event::Peer(_, bytes) => self.heard(&bytes),
            Event::Recalled(hold, servers) => {
                self.holds = hold.map_or(self.holds, |_| RECALL_CALLS);
                self.env.hold = hold.unwrap_or(self.env.hold).max(HOLD_LEAST);
                self.recalled = servers.into_iter().collect();
            }
        }
    }

    /// The mean length of a call, in seconds.
    pub fn hold(&self) -> f64 {
        self.env.hold
    }

    /// What is believed of a server.
    pub fn belief(&self, id: ServerId) -> Option<Belief> {
        let s = self.servers.get(&id)?;
        let &Server { carried, carries, can_take, delay, weight, pass, cold_until, .. } = s;
        let (heard, wait, silent) = (s.answered_at, s.expected_wait(self.now), s.trial_at.is_some());
        let (share, share_until) = (s.share.now(self.now), s.share.until);
        let rates = Belief { carried, carries, can_take, weight, pass, ..Belief::default() };
        Some(Belief { heard, wait, delay, share, share_until, silent, cold_until, ..rates })
    }

    // ---- the list ----

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        if self.set.must_subscribe && matches!(kind, ListKind::Saved | ListKind::Failed) {
            actions.push(Action::Watch);
        }
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Changes {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in self.servers.iter_mut() {
                if !named.contains(id) {
                    (server.up, server.drains_until) = (false, Micros(0));
                }
            }
        }
        for entry in entries {
            let (now, phase) = (self.now, self.chance());
            let new = !self.servers.contains_key(&entry.server);
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(&entry));
            if entry.born != server.born {
                let pending = std::mem::take(&mut server.pending);
                let carried = server.carried;
                *server = Server { pending, carried, ..Server::new(&entry) };
            }
            server.place = entry.place;
            let grace = self.set.drain_grace - DRAIN_MARGIN;
            server.drains_until = match entry.phase {
                Phase::Draining if server.up && !new => entry.told.unwrap_or(now) + grace,
                Phase::Draining => server.drains_until,
                _ => Micros(0),
            };
            server.up = entry.phase == Phase::Up;
            let cold_until = entry.born.map_or(Micros(0), |b| b + self.set.warm_up);
            if new || cold_until > server.cold_until.max(now) {
                server.turns = Turns { room: phase, at: now };
            }
            server.cold_until = server.cold_until.max(cold_until);
            if let Some(belief) = self.recalled.remove(&entry.server).filter(|_| new) {
                server.recall(&belief, now);
            }
        }
        self.recalled.clear();
        self.forget_servers();
    }

    fn forget_servers(&mut self) {
        let now = self.now;
        self.servers.retain(|_, s| s.up || now < s.drains_until || !s.pending.is_empty());
    }

    // ---- calls ----

    fn arrive(&mut self, asked: NewCall, actions: &mut Vec<Action>) {
        self.arrivals += 1;
        let id = asked.id;
        let Some(class) = self.set.classes.get(asked.class) else {
            actions.push(Action::Refuse(id, Micros(0)));
            return;
        };
        let (objective, deadline) = (class.objective, class.deadline);
        self.holds += 1.0;
        self.env.hold += (class.hold.secs().max(HOLD_LEAST) - self.env.hold) / (self.holds + 1.0);
        let known = asked.number.and_then(|n| self.callers.remove(&n));
        let first = known.filter(|t| !asked.returned && self.now - *t < deadline).unwrap_or(self.now);
        let call = Call {
            asked,
            first,
            aim: first + objective,
            out: None,
            standing: false,
            sent: 0,
            not_before: Micros(0),
            may_have_run: false,
            tried: Vec::new(),
        };
        self.calls.insert(id, call);
        let busy = asked.number.and_then(|n| self.numbers.get_mut(&n));
        if busy.is_some_and(|s| s.holds_back(1.0, 0.0, self.now))
            || asked.deadline <= self.now + ANSWER_MARGIN
        {
            return self.give_up(id, actions);
        }
        actions.push(wake(asked.deadline - ANSWER_MARGIN, id, END_TIMER));
        self.route(id, actions);
    }

    /// The design's path: first choice, else one diversion, else refusal.
    fn route(&mut self, id: CallId, actions: &mut Vec<Action>) {
        self.refill();
        let Some(call) = self.calls.get(&id) else { return };
        let (worth, transit) = (self.worth(call), call.asked.transit);
        let open: Vec<ServerId> =
            self.servers.iter().filter(|(s, v)| v.up && self.open(call, **s, v)).map(|(s, _)| *s).collect();
        let first = open.iter().copied().find(|s| self.servers[s].place == call.asked.place);
        if let Some(first) = first {
            if !self.holds_back(first, worth) {
                return self.send(id, first, actions);
            }
        }
        // Where no lines are told, nothing bounds diversions.
        let turn = |s: &ServerId| self.servers[s].taken.is_none() || self.servers[s].turns.room >= 1.0;
        let others: Vec<_> = open.into_iter().filter(|s| Some(*s) != first && turn(s)).collect();
        match self.draw(&others).filter(|_| !transit) {
            Some(other) if !self.holds_back(other, worth) => self.send(id, other, actions),
            _ => match self.draining(id) {
                Some(server) => self.send(id, server, actions),
                None => self.give_up(id, actions),
            },
        }
    }

    /// A server that drains, for a call that would be refused: it may end before the server does, and a
    /// call that is cut comes again. Danger: the others are filled by what the draining one no longer gets.
    fn draining(&self, id: CallId) -> Option<ServerId> {
        let call = self.calls.get(&id)?;
        let open = |(s, v): &(&ServerId, &Server)| !v.up && self.open(call, **s, v);
        let mut draining: Vec<_> = self.servers.iter().filter(open).collect();
        draining.sort_by_key(|(_, v)| v.place != call.asked.place);
        draining.first().map(|(s, _)| **s)
    }

    fn holds_back(&mut self, server: ServerId, worth: f64) -> bool {
        let now = self.now;
        self.servers.get_mut(&server).is_some_and(|s| s.share.holds_back(worth, 1.0 - s.pass, now))
    }

    fn draw(&mut self, others: &[ServerId]) -> Option<ServerId> {
        let chance = self.chance();
        let weight = |s: &ServerId| self.servers[s].weight * self.servers[s].spare;
        let mut point = chance * others.iter().map(weight).sum::<f64>();
        for other in others {
            point -= weight(other);
            if point < 0.0 {
                return Some(*other);
            }
        }
        others.last().copied()
    }

    /// Worth for the hold-back, 1 for the least class; less for a call that can only stand late.
    fn worth(&self, call: &Call) -> f64 {
        let class = &self.set.classes[call.asked.class];
        let late = if self.now + STAND_SLACK < call.aim { 1.0 } else { class.late_worth };
        class.worth * late / self.least_worth
    }

    /// May and should this call go there now? The gate's rules, and the guards against waste.
    fn open(&self, call: &Call, id: ServerId, server: &Server) -> bool {
        let class = &self.set.classes[call.asked.class];
        let allowed = class.places.is_empty() || class.places.contains(&server.place);
        let alone = server.oldest_pending().is_none_or(|t| t + TRIAL_EVERY <= self.now);
        let trial = server.trial_at.is_none_or(|at| self.now >= at && alone);
        allowed
            && trial
            && self.has_line(server)
            && !call.tried.contains(&id)
            && Some(server.place) != self.set.own_place
            && self.gate(call, server)
            && self.can_stand(call, server)
    }

    /// Danger: a server whose lines are all taken turns calls away, which costs its processor and the
    /// call an attempt. What is free is what was told, and what all gateways took and gave back since.
    fn has_line(&self, server: &Server) -> bool {
        let Some((free, size, at)) = server.lines else { return true };
        let given_back = (size - free) / self.env.hold;
        free + (given_back - server.flow) * (self.now - at).secs() - server.sent_since >= 1.0
    }

    /// Danger: work on calls that cannot stand in time. Past its aim a call may only go where
    /// nothing is held back.
    fn can_stand(&self, call: &Call, server: &Server) -> bool {
        let wait = server.expected_wait(self.now);
        let stands = self.now + wait + wait + STAND_SLACK;
        if self.now < call.aim {
            return stands <= self.now + (call.aim - self.now).scale(STAND_PART);
        }
        stands <= call.asked.deadline && server.share.now(self.now) <= 0.0
    }

    /// The one gate of every send: the five rules, from the settings alone.
    fn gate(&self, call: &Call, server: &Server) -> bool {
        let in_time = self.now + ANSWER_MARGIN < call.asked.deadline;
        let alone = call.out.is_none() && !call.standing && call.sent < self.set.max_attempts;
        let effect = self.set.classes[call.asked.class].effect;
        let once = effect == Effect::Free || !call.may_have_run;
        // A set-up that waits is resent by the network and counts anew on a cold server.
        let wait = server.expected_wait(self.now);
        let resent = self.set.resend > Micros(0) && wait + wait >= self.set.resend;
        let warm = self.now >= server.cold_until || !resent && server.turns.room >= 1.0;
        let takes = server.up || self.now < server.drains_until;
        in_time && alone && once && takes && warm && self.now >= call.not_before
    }

    fn send(&mut self, id: CallId, to: ServerId, actions: &mut Vec<Action>) {
        let chance = self.chance();
        let passes = match (self.calls.get(&id), self.servers.get(&to)) {
            (Some(call), Some(server)) => self.gate(call, server),
            _ => false,
        };
        if !passes {
            return self.give_up(id, actions);
        }
        let (Some(call), Some(server)) = (self.calls.get_mut(&id), self.servers.get_mut(&to)) else { return };
        server.pending.insert((id, call.sent), self.now);
        if self.now < server.cold_until || server.place != call.asked.place {
            server.turns.room -= 1.0;
        }
        server.sent_since += 1.0;
        server.trial_at = server.trial_at.map(|_| server.next_trial(&self.env, chance, self.now));
        call.out = Some((to, call.sent));
        call.sent += 1;
        actions.push(Action::Send(id, to, call.asked.deadline - ANSWER_MARGIN - self.now));
        actions.push(wake(self.now + CHECK_EVERY, id, CHECK_TIMER));
    }

    fn chance(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }

    /// Brings this gateway's turns at every server up to now.
    fn refill(&mut self) {
        let brief = self.set.overload_for.scale(TURN_HOLDS);
        let budget = |s: &Server| (self.now < s.cold_until).then(|| self.cold_rate(s));
        let budgets: Vec<_> = self.servers.values().map(budget).collect();
        for (s, budget) in self.servers.values_mut().zip(budgets) {
            let (rate, good) = budget.map_or((s.spare * DIVERT_MORE, DIVERT_GOOD), |b| (b, brief));
            s.turns.refill(rate / self.env.balancers, brief, good, self.now);
        }
    }

    /// Sends a second of all gateways in a cold server's budget, by what it was seen to carry before,
    /// else by what the least filled warm one carries for each line, or by what it says it can take.
    fn cold_rate(&self, to: &Server) -> f64 {
        let least = self.servers.values().filter_map(|s| s.lines).map(|l| l.1).fold(f64::INFINITY, f64::min);
        let unseen = if least.is_finite() { least * COLD_UNSEEN } else { 0.0 };
        let size = to.lines.map_or(unseen, |(_, size, _)| size);
        let warm = self.servers.values().filter(|s| s.up && self.now >= s.cold_until && s.carried > 0.0);
        let part =
            warm.filter_map(|s| s.lines.map(|l| s.carried / l.1.max(1.0))).fold(f64::INFINITY, f64::min);
        let capacity = if to.carried > 0.0 {
            to.carried
        } else if part.is_finite() && size > 0.0 {
            part * size
        } else {
            let up = self.servers.values().filter(|s| s.up).count().max(1) as f64;
            self.arrivals as f64 / (self.now - self.started).secs().max(1.0) * self.env.balancers / up
        };
        let present = (self.set.cold_from * capacity).max(to.can_take.min(capacity));
        self.set.overload_factor * present * COLD_SPENT
    }

    fn stands(&mut self, id: CallId, server: ServerId, attempt: u32, took: Micros) {
        let mark = self.tightest.scale(DELAY_MARK);
        if let Some(s) = self.servers.get_mut(&server) {
            if let Some(sent) = s.pending.remove(&(id, attempt)) {
                s.answered_sent = s.answered_sent.max(sent);
            }
            s.answered(self.now);
            s.took = took;
            s.waits(took.scale(0.5), &self.env, self.now);
            s.delay = s.delay.scale(1.0 - DELAY_SMOOTHING) + took.scale(DELAY_SMOOTHING);
            if took > mark {
                s.weight = (s.weight * WEIGHT_FALL).max(WEIGHT_LEAST);
            } else {
                s.weight = (s.weight + WEIGHT_CREEP).min(1.0);
            }
            if s.figure_at.is_none_or(|t| self.now - t >= SHARE_PERIOD) {
                s.derive(s.delay > mark, self.now);
            }
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.standing = true;
            if let Some(share) = call.asked.number.and_then(|n| self.numbers.get_mut(&n)) {
                share.store(share.part - NUMBER_STEP, self.now);
            }
        }
    }

    /// What an attempt's end tells of its server.
    fn attempt_ended(&mut self, end: &End) {
        let chance = self.chance();
        let Some(s) = self.servers.get_mut(&end.server) else { return };
        let sent = s.pending.remove(&(end.id, end.attempt));
        let trial = Some(s.next_trial(&self.env, chance, self.now));
        let unanswered = sent.is_some_and(|t| s.answered_at < t);
        match end.outcome {
            Outcome::Success | Outcome::Failure | Outcome::Overloaded => s.answered(self.now),
            // Danger: a processor that stands still refuses all, at a cost, and looks unpressed.
            Outcome::Unreachable | Outcome::ProcessorFull => s.trial_at = trial,
            Outcome::TimedOut if unanswered => s.trial_at = trial,
            // Danger: one connection's reset is no proof of a dead server. The next call goes there at
            // once, alone; only its answer, or its want, tells more.
            Outcome::Broken if unanswered => s.trial_at = s.trial_at.or(Some(self.now)),
            _ => {}
        }
        self.report(end.server, &end.report);
        self.forget_servers();
    }

    /// What becomes of the call: over, another attempt at once or after the release, or given up.
    fn call_ended(&mut self, end: &End, actions: &mut Vec<Action>) {
        let id = end.id;
        let number = self.calls.get(&id).and_then(|c| c.asked.number);
        if let Some(number) = number.filter(|_| end.number_busy) {
            self.number_busy(number);
        }
        if end.over {
            self.calls.remove(&id);
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.out != Some((end.server, end.attempt)) {
            return;
        }
        call.out = None;
        call.may_have_run |= !end.outcome.proves_unrun();
        match end.outcome {
            Outcome::Overloaded | Outcome::ProcessorFull | Outcome::Unreachable | Outcome::Failure
                if !end.number_busy =>
            {
                call.tried.push(end.server);
                self.route(id, actions);
            }
            outcome if outcome.awaits_release() => {
                call.not_before = self.now + self.set.release;
                actions.push(wake(call.not_before, id, AGAIN_TIMER));
            }
            _ => self.give_up(id, actions),
        }
    }

    /// The final answer of a call that gets no (further) attempt.
    fn give_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.remember(&call);
        let may_run = call.may_have_run || call.out.is_some();
        actions.push(if may_run { Action::Fail(id) } else { Action::Refuse(id, self.stay_away(&call)) });
    }

    /// How long a refused caller should stay away: part of the time left to its aim, so that another
    /// try can still stand in time, and not so short that the share that held it back still stands
    /// unchanged. A caller past its aim is not hurried.
    fn stay_away(&self, call: &Call) -> Micros {
        let left = call.aim - self.now;
        let away = if left > STAND_SLACK { left.scale(AWAY_PART) } else { self.set.max_stay_away };
        away.min(self.set.max_stay_away)
    }

    /// Danger: callers who dial again are taken for new ones, though their aim runs from the first try.
    /// A given-up call's number tells them. May hurt where callers share a number.
    fn remember(&mut self, call: &Call) {
        let Some(number) = call.asked.number.filter(|_| !call.standing) else { return };
        self.callers.insert(number, call.first);
        self.callers_by_age.push_back((number, call.first));
        if self.callers_by_age.len() > CALLERS_KEPT {
            if let Some((oldest, first)) = self.callers_by_age.pop_front() {
                if self.callers.get(&oldest) == Some(&first) {
                    self.callers.remove(&oldest);
                }
            }
        }
    }

    fn timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        let id = CallId(token / TIMER_KINDS);
        let Some(call) = self.calls.get(&id).filter(|c| !c.standing) else { return };
        match (token % TIMER_KINDS, call.out) {
            (END_TIMER, out) => {
                if let Some((_, attempt)) = out.filter(|_| self.set.may_cancel) {
                    actions.push(Action::Cancel(id, attempt));
                }
                self.give_up(id, actions);
            }
            (AGAIN_TIMER, None) if self.now >= call.not_before => self.route(id, actions),
            (CHECK_TIMER, Some((at, attempt))) => self.check(id, at, attempt, actions),
            _ => {}
        }
    }

    /// Danger: a server that hangs, died unseen or lost its network looks unpressed. One that has
    /// answered nothing since this call was sent is silent: it gets trials alone until it answers,
    /// and the call is called off while another server can still make it stand in time.
    fn check(&mut self, id: CallId, at: ServerId, attempt: u32, actions: &mut Vec<Action>) {
        let chance = self.chance();
        let (Some(server), Some(call)) = (self.servers.get_mut(&at), self.calls.get(&id)) else { return };
        let usual = (server.wait + server.wait).max(server.took).scale(OVERDUE);
        let limit = self.tightest.scale(SILENT_AFTER).max(usual);
        let Some(sent) = server.pending.get(&(id, attempt)).copied() else { return };
        let overtaken = server.answered_sent > sent + OVERTAKEN_BY;
        if !overtaken && (server.answered_at >= sent || sent + limit > self.now) {
            if self.now < call.aim {
                actions.push(wake(self.now + CHECK_EVERY, id, CHECK_TIMER));
            }
            return;
        }
        let mut free = Call { out: None, aim: call.aim - self.set.release, ..call.clone() };
        if !overtaken {
            let next = server.next_trial(&self.env, chance, self.now);
            server.trial_at = Some(server.trial_at.unwrap_or(next));
            free.tried.push(at);
        }
        let other = self.servers.iter().any(|(s, v)| v.up && self.open(&free, *s, v));
        if other && self.now < free.aim && self.set.may_cancel {
            actions.push(Action::Cancel(id, attempt));
        }
    }

    /// A wait that is not what was held goes on to a few fellow gateways, by chance. Danger: a gateway
    /// with one call in seconds hears too late. Never needed: lost messages leave the rest as it is.
    fn gossip(&mut self, end: &End, held: Micros, actions: &mut Vec<Action>) {
        let (peers, wait) = (self.set.balancers, end.report.wait.unwrap_or(held));
        let news = wait.max(held) - wait.min(held) > self.env.mark.scale(NEWS) && wait <= self.env.longest;
        let count = if self.set.may_tell && peers > 1 && news { TOLD_PEERS } else { 0 };
        let rate = u64::from(end.report.can_take.unwrap_or(0.0) as u16);
        let word = end.server.0 << 32 | (wait.0 / 1000).min(0xffff) << 16 | rate;
        for _ in 0..count {
            let step = 1 + u64::from(self.rng.next_u32() % (peers - 1));
            let peer = ((u64::from(self.set.index) + step) % u64::from(peers)) as u32;
            actions.push(Action::Tell(peer, word.to_be_bytes().to_vec()));
        }
    }

    /// Messages of another length and servers that the own list does not name are ignored.
    fn heard(&mut self, bytes: &[u8]) {
        let Ok(word) = bytes.try_into().map(u64::from_be_bytes) else { return };
        let Some(s) = self.servers.get_mut(&ServerId(word >> 32)) else { return };
        let (wait, rate) = (Micros((word >> 16 & 0xffff) * 1000), (word & 0xffff) as f64);
        if wait <= self.env.longest {
            s.waits(wait, &self.env, self.now);
            s.carries = if rate > 0.0 { rate } else { s.carries };
        }
    }

    // ---- reports ----

    fn report(&mut self, id: ServerId, report: &Report) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        if let (Some(size), Some(free)) = (report.size, report.free.filter(|f| report.size >= Some(*f))) {
            s.fleet(&self.env, free, size, self.now);
            s.lines = Some((free, size, self.now));
            s.sent_since = 0.0;
            let easy = s.figure_at.is_none() || s.expected_wait(self.now) <= self.env.mark;
            if self.now >= s.cold_until && easy {
                s.carried = s.carried.max((size - free) / self.env.hold);
            }
        }
        if report.wait.is_some_and(|w| w > self.env.longest)
            || report.hold_back.is_some_and(|h| h > SHARE_ABSURD)
        {
            return;
        }
        if let Some(wait) = report.wait {
            s.waits(wait, &self.env, self.now);
        }
        if report.has_figure() {
            s.figure_at = Some(self.now);
        }
        if let Some(rate) = report.can_take {
            // What was recalled held back what can be taken: it counts no more at all.
            if s.prior > 0.0 && rate > s.prior * RECALL_OFF {
                (s.weight, s.pass, s.share, s.prior) = (1.0, 1.0, Share::default(), 0.0);
                (s.wait, s.delay) = (Micros(0), Micros(0));
            }
            s.can_take = rate;
            s.carries = rate;
        }
        if let Some(part) = report.hold_back {
            if part > s.share.now(self.now) {
                s.weight = (s.weight * WEIGHT_SHARE_FALL).max(WEIGHT_LEAST);
            }
            s.share.store(part, self.now);
        } else if report.wait.is_some() {
            s.derive(s.expected_wait(self.now) > self.env.mark, self.now);
        } else if let Some(busy) = report.utilisation {
            s.derive(busy > UTILISATION_MARK, self.now);
        } else if let Some(queue) = report.queue {
            s.derive(queue > QUEUE_MARK, self.now);
        }
    }

    // ---- busy numbers ----

    /// Danger: one number with few lines draws calls that cost set-ups and cannot stand. The same
    /// lapsing share is kept for the number; it falls when a call to it stands.
    fn number_busy(&mut self, number: u64) {
        let now = self.now;
        if self.numbers.len() >= NUMBERS_KEPT && !self.numbers.contains_key(&number) {
            let oldest = self.numbers.iter().min_by_key(|(_, s)| s.until).map(|(n, _)| *n);
            oldest.and_then(|n| self.numbers.remove(&n));
        }
        let share = self.numbers.entry(number).or_default();
        share.store((share.now(now) + NUMBER_STEP).min(NUMBER_MOST), now);
    }
}

impl Server {
    fn new(entry: &Entry) -> Server {
        Server {
            place: entry.place,
            up: entry.phase == Phase::Up,
            born: entry.born,
            weight: 1.0,
            pass: 1.0,
            spare: UNBOUND,
            passed: 1.0,
            ..Server::default()
        }
    }

    /// A prior from before the start. Danger: what it holds back would show that it is wrong. It passes a
    /// part at once, and the first rate told outweighs it. A cold server is brought no more than what this
    /// process said itself when it was colder.
    fn recall(&mut self, belief: &Belief, now: Micros) {
        self.cold_until = self.cold_until.max(belief.cold_until);
        (self.carried, self.can_take, self.took) = (belief.carried, belief.can_take, belief.delay);
        (self.wait, self.delay, self.answered_at) = (belief.wait, belief.delay, belief.heard);
        (self.weight, self.pass) = (belief.weight.max(WEIGHT_LEAST), belief.pass.max(PASS_LEAST));
        (self.wait_at, self.passed) = (Some(now), self.pass);
        (self.share.part, self.share.until) = (belief.share, belief.share_until.min(now + SHARE_PERIOD));
        self.trial_at = belief.silent.then_some(now);
        if now >= self.cold_until && belief.carries > 0.0 {
            (self.carries, self.prior) = (belief.carries, belief.carries);
        }
    }

    /// Whether the lines told lately show that set-ups of any gateway are answered. Danger: a gateway
    /// that sends a server one call in seconds takes one lost answer for a dead server.
    fn at_work(&self, env: &Env, now: Micros) -> bool {
        let told =
            |(used, at): (f64, Micros)| now - at < SHARE_PERIOD && self.flow * env.hold > used * AT_WORK;
        self.taken.is_some_and(told)
    }

    /// When the next trial may go to a server that seems dead: all gateways share the trials.
    fn next_trial(&self, env: &Env, chance: f64, now: Micros) -> Micros {
        let rate = TRIAL_RATE.max(self.lines.map_or(0.0, |(_, size, _)| size / env.hold * TRIAL_PART));
        let shared = if self.at_work(env, now) { 0.0 } else { 2.0 * chance * env.balancers / rate };
        now + TRIAL_EVERY.max(Micros((shared * 1e6) as u64))
    }

    fn answered(&mut self, now: Micros) {
        self.answered_at = now;
        self.trial_at = None;
    }

    /// When the oldest set-up was sent that is out and not overtaken. Danger: where single messages
    /// are lost, an unanswered set-up says nothing of the queue; later ones were answered.
    fn oldest_pending(&self) -> Option<Micros> {
        self.pending.values().filter(|t| **t > self.answered_sent).min().copied()
    }

    /// The derived share: up by fives while over the mark, to nought below.
    fn derive(&mut self, over: bool, now: Micros) {
        if over {
            let part = self.share.now(now) + SHARE_STEP;
            self.share.store(part, now);
            self.weight = (self.weight * WEIGHT_SHARE_FALL).max(WEIGHT_LEAST);
        } else {
            self.share.store(0.0, now);
        }
    }

    /// Lines are told to every gateway alike: what is taken, and its slope, show all gateways' set-ups.
    fn fleet(&mut self, env: &Env, free: f64, size: f64, now: Micros) {
        let used = size - free;
        // Danger: a gateway that starts may be told that all lines are free before they are counted.
        let Some((before, at)) = self.taken.filter(|(before, _)| *before > 0.0) else {
            self.flow = used / env.hold;
            self.carries = if self.prior > 0.0 { self.prior } else { size / env.hold };
            self.spare = (self.carries - self.flow).max(self.carries * SPARE_LEAST);
            self.taken = Some((used, now));
            return;
        };
        if now - at < FLEET_GAP {
            return;
        }
        let span = (now - at).secs();
        self.taken = Some((used, now));
        // Danger: a crash cuts all calls; a server that is back before the list tells is pushed over.
        // Lost lines take their lines with them, and a cut by the network leaves some standing.
        if before > CRASH_LINES && used < before * CRASH_LEFT && self.lines.is_some_and(|l| l.1 <= size) {
            self.cold_until = self.cold_until.max(now + env.warm_up);
            (self.turns.room, self.can_take) = (self.turns.room.fract(), 0.0);
        }
        let seen = ((used - before) / span + (used + before) / 2.0 / env.hold).max(0.0);
        let new = 1.0 - (-span * seen.max(self.flow).max(FLEET_SLOW) / FLEET_OVER).exp();
        self.flow += (seen - self.flow) * new;
        if self.at_work(env, now) {
            self.trial_at = self.trial_at.map(|t| t.min(now + TRIAL_EVERY));
        }
        self.passed += (self.pass.min(1.0 - self.share.now(now)) - self.passed) * new;
        let over = self.flow / self.carries.max(0.1) - 1.0;
        let slope =
            if over > 0.0 { (over - WAIT_CHANCE).clamp(0.0, WAIT_RISE) } else { over.max(-WAIT_FALL) };
        self.wait = (self.wait + Micros((slope.max(0.0) * span * 1e6) as u64))
            - Micros((-slope.min(0.0) * span * 1e6) as u64);
        self.wait_at = self.wait_at.map(|_| now);
        let over = self.expected_wait(now).secs() / env.mark.secs();
        let target = self.carries * (1.0 + FLEET_GAIN * (1.0 - over)).max(PASS_LEAST);
        let spare = LINE_SPARE * self.flow.max(1.0).sqrt();
        let full = if free < 1.0 { FULL_PASS } else { 1.0 };
        let target = target.min((used / env.hold + (free - spare) / FLEET_FILL).max(0.0) * full);
        self.spare = (target - self.flow).max(target * SPARE_LEAST).max(1e-3);
        let rise = self.pass * (1.0 + PASS_RISE * span);
        self.pass = (self.passed * target / self.flow.max(0.1)).min(rise).clamp(PASS_LEAST, 1.0);
    }

    /// A wait was told, or shown by an own set-up. Where no rate is told, what a server carries is
    /// learnt from it: what all bring while the wait is over the mark, else more, a little at a time.
    fn waits(&mut self, wait: Micros, env: &Env, now: Micros) {
        let held = self.expected_wait(now);
        let since = self.wait_at.map_or(1.0, |t| (now - t).secs().min(1.0));
        self.wait = wait.max((wait + held).scale(0.5));
        self.wait_at = Some(now);
        if let (true, Some((_, size, _))) = (self.can_take <= 0.0, self.lines) {
            self.carries = if wait > env.mark {
                self.carries + (self.flow - self.carries) * since
            } else {
                (self.carries * (1.0 + CARRIES_RISE * since)).max(self.flow).min(size / env.hold)
            };
        }
    }

    /// The wait told, less what can have been worked off since, or half the age of the oldest set-up
    /// that is still unanswered.
    fn expected_wait(&self, now: Micros) -> Micros {
        let fall = if self.taken.is_some() { 0.0 } else { WAIT_FALL };
        let told = self.wait_at.map_or(Micros(0), |t| self.wait - (now - t).scale(fall));
        let seen = self.oldest_pending().map_or(Micros(0), |t| (now - t).scale(0.5));
        told.max(seen)
    }
}
