//! Call routing and overload control. Types, events and actions: `src/interface.rs`.
//!
//! A new call goes to the server at the place that it names, unless that server's throttle holds it back. A
//! held-back call is offered once to another server, chosen at random by weight and subject to that server's
//! throttle, and is refused otherwise. Every send passes `may_send`, which enforces the five sending rules.
//! The fleet is all controllers that share the servers.

use crate::interface::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a reported or derived throttle applies: reports name no period.
const THROTTLE_TTL: Micros = Micros(5_000_000);
/// Reports with a greater hold-back are dropped as implausible, as are waits longer than any call's deadline.
const MAX_PLAUSIBLE_HOLD_BACK: f64 = 2.0;
const THROTTLE_STEP: f64 = 0.05; // Rise of a derived throttle at each report over the threshold
/// Threshold on the wait, as part of the tightest objective: a set-up takes about twice the wait.
const WAIT_THRESHOLD_RATIO: f64 = 0.23;
/// Threshold on the utilisation, where that is what is reported: above it queues grow without bound.
const UTILISATION_THRESHOLD: f64 = 0.92;
const QUEUE_THRESHOLD: f64 = 8.0; // Threshold on the queue, in messages, where that is what is reported
/// Threshold on the smoothed set-up delay, as part of the tightest objective, where no load is reported.
const DELAY_THRESHOLD_RATIO: f64 = 0.5;
/// Weight of a new sample in the smoothed set-up delay: about the last five set-ups count.
const DELAY_SMOOTHING: f64 = 0.2;
const SLOW_WEIGHT_FACTOR: f64 = 0.85; // Applied to a weight at each own set-up over the delay threshold
const THROTTLE_WEIGHT_FACTOR: f64 = 0.95; // Applied to a weight at each rise of the server's throttle
const WEIGHT_RECOVERY: f64 = 0.03; // Added to a weight, up to 1, at each own set-up under the delay threshold
const MIN_WEIGHT: f64 = 0.05; // Keeps every server in the weighted choice
/// Bounds the debt of calls to hold back, so that a long throttle has no effect after its end.
const MAX_THROTTLE_DEBT: f64 = 8.0;
/// Fall of an expected wait in seconds a second, at most: an idle processor works its queue off.
const WAIT_DECAY: f64 = 0.7;
/// Time allowed for the network and the set-up itself when predicting whether a call is established in time.
const SET_UP_MARGIN: Micros = Micros(100_000);
/// Part of the time left to its objective in which a call must be expected to be established: the waits
/// reported are out of date.
const USABLE_OBJECTIVE_RATIO: f64 = 0.85;
const RETRY_AFTER_RATIO: f64 = 0.3; // Retry-after of a refused call: part of the time left to its objective
/// Sends to a draining server stop this long before its grace ends: news of the drain arrives late.
const DRAIN_MARGIN: Micros = Micros(500_000);
/// Final answers are given this long before the caller's deadline: a few network round trips.
const ANSWER_MARGIN: Micros = Micros(30_000);
/// A server is silent if it answers no set-up for this part of the tightest objective,
/// and for `OVERDUE_FACTOR` times the set-up time expected of it.
const SILENCE_TIMEOUT_RATIO: f64 = 0.5;
const OVERDUE_FACTOR: f64 = 1.5; // Multiple of the expected set-up time: reported waits are out of date
/// Free lines kept in reserve, in square roots of the fleet's set-ups a second, for random variation.
const SPARE_LINES_FACTOR: f64 = 1.0;
/// Set-ups over which the fleet's rate is averaged: random variation dominates in fewer.
const FLOW_WINDOW: f64 = 40.0;
/// Lowest rate, in set-ups a second, that `FLOW_WINDOW` is sized for, so that it spans about 3 s at most.
const MIN_WINDOW_RATE: f64 = 13.0;
/// The fleet's rate is taken from reports at least this far apart: random variation dominates in less.
const MIN_FLOW_INTERVAL: Micros = Micros(250_000);
const FILL_SECS: f64 = 1.0; // Time over which free lines may be filled
/// With no line free, this part of the rate at which calls end is offered: more arrives than is reported.
const FULL_SERVER_RATIO: f64 = 0.7;
/// The fleet's target exceeds the service rate by this part at no wait, and falls short of it by as much at
/// twice the wait threshold.
const FLOW_TARGET_GAIN: f64 = 0.5;
const MIN_SPARE_RATIO: f64 = 0.02; // Least spare rate in the weighted choice, as part of the target rate
/// A wait grows with the part by which the fleet's rate exceeds the service rate, less this for chance.
const WAIT_TOLERANCE: f64 = 0.15;
/// Growth of an expected wait in seconds a second, at most. A busy processor may briefly report that it can
/// take next to nothing, which is no rate that it works at. Without a bound its wait would be taken to be
/// seconds long, nothing would be sent there, and no later report would correct that.
const MAX_WAIT_GROWTH: f64 = 1.0;
const SERVICE_RATE_RECOVERY: f64 = 0.15; // Growth a second of a service rate that is not reported
const DIVERSION_TTL: Micros = Micros(2_000_000); // Lifetime of a token for a diverted call
const DIVERSION_FACTOR: f64 = 4.0; // Diversion tokens issued per spare set-up: many expire unused
const MAX_PASS_GROWTH: f64 = 2.0; // Growth a second of the part of calls let through, relative to it
const MIN_PASS: f64 = 0.03; // Least part of calls let through: a server is never shut off by it
const GOSSIP_RATIO: f64 = 0.5; // Change of a wait that is sent to peers, as part of the wait threshold
const GOSSIP_FANOUT: usize = 8; // Peers that a changed wait is sent to, in eight bytes each
const CHECK_INTERVAL: Micros = Micros(150_000); // Between checks of a set-up in flight
/// A set-up is lost if one sent this much later was answered: jitter is far smaller.
const OVERTAKE_MARGIN: Micros = Micros(60_000);
const UNLIMITED_RATE: f64 = 1e6; // Spare set-ups a second of a server of which nothing is known
const TRIAL_INTERVAL: Micros = Micros(700_000); // Least time between trial calls to a silent server
/// Trial calls a second, at most, to a silent server from all controllers together, unless the lines reported
/// show it at work.
const FLEET_TRIAL_RATE: f64 = 8.0;
/// Trial calls from all controllers may use this part of what a silent server's lines carry, if that is more
/// than `FLEET_TRIAL_RATE`: fewer would not show in its reports.
const FLEET_TRIAL_RATIO: f64 = 0.05;
/// A server is at work if its set-ups arrive at this part of the rate at which its calls end.
const ACTIVE_FLOW_RATIO: f64 = 0.3;
/// Lifetime of a cold server's token, as part of the overload window. Tokens that were saved up add as much
/// to what is sent in a window: 1.25 times `COLD_BUDGET_RATIO` is the whole budget.
const COLD_TOKEN_TTL_RATIO: f64 = 0.25;
const MIN_CRASH_LINES: f64 = 12.0; // Only a server with more lines in use may be taken for crashed
const CRASH_RATIO: f64 = 0.25; // A server crashed if its lines in use fall under this part in one report
/// Part of a cold server's budget that is issued: the estimate of its capacity may be too high by as much.
const COLD_BUDGET_RATIO: f64 = 0.8;
const UNREPORTED_SIZE_RATIO: f64 = 0.25; // Lines of a cold server without report, as part of the fewest known
const BUSY_NUMBER_STEP: f64 = 0.25; // Rise or fall of a busy number's throttle at each answer
const MAX_BUSY_NUMBER_THROTTLE: f64 = 0.9; // The calls let through find out whether lines are free again
const MIN_HOLD_SECS: f64 = 0.1; // Least mean hold time
/// Restored throttling is dropped once a rate is reported that exceeds the restored one by this factor.
const RESTORED_RATE_TOLERANCE: f64 = 1.25;
const RESTORED_HOLD_SAMPLES: f64 = 20.0; // Calls that a restored mean hold time counts for
const MAX_RECENT_CALLERS: usize = 4096; // A few seconds of refusals at the highest rates
const MAX_BUSY_NUMBERS: usize = 64;

/// A fraction of calls to hold back until it expires, with the debt of calls still to be held back.
#[derive(Clone, Copy, Debug, Default)]
struct Throttle {
    fraction: f64,
    expires_at: Micros,
    debt: f64,
}

impl Throttle {
    fn current(&self, now: Micros) -> f64 {
        if now < self.expires_at {
            self.fraction
        } else {
            0.0
        }
    }

    fn store(&mut self, fraction: f64, now: Micros) {
        self.fraction = fraction.clamp(0.0, 1.0);
        self.expires_at = now + THROTTLE_TTL;
        if self.fraction <= 0.0 {
            self.debt = 0.0;
        }
    }

    /// Each call adds the fraction to the debt, and each held-back call takes 1 off. A call is held back once
    /// the debt reaches its `worth` (1 for the least class): low-worth calls are held back first, and the
    /// fraction of all calls stays the same. A fraction of 1 holds back all.
    fn holds_back(&mut self, worth: f64, min_fraction: f64, now: Micros) -> bool {
        let fraction = self.current(now).max(min_fraction);
        if fraction <= 0.0 {
            return false;
        }
        self.debt = (self.debt + fraction).min(MAX_THROTTLE_DEBT);
        let held = fraction >= 1.0 || self.debt >= worth.min(MAX_THROTTLE_DEBT);
        if held {
            self.debt = (self.debt - 1.0).max(0.0);
        }
        held
    }
}

/// This controller's part of a rate that all controllers share. Unused tokens expire, and the first one has a
/// random phase: what one controller may send at once, all may. So all together never send more than the rate
/// over the window and a token's lifetime.
#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Tokens last for `short_ttl`; a single one, where they are issued seldom, for `long_ttl`.
    fn refill(&mut self, rate: f64, short_ttl: Micros, long_ttl: Micros, now: Micros) {
        self.tokens += rate * (now - self.refilled_at).secs();
        self.refilled_at = now;
        let max_tokens = 1.0 + (rate * long_ttl.secs()).min(1.0).max(rate * short_ttl.secs());
        self.tokens -= (self.tokens - max_tokens).max(0.0).ceil();
    }
}

/// What is known and estimated of a server. Rates are in set-ups a second of all controllers.
#[derive(Clone, Debug, Default)]
struct Server {
    place: i64,
    up: bool,
    accepts_until: Micros, // While it drains: end of the time for calls that no other server takes
    born: Option<Micros>,
    cold_until: Micros,
    bucket: TokenBucket, // While cold for all calls, else for diverted ones
    throttle: Throttle,
    weight: f64,
    wait: Micros,
    wait_updated_at: Option<Micros>,
    load_reported_at: Option<Micros>, // Last report of load; without one, own delays set the throttle
    set_up_delay: Micros,             // Smoothed over own set-ups
    last_set_up: Micros,              // How long the last own established set-up took
    pending: BTreeMap<(CallId, u32), Micros>, // Set-ups without an answer, with the time of their send
    answered_at: Micros,
    answered_send_at: Micros, // Latest send that was answered: earlier ones still pending are lost
    peak_rate: f64,           // The most it was seen to carry while warm
    can_take: f64,            // As last reported
    lines: Option<(f64, f64, Micros)>, // Free lines, lines in all, and when they were reported
    sent_since_report: f64,   // Own sends since the report of lines
    used_lines: Option<(f64, Micros)>, // Lines in use when `fleet_rate` was last updated, and when
    fleet_rate: f64,
    fleet_pass: f64,          // The part of calls let through, smoothed like `fleet_rate`
    service_rate: f64,        // Reported or estimated
    spare_rate: f64,          // What may be added to `fleet_rate`
    pass: f64,                // The part of own calls to let through
    trial_at: Option<Micros>, // Set while it seems dead: no trial call before this
    restored_rate: f64,       // Restored service rate, until a clearly higher one is reported
}

/// Settings, and the mean hold time, that the estimates of servers are computed with.
#[derive(Debug)]
struct Params {
    wait_threshold: Micros,
    controllers: f64,
    hold_secs: f64,
    warm_up: Micros,
    max_wait: Micros,
}

/// A call that is not over.
#[derive(Clone, Debug)]
struct Call {
    request: NewCall,
    first_tried: Micros, // When its caller first tried, as far as is known
    due_at: Micros,      // The objective, counted from the first try
    in_flight: Option<(ServerId, u32)>,
    established: bool,
    attempts: u32,
    retry_at: Micros,
    may_have_run: bool,
    tried: Vec<ServerId>,
}

/// The decision module of one session controller.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    rng: Pcg32,
    now: Micros,
    started: Micros,
    tightest_objective: Micros,
    params: Params,
    min_worth: f64,
    calls_received: u64,
    hold_samples: f64, // Calls in the mean hold time
    restored: BTreeMap<ServerId, ServerEstimate>,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    busy_numbers: BTreeMap<u64, Throttle>,
    recent_callers: BTreeMap<u64, Micros>, // Numbers of calls given up, with their caller's first try
    recent_callers_by_age: VecDeque<(u64, Micros)>,
}

const ANSWER_TIMER: u64 = 0; // The final answer is due
const RETRY_TIMER: u64 = 1; // The release time of the last attempt is over
const CHECK_TIMER: u64 = 2; // The set-up in flight is checked
const TIMER_KINDS: u64 = 3;

/// A timer action, whose token holds the call and the kind of timer.
fn timer(at: Micros, id: CallId, kind: u64) -> Action {
    Action::Timer(id, at, id.0.wrapping_mul(TIMER_KINDS).wrapping_add(kind))
}

impl Controller {
    /// A controller that knows no server yet. Settings outside their ranges are an error.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Controller, SettingsError> {
        let ratio = |x: f64| (0.0..=1.0).contains(&x);
        let amount = |x: f64| x.is_finite() && x >= 0.0;
        let tightest_objective = settings.classes.iter().map(|c| c.objective).min().unwrap_or_default();
        let worths = settings.classes.iter().all(|c| amount(c.worth) && ratio(c.late_worth));
        for (valid, error) in [
            (!settings.classes.is_empty(), SettingsError::NoClasses),
            (settings.balancers > 0, SettingsError::Zero("balancers")),
            (settings.max_attempts > 0, SettingsError::Zero("max_attempts")),
            (ratio(settings.cold_from), SettingsError::OutOfRange("cold_from")),
            (amount(settings.overload_factor), SettingsError::OutOfRange("overload_factor")),
            (worths, SettingsError::OutOfRange("worth")),
            (tightest_objective > Micros(0), SettingsError::OutOfRange("objective")),
        ] {
            if !valid {
                return Err(error);
            }
        }
        let hold_secs: f64 = settings.classes.iter().map(|c| c.hold_time.secs()).sum();
        let min_worth = settings.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min);
        Ok(Controller {
            rng: Pcg32::seed_from_u64(seed),
            now,
            started: now,
            tightest_objective,
            params: Params {
                wait_threshold: tightest_objective.scale(WAIT_THRESHOLD_RATIO),
                controllers: f64::from(settings.balancers),
                warm_up: settings.warm_up,
                max_wait: settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default(),
                hold_secs: (hold_secs / settings.classes.len() as f64).max(MIN_HOLD_SECS),
            },
            min_worth: if min_worth > 0.0 { min_worth } else { 1.0 },
            calls_received: 0,
            hold_samples: 0.0,
            restored: BTreeMap::new(),
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            busy_numbers: BTreeMap::new(),
            recent_callers: BTreeMap::new(),
            recent_callers_by_age: VecDeque::new(),
            settings,
        })
    }

    /// How many calls, servers and busy numbers are kept.
    pub fn tracked_counts(&self) -> (usize, usize, usize) {
        (self.calls.len(), self.servers.len(), self.busy_numbers.len())
    }

    /// Handles one event and appends the resulting actions. A `now` before an earlier one counts as that one.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::List(kind, entries) => self.apply_server_list(kind, entries, actions),
            Event::Call(request) => self.start_call(request, actions),
            Event::Established(id, server, attempt, took) => self.call_established(id, server, attempt, took),
            Event::Ended(end) => {
                let expected = self.servers.get(&end.server).map_or(Micros(0), |s| s.expected_wait(self.now));
                self.attempt_ended(&end);
                self.gossip(&end, expected, actions);
                self.call_ended(&end, actions);
            }
            Event::CallerLeft(id) => {
                if let Some(call) = self.calls.remove(&id) {
                    self.remember_caller(&call);
                }
            }
            Event::Timer(token) => self.timer_due(token, actions),
            Event::Probed(server, outcome, report) => {
                if outcome == Outcome::Success {
                    self.apply_report(server, &report);
                }
            }
            Event::PeerMessage(_, bytes) => self.peer_message(&bytes),
            Event::Restored(hold, servers) => {
                self.hold_samples = hold.map_or(self.hold_samples, |_| RESTORED_HOLD_SAMPLES);
                self.params.hold_secs = hold.unwrap_or(self.params.hold_secs).max(MIN_HOLD_SECS);
                self.restored = servers.into_iter().collect();
            }
        }
    }

    /// Mean hold time of calls, in seconds.
    pub fn mean_hold_secs(&self) -> f64 {
        self.params.hold_secs
    }

    /// What is known and estimated of a server, for the next start.
    pub fn estimate(&self, id: ServerId) -> Option<ServerEstimate> {
        let s = self.servers.get(&id)?;
        let &Server { peak_rate: carried, service_rate: carries, can_take, weight, pass, cold_until, .. } = s;
        let (heard, wait, delay) = (s.answered_at, s.expected_wait(self.now), s.set_up_delay);
        let (silent, share, share_until) =
            (s.trial_at.is_some(), s.throttle.current(self.now), s.throttle.expires_at);
        let rates = ServerEstimate { carried, carries, can_take, weight, pass, ..ServerEstimate::default() };
        Some(ServerEstimate { heard, wait, delay, share, share_until, silent, cold_until, ..rates })
    }

    // ---- server list ----

    fn apply_server_list(&mut self, kind: ListKind, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        if self.settings.must_subscribe && matches!(kind, ListKind::Saved | ListKind::Failed) {
            actions.push(Action::Subscribe);
        }
        if kind == ListKind::Failed {
            return;
        }
        if kind != ListKind::Changes {
            let listed: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (id, server) in self.servers.iter_mut() {
                if !listed.contains(id) {
                    (server.up, server.accepts_until) = (false, Micros(0));
                }
            }
        }
        for entry in entries {
            let (now, tokens) = (self.now, self.random());
            let new = !self.servers.contains_key(&entry.server);
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::new(&entry));
            if entry.born != server.born {
                let pending = std::mem::take(&mut server.pending);
                let peak_rate = server.peak_rate;
                *server = Server { pending, peak_rate, ..Server::new(&entry) };
            }
            server.place = entry.place;
            let grace = self.settings.drain_grace - DRAIN_MARGIN;
            server.accepts_until = match entry.phase {
                Phase::Draining if server.up && !new => entry.phase_since.unwrap_or(now) + grace,
                Phase::Draining => server.accepts_until,
                _ => Micros(0),
            };
            server.up = entry.phase == Phase::Up;
            let cold_until = entry.born.map_or(Micros(0), |b| b + self.settings.warm_up);
            if new || cold_until > server.cold_until.max(now) {
                server.bucket = TokenBucket { tokens, refilled_at: now };
            }
            server.cold_until = server.cold_until.max(cold_until);
            if let Some(estimate) = self.restored.remove(&entry.server).filter(|_| new) {
                server.restore(&estimate, now);
            }
        }
        self.restored.clear();
        self.forget_servers();
    }

    fn forget_servers(&mut self) {
        let now = self.now;
        self.servers.retain(|_, s| s.up || now < s.accepts_until || !s.pending.is_empty());
    }

    // ---- calls ----

    fn start_call(&mut self, request: NewCall, actions: &mut Vec<Action>) {
        self.calls_received += 1;
        let id = request.id;
        let Some(class) = self.settings.classes.get(request.class) else {
            actions.push(Action::Refuse(id, Micros(0)));
            return;
        };
        let (objective, deadline) = (class.objective, class.deadline);
        self.hold_samples += 1.0;
        self.params.hold_secs +=
            (class.hold_time.secs().max(MIN_HOLD_SECS) - self.params.hold_secs) / (self.hold_samples + 1.0);
        let first_try = request.number.and_then(|n| self.recent_callers.remove(&n));
        let first = first_try.filter(|t| !request.returned && self.now - *t < deadline).unwrap_or(self.now);
        let call = Call {
            request,
            first_tried: first,
            due_at: first + objective,
            in_flight: None,
            established: false,
            attempts: 0,
            retry_at: Micros(0),
            may_have_run: false,
            tried: Vec::new(),
        };
        self.calls.insert(id, call);
        let busy = request.number.and_then(|n| self.busy_numbers.get_mut(&n));
        if busy.is_some_and(|s| s.holds_back(1.0, 0.0, self.now))
            || request.deadline <= self.now + ANSWER_MARGIN
        {
            return self.give_up(id, actions);
        }
        actions.push(timer(request.deadline - ANSWER_MARGIN, id, ANSWER_TIMER));
        self.route(id, actions);
    }

    /// Sends a call to its first choice, else diverts it once, else gives it up.
    fn route(&mut self, id: CallId, actions: &mut Vec<Action>) {
        self.refill_buckets();
        let Some(call) = self.calls.get(&id) else { return };
        let (worth, transit) = (self.relative_worth(call), call.request.transit);
        let eligible: Vec<ServerId> =
            self.servers.iter().filter(|(s, v)| v.up && self.usable(call, **s, v)).map(|(s, _)| *s).collect();
        let first = eligible.iter().copied().find(|s| self.servers[s].place == call.request.place);
        if let Some(first) = first {
            if !self.holds_back(first, worth) {
                return self.send(id, first, actions);
            }
        }
        // Without a report of lines, diversions have no limit.
        let has_token =
            |s: &ServerId| self.servers[s].used_lines.is_none() || self.servers[s].bucket.tokens >= 1.0;
        let others: Vec<_> = eligible.into_iter().filter(|s| Some(*s) != first && has_token(s)).collect();
        match self.pick_by_weight(&others).filter(|_| !transit) {
            Some(other) if !self.holds_back(other, worth) => self.send(id, other, actions),
            _ => match self.draining_server(id) {
                Some(server) => self.send(id, server, actions),
                None => self.give_up(id, actions),
            },
        }
    }

    /// A draining server for a call that would be refused otherwise: the others fill with what it no
    /// longer gets. The call may end before the server does, and one that is cut comes again.
    fn draining_server(&self, id: CallId) -> Option<ServerId> {
        let call = self.calls.get(&id)?;
        let candidate = |(s, v): &(&ServerId, &Server)| !v.up && self.usable(call, **s, v);
        let mut draining: Vec<_> = self.servers.iter().filter(candidate).collect();
        draining.sort_by_key(|(_, v)| v.place != call.request.place);
        draining.first().map(|(s, _)| **s)
    }

    fn holds_back(&mut self, server: ServerId, worth: f64) -> bool {
        let now = self.now;
        self.servers.get_mut(&server).is_some_and(|s| s.throttle.holds_back(worth, 1.0 - s.pass, now))
    }

    /// Chooses a server at random, in proportion to weight times spare rate.
    fn pick_by_weight(&mut self, others: &[ServerId]) -> Option<ServerId> {
        let chance = self.random();
        let weight = |s: &ServerId| self.servers[s].weight * self.servers[s].spare_rate;
        let mut point = chance * others.iter().map(weight).sum::<f64>();
        for other in others {
            point -= weight(other);
            if point < 0.0 {
                return Some(*other);
            }
        }
        others.last().copied()
    }

    /// Worth relative to the least class, lower for a call that can only be established late.
    fn relative_worth(&self, call: &Call) -> f64 {
        let class = &self.settings.classes[call.request.class];
        let late = if self.now + SET_UP_MARGIN < call.due_at { 1.0 } else { class.late_worth };
        class.worth * late / self.min_worth
    }

    /// Whether the call may go there now, and is likely to be established in time.
    fn usable(&self, call: &Call, id: ServerId, server: &Server) -> bool {
        let class = &self.settings.classes[call.request.class];
        let allowed = class.places.is_empty() || class.places.contains(&server.place);
        let idle = server.oldest_pending().is_none_or(|t| t + TRIAL_INTERVAL <= self.now);
        let trial = server.trial_at.is_none_or(|at| self.now >= at && idle);
        allowed
            && trial
            && self.has_free_line(server)
            && !call.tried.contains(&id)
            && Some(server.place) != self.settings.own_place
            && self.may_send(call, server)
            && self.can_establish_in_time(call, server)
    }

    /// A set-up refused for want of lines costs processor time and an attempt. Free lines are those reported
    /// last, plus what calls have released since, less what all controllers have taken since.
    fn has_free_line(&self, server: &Server) -> bool {
        let Some((free, size, at)) = server.lines else { return true };
        let ended_rate = (size - free) / self.params.hold_secs;
        free + (ended_rate - server.fleet_rate) * (self.now - at).secs() - server.sent_since_report >= 1.0
    }

    /// Avoids work on calls that cannot be established in time. Once its objective is missed, a call may only
    /// go to a server without hold-back.
    fn can_establish_in_time(&self, call: &Call, server: &Server) -> bool {
        let wait = server.expected_wait(self.now);
        let established_at = self.now + wait + wait + SET_UP_MARGIN;
        if self.now < call.due_at {
            return established_at <= self.now + (call.due_at - self.now).scale(USABLE_OBJECTIVE_RATIO);
        }
        established_at <= call.request.deadline && server.throttle.current(self.now) <= 0.0
    }

    /// The sending rules, from the settings alone: (1) in time for the caller, (2) one attempt at a time, at
    /// most so many, and no repeat of what must not run twice, (3) none to a server past its drain grace,
    /// (4) a cold server's budget, and (5) the wait for a release.
    fn may_send(&self, call: &Call, server: &Server) -> bool {
        let in_time = self.now + ANSWER_MARGIN < call.request.deadline;
        let alone =
            call.in_flight.is_none() && !call.established && call.attempts < self.settings.max_attempts;
        let idempotency = self.settings.classes[call.request.class].idempotency;
        let once = idempotency == Idempotency::Free || !call.may_have_run;
        // The network resends a set-up that waits, which counts again towards a cold server's budget.
        let wait = server.expected_wait(self.now);
        let resent = self.settings.resend > Micros(0) && wait + wait >= self.settings.resend;
        let warm = self.now >= server.cold_until || !resent && server.bucket.tokens >= 1.0;
        let accepts = server.up || self.now < server.accepts_until;
        in_time && alone && once && accepts && warm && self.now >= call.retry_at
    }

    fn send(&mut self, id: CallId, to: ServerId, actions: &mut Vec<Action>) {
        let chance = self.random();
        let allowed = match (self.calls.get(&id), self.servers.get(&to)) {
            (Some(call), Some(server)) => self.may_send(call, server),
            _ => false,
        };
        if !allowed {
            return self.give_up(id, actions);
        }
        let (Some(call), Some(server)) = (self.calls.get_mut(&id), self.servers.get_mut(&to)) else { return };
        server.pending.insert((id, call.attempts), self.now);
        if self.now < server.cold_until || server.place != call.request.place {
            server.bucket.tokens -= 1.0;
        }
        server.sent_since_report += 1.0;
        server.trial_at = server.trial_at.map(|_| server.next_trial(&self.params, chance, self.now));
        call.in_flight = Some((to, call.attempts));
        call.attempts += 1;
        actions.push(Action::Send(id, to, call.request.deadline - ANSWER_MARGIN - self.now));
        actions.push(timer(self.now + CHECK_INTERVAL, id, CHECK_TIMER));
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }

    fn refill_buckets(&mut self) {
        let cold_ttl = self.settings.overload_for.scale(COLD_TOKEN_TTL_RATIO);
        let budget = |s: &Server| (self.now < s.cold_until).then(|| self.cold_budget(s));
        let budgets: Vec<_> = self.servers.values().map(budget).collect();
        for (s, budget) in self.servers.values_mut().zip(budgets) {
            let (rate, ttl) =
                budget.map_or((s.spare_rate * DIVERSION_FACTOR, DIVERSION_TTL), |b| (b, cold_ttl));
            s.bucket.refill(rate / self.params.controllers, cold_ttl, ttl, self.now);
        }
    }

    /// A cold server's budget, in set-ups a second of all controllers. Its capacity is taken from its own
    /// peak rate, else from the lowest peak rate per line of the warm servers, else from an even part of all
    /// calls. Present capacity is a part of that, or what the server reports it can take, if that is more.
    fn cold_budget(&self, to: &Server) -> f64 {
        let fewest = self.servers.values().filter_map(|s| s.lines).map(|l| l.1).fold(f64::INFINITY, f64::min);
        let unreported = if fewest.is_finite() { fewest * UNREPORTED_SIZE_RATIO } else { 0.0 };
        let size = to.lines.map_or(unreported, |(_, size, _)| size);
        let warm = self.servers.values().filter(|s| s.up && self.now >= s.cold_until && s.peak_rate > 0.0);
        let rate_per_line =
            warm.filter_map(|s| s.lines.map(|l| s.peak_rate / l.1.max(1.0))).fold(f64::INFINITY, f64::min);
        let capacity = if to.peak_rate > 0.0 {
            to.peak_rate
        } else if rate_per_line.is_finite() && size > 0.0 {
            rate_per_line * size
        } else {
            let up = self.servers.values().filter(|s| s.up).count().max(1) as f64;
            self.calls_received as f64 / (self.now - self.started).secs().max(1.0) * self.params.controllers
                / up
        };
        let current = (self.settings.cold_from * capacity).max(to.can_take.min(capacity));
        self.settings.overload_factor * current * COLD_BUDGET_RATIO
    }

    fn call_established(&mut self, id: CallId, server: ServerId, attempt: u32, took: Micros) {
        let threshold = self.tightest_objective.scale(DELAY_THRESHOLD_RATIO);
        if let Some(s) = self.servers.get_mut(&server) {
            if let Some(sent) = s.pending.remove(&(id, attempt)) {
                s.answered_send_at = s.answered_send_at.max(sent);
            }
            s.record_answer(self.now);
            s.last_set_up = took;
            s.update_wait(took.scale(0.5), &self.params, self.now);
            s.set_up_delay = s.set_up_delay.scale(1.0 - DELAY_SMOOTHING) + took.scale(DELAY_SMOOTHING);
            if took > threshold {
                s.weight = (s.weight * SLOW_WEIGHT_FACTOR).max(MIN_WEIGHT);
            } else {
                s.weight = (s.weight + WEIGHT_RECOVERY).min(1.0);
            }
            if s.load_reported_at.is_none_or(|t| self.now - t >= THROTTLE_TTL) {
                s.derive_throttle(s.set_up_delay > threshold, self.now);
            }
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.established = true;
            if let Some(throttle) = call.request.number.and_then(|n| self.busy_numbers.get_mut(&n)) {
                throttle.store(throttle.fraction - BUSY_NUMBER_STEP, self.now);
            }
        }
    }

    /// Updates the server's state from the end of an attempt.
    fn attempt_ended(&mut self, end: &AttemptEnd) {
        let chance = self.random();
        let Some(s) = self.servers.get_mut(&end.server) else { return };
        let sent = s.pending.remove(&(end.id, end.attempt));
        let trial = Some(s.next_trial(&self.params, chance, self.now));
        let unanswered = sent.is_some_and(|t| s.answered_at < t);
        match end.outcome {
            Outcome::Success | Outcome::Failure | Outcome::Overloaded => s.record_answer(self.now),
            // A stalled processor refuses every set-up, at a cost, but does not look loaded.
            Outcome::Unreachable | Outcome::ProcessorFull => s.trial_at = trial,
            Outcome::TimedOut if unanswered => s.trial_at = trial,
            // A single connection reset does not prove that the server is dead. The next call goes there
            // at once, alone: whether it is answered decides.
            Outcome::Broken if unanswered => s.trial_at = s.trial_at.or(Some(self.now)),
            _ => {}
        }
        self.apply_report(end.server, &end.report);
        self.forget_servers();
    }

    /// Ends the call, routes it again at once or after the release, or gives it up.
    fn call_ended(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.id;
        let number = self.calls.get(&id).and_then(|c| c.request.number);
        if let Some(number) = number.filter(|_| end.number_busy) {
            self.throttle_number(number);
        }
        if end.over {
            self.calls.remove(&id);
            return;
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.in_flight != Some((end.server, end.attempt)) {
            return;
        }
        call.in_flight = None;
        call.may_have_run |= !end.outcome.proves_never_ran();
        match end.outcome {
            Outcome::Overloaded | Outcome::ProcessorFull | Outcome::Unreachable | Outcome::Failure
                if !end.number_busy =>
            {
                call.tried.push(end.server);
                self.route(id, actions);
            }
            outcome if outcome.awaits_release() => {
                call.retry_at = self.now + self.settings.release;
                actions.push(timer(call.retry_at, id, RETRY_TIMER));
            }
            _ => self.give_up(id, actions),
        }
    }

    /// Gives the final answer of a call that gets no (further) attempt.
    fn give_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.remember_caller(&call);
        let may_run = call.may_have_run || call.in_flight.is_some();
        actions.push(if may_run { Action::Fail(id) } else { Action::Refuse(id, self.retry_after(&call)) });
    }

    /// The retry-after of a refused call: short enough for another try within its objective, and long enough
    /// for the throttle to change. Past the objective it is the longest.
    fn retry_after(&self, call: &Call) -> Micros {
        let left = call.due_at - self.now;
        let away =
            if left > SET_UP_MARGIN { left.scale(RETRY_AFTER_RATIO) } else { self.settings.max_retry_after };
        away.min(self.settings.max_retry_after)
    }

    /// Recognises callers who dial again, by the number of the call given up: their objective counts from the
    /// first try. Callers who share a number are confused with one another.
    fn remember_caller(&mut self, call: &Call) {
        let Some(number) = call.request.number.filter(|_| !call.established) else { return };
        self.recent_callers.insert(number, call.first_tried);
        self.recent_callers_by_age.push_back((number, call.first_tried));
        if self.recent_callers_by_age.len() > MAX_RECENT_CALLERS {
            if let Some((oldest, first)) = self.recent_callers_by_age.pop_front() {
                if self.recent_callers.get(&oldest) == Some(&first) {
                    self.recent_callers.remove(&oldest);
                }
            }
        }
    }

    fn timer_due(&mut self, token: u64, actions: &mut Vec<Action>) {
        let id = CallId(token / TIMER_KINDS);
        let Some(call) = self.calls.get(&id).filter(|c| !c.established) else { return };
        match (token % TIMER_KINDS, call.in_flight) {
            (ANSWER_TIMER, in_flight) => {
                if let Some((_, attempt)) = in_flight.filter(|_| self.settings.may_cancel) {
                    actions.push(Action::Cancel(id, attempt));
                }
                self.give_up(id, actions);
            }
            (RETRY_TIMER, None) if self.now >= call.retry_at => self.route(id, actions),
            (CHECK_TIMER, Some((at, attempt))) => self.check_attempt(id, at, attempt, actions),
            _ => {}
        }
    }

    /// A server that hangs, crashed or lost its network does not look loaded. One that has answered nothing
    /// since this set-up was sent is silent: it gets only trial calls until it answers, and the set-up is
    /// cancelled while another server can still establish the call in time.
    fn check_attempt(&mut self, id: CallId, at: ServerId, attempt: u32, actions: &mut Vec<Action>) {
        let chance = self.random();
        let (Some(server), Some(call)) = (self.servers.get_mut(&at), self.calls.get(&id)) else { return };
        let expected = (server.wait + server.wait).max(server.last_set_up).scale(OVERDUE_FACTOR);
        let limit = self.tightest_objective.scale(SILENCE_TIMEOUT_RATIO).max(expected);
        let Some(sent) = server.pending.get(&(id, attempt)).copied() else { return };
        let overtaken = server.answered_send_at > sent + OVERTAKE_MARGIN;
        if !overtaken && (server.answered_at >= sent || sent + limit > self.now) {
            if self.now < call.due_at {
                actions.push(timer(self.now + CHECK_INTERVAL, id, CHECK_TIMER));
            }
            return;
        }
        let mut retry = Call { in_flight: None, due_at: call.due_at - self.settings.release, ..call.clone() };
        if !overtaken {
            let next = server.next_trial(&self.params, chance, self.now);
            server.trial_at = Some(server.trial_at.unwrap_or(next));
            retry.tried.push(at);
        }
        let alternative = self.servers.iter().any(|(s, v)| v.up && self.usable(&retry, *s, v));
        if alternative && self.now < retry.due_at && self.settings.may_cancel {
            actions.push(Action::Cancel(id, attempt));
        }
    }

    /// Sends an unexpected wait to a few peers chosen at random: a controller with a call every few seconds
    /// would learn of it too late. Nothing depends on these messages, and they may be lost.
    fn gossip(&mut self, end: &AttemptEnd, prior: Micros, actions: &mut Vec<Action>) {
        let (peers, wait) = (self.settings.balancers, end.report.wait.unwrap_or(prior));
        let changed = wait.max(prior) - wait.min(prior) > self.params.wait_threshold.scale(GOSSIP_RATIO)
            && wait <= self.params.max_wait;
        let count = if self.settings.may_message_peers && peers > 1 && changed { GOSSIP_FANOUT } else { 0 };
        let rate = u64::from(end.report.can_take.unwrap_or(0.0) as u16);
        let word = end.server.0 << 32 | (wait.0 / 1000).min(0xffff) << 16 | rate;
        for _ in 0..count {
            let step = 1 + u64::from(self.rng.next_u32() % (peers - 1));
            let peer = ((u64::from(self.settings.index) + step) % u64::from(peers)) as u32;
            actions.push(Action::SendToPeer(peer, word.to_be_bytes().to_vec()));
        }
    }

    /// Ignores messages of another length and servers that are not listed here.
    fn peer_message(&mut self, bytes: &[u8]) {
        let Ok(word) = bytes.try_into().map(u64::from_be_bytes) else { return };
        let Some(s) = self.servers.get_mut(&ServerId(word >> 32)) else { return };
        let (wait, rate) = (Micros((word >> 16 & 0xffff) * 1000), (word & 0xffff) as f64);
        if wait <= self.params.max_wait {
            s.update_wait(wait, &self.params, self.now);
            s.service_rate = if rate > 0.0 { rate } else { s.service_rate };
        }
    }

    // ---- reports ----

    fn apply_report(&mut self, id: ServerId, report: &Report) {
        let Some(s) = self.servers.get_mut(&id) else { return };
        if let (Some(size), Some(free)) = (report.size, report.free.filter(|f| report.size >= Some(*f))) {
            s.update_fleet_rate(&self.params, free, size, self.now);
            s.lines = Some((free, size, self.now));
            s.sent_since_report = 0.0;
            let unloaded =
                s.load_reported_at.is_none() || s.expected_wait(self.now) <= self.params.wait_threshold;
            if self.now >= s.cold_until && unloaded {
                s.peak_rate = s.peak_rate.max((size - free) / self.params.hold_secs);
            }
        }
        if report.wait.is_some_and(|w| w > self.params.max_wait)
            || report.hold_back.is_some_and(|h| h > MAX_PLAUSIBLE_HOLD_BACK)
        {
            return;
        }
        if let Some(wait) = report.wait {
            s.update_wait(wait, &self.params, self.now);
        }
        if report.has_load_figure() {
            s.load_reported_at = Some(self.now);
        }
        if let Some(rate) = report.can_take {
            // The restored estimate held back calls that the server can take: all of it is dropped.
            if s.restored_rate > 0.0 && rate > s.restored_rate * RESTORED_RATE_TOLERANCE {
                (s.weight, s.pass, s.throttle, s.restored_rate) = (1.0, 1.0, Throttle::default(), 0.0);
                (s.wait, s.set_up_delay) = (Micros(0), Micros(0));
            }
            s.can_take = rate;
            s.service_rate = rate;
        }
        if let Some(fraction) = report.hold_back {
            if fraction > s.throttle.current(self.now) {
                s.weight = (s.weight * THROTTLE_WEIGHT_FACTOR).max(MIN_WEIGHT);
            }
            s.throttle.store(fraction, self.now);
        } else if report.wait.is_some() {
            s.derive_throttle(s.expected_wait(self.now) > self.params.wait_threshold, self.now);
        } else if let Some(busy) = report.utilisation {
            s.derive_throttle(busy > UTILISATION_THRESHOLD, self.now);
        } else if let Some(queue) = report.queue {
            s.derive_throttle(queue > QUEUE_THRESHOLD, self.now);
        }
    }

    // ---- busy numbers ----

    /// Calls to a number whose lines are all busy cost set-ups and cannot be established. They are throttled
    /// like those to a server; the throttle falls when a call to the number is established.
    fn throttle_number(&mut self, number: u64) {
        let now = self.now;
        if self.busy_numbers.len() >= MAX_BUSY_NUMBERS && !self.busy_numbers.contains_key(&number) {
            let oldest = self.busy_numbers.iter().min_by_key(|(_, s)| s.expires_at).map(|(n, _)| *n);
            oldest.and_then(|n| self.busy_numbers.remove(&n));
        }
        let throttle = self.busy_numbers.entry(number).or_default();
        throttle.store((throttle.current(now) + BUSY_NUMBER_STEP).min(MAX_BUSY_NUMBER_THROTTLE), now);
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
            spare_rate: UNLIMITED_RATE,
            fleet_pass: 1.0,
            ..Server::default()
        }
    }

    /// Takes over an estimate from before the start. Calls that it holds back could show that it is wrong, so
    /// a part is let through at once, and the first rate reported replaces it. A cold server gets no more
    /// than what the same process reported when it was colder.
    fn restore(&mut self, past: &ServerEstimate, now: Micros) {
        self.cold_until = self.cold_until.max(past.cold_until);
        (self.peak_rate, self.can_take, self.last_set_up) = (past.carried, past.can_take, past.delay);
        (self.wait, self.set_up_delay, self.answered_at) = (past.wait, past.delay, past.heard);
        (self.weight, self.pass) = (past.weight.max(MIN_WEIGHT), past.pass.max(MIN_PASS));
        (self.wait_updated_at, self.fleet_pass) = (Some(now), self.pass);
        (self.throttle.fraction, self.throttle.expires_at) =
            (past.share, past.share_until.min(now + THROTTLE_TTL));
        self.trial_at = past.silent.then_some(now);
        if now >= self.cold_until && past.carries > 0.0 {
            (self.service_rate, self.restored_rate) = (past.carries, past.carries);
        }
    }

    /// Whether recent reports of lines show that set-ups of any controller are answered. A controller that
    /// sends a call every few seconds would otherwise take one lost answer for a dead server.
    fn serves_fleet(&self, params: &Params, now: Micros) -> bool {
        let active = |(used, at): (f64, Micros)| {
            now - at < THROTTLE_TTL && self.fleet_rate * params.hold_secs > used * ACTIVE_FLOW_RATIO
        };
        self.used_lines.is_some_and(active)
    }

    /// When the next trial call may go to a server that seems dead: all controllers share the trial rate.
    fn next_trial(&self, params: &Params, chance: f64, now: Micros) -> Micros {
        let rate = FLEET_TRIAL_RATE
            .max(self.lines.map_or(0.0, |(_, size, _)| size / params.hold_secs * FLEET_TRIAL_RATIO));
        let shared =
            if self.serves_fleet(params, now) { 0.0 } else { 2.0 * chance * params.controllers / rate };
        now + TRIAL_INTERVAL.max(Micros((shared * 1e6) as u64))
    }

    fn record_answer(&mut self, now: Micros) {
        self.answered_at = now;
        self.trial_at = None;
    }

    /// When the oldest pending set-up was sent, of those not overtaken: one whose successors were answered
    /// was lost, and its age says nothing of the queue.
    fn oldest_pending(&self) -> Option<Micros> {
        self.pending.values().filter(|t| **t > self.answered_send_at).min().copied()
    }

    /// Raises the throttle a step while the load is over its threshold, and clears it otherwise.
    fn derive_throttle(&mut self, over: bool, now: Micros) {
        if over {
            let fraction = self.throttle.current(now) + THROTTLE_STEP;
            self.throttle.store(fraction, now);
            self.weight = (self.weight * THROTTLE_WEIGHT_FACTOR).max(MIN_WEIGHT);
        } else {
            self.throttle.store(0.0, now);
        }
    }

    /// Estimates the set-ups of all controllers from the lines in use and their change, which all see alike.
    fn update_fleet_rate(&mut self, params: &Params, free: f64, size: f64, now: Micros) {
        let used = size - free;
        // Just after this controller's start, lines may be reported free before they are counted.
        let Some((prior, at)) = self.used_lines.filter(|(prior, _)| *prior > 0.0) else {
            self.fleet_rate = used / params.hold_secs;
            self.service_rate =
                if self.restored_rate > 0.0 { self.restored_rate } else { size / params.hold_secs };
            self.spare_rate = (self.service_rate - self.fleet_rate).max(self.service_rate * MIN_SPARE_RATIO);
            self.used_lines = Some((used, now));
            return;
        };
        if now - at < MIN_FLOW_INTERVAL {
            return;
        }
        let span = (now - at).secs();
        self.used_lines = Some((used, now));
        // A crash cuts all calls. The server may be back, and overloaded, before the list shows the restart.
        // It is no crash if lines were removed too, or if some calls survive, as after a network fault.
        if prior > MIN_CRASH_LINES && used < prior * CRASH_RATIO && self.lines.is_some_and(|l| l.1 <= size) {
            self.cold_until = self.cold_until.max(now + params.warm_up);
            (self.bucket.tokens, self.can_take) = (self.bucket.tokens.fract(), 0.0);
        }
        let measured = ((used - prior) / span + (used + prior) / 2.0 / params.hold_secs).max(0.0);
        let gain = 1.0 - (-span * measured.max(self.fleet_rate).max(MIN_WINDOW_RATE) / FLOW_WINDOW).exp();
        self.fleet_rate += (measured - self.fleet_rate) * gain;
        if self.serves_fleet(params, now) {
            self.trial_at = self.trial_at.map(|t| t.min(now + TRIAL_INTERVAL));
        }
        self.fleet_pass += (self.pass.min(1.0 - self.throttle.current(now)) - self.fleet_pass) * gain;
        let over = self.fleet_rate / self.service_rate.max(0.1) - 1.0;
        let slope = if over > 0.0 {
            (over - WAIT_TOLERANCE).clamp(0.0, MAX_WAIT_GROWTH)
        } else {
            over.max(-WAIT_DECAY)
        };
        self.wait = (self.wait + Micros((slope.max(0.0) * span * 1e6) as u64))
            - Micros((-slope.min(0.0) * span * 1e6) as u64);
        self.wait_updated_at = self.wait_updated_at.map(|_| now);
        let over = self.expected_wait(now).secs() / params.wait_threshold.secs();
        let target = self.service_rate * (1.0 + FLOW_TARGET_GAIN * (1.0 - over)).max(MIN_PASS);
        let reserve = SPARE_LINES_FACTOR * self.fleet_rate.max(1.0).sqrt();
        let full = if free < 1.0 { FULL_SERVER_RATIO } else { 1.0 };
        let target = target.min((used / params.hold_secs + (free - reserve) / FILL_SECS).max(0.0) * full);
        self.spare_rate = (target - self.fleet_rate).max(target * MIN_SPARE_RATIO).max(1e-3);
        let rise = self.pass * (1.0 + MAX_PASS_GROWTH * span);
        self.pass = (self.fleet_pass * target / self.fleet_rate.max(0.1)).min(rise).clamp(MIN_PASS, 1.0);
    }

    /// Takes in a wait that was reported, or shown by an own set-up. Without a reported rate, the service
    /// rate follows the fleet's rate while the wait is over its threshold, and grows slowly otherwise.
    fn update_wait(&mut self, wait: Micros, params: &Params, now: Micros) {
        let expected = self.expected_wait(now);
        let since = self.wait_updated_at.map_or(1.0, |t| (now - t).secs().min(1.0));
        self.wait = wait.max((wait + expected).scale(0.5));
        self.wait_updated_at = Some(now);
        if let (true, Some((_, size, _))) = (self.can_take <= 0.0, self.lines) {
            self.service_rate = if wait > params.wait_threshold {
                self.service_rate + (self.fleet_rate - self.service_rate) * since
            } else {
                (self.service_rate * (1.0 + SERVICE_RATE_RECOVERY * since))
                    .max(self.fleet_rate)
                    .min(size / params.hold_secs)
            };
        }
    }

    /// The wait reported, less what may have been worked off since, or half the age of the oldest pending
    /// set-up, if that is more.
    fn expected_wait(&self, now: Micros) -> Micros {
        let decay = if self.used_lines.is_some() { 0.0 } else { WAIT_DECAY };
        let reported = self.wait_updated_at.map_or(Micros(0), |t| self.wait - (now - t).scale(decay));
        let observed = self.oldest_pending().map_or(Micros(0), |t| (now - t).scale(0.5));
        reported.max(observed)
    }
}
