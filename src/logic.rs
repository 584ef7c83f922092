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
const THROTTLE_TTL: Micros = Micros(5_000_000);
/// A reported share over this is not noise but nonsense, like a wait longer than any call's time.
const MAX_PLAUSIBLE_HOLD_BACK: f64 = 2.0;
/// A derived share rises by this much at each report over the mark (design: by fives).
const THROTTLE_STEP: f64 = 0.05;
/// Mark on the wait, in parts of the tightest objective: a call stands after about twice the wait.
const WAIT_THRESHOLD_RATIO: f64 = 0.23;
/// Mark on the utilisation, where that is what is reported: above it queues grow without bound.
const UTILISATION_THRESHOLD: f64 = 0.92;
/// Mark on the queue, in messages, where that is what is reported.
const QUEUE_THRESHOLD: f64 = 8.0;
/// Mark on the smoothed delay of own set-ups, in parts of the tightest objective, without reports.
const DELAY_THRESHOLD_RATIO: f64 = 0.5;
/// Part of a new delay taken into the smoothed one: about the last five set-ups count.
const DELAY_SMOOTHING: f64 = 0.2;
/// A weight is multiplied by this for each own set-up that is over the delay mark.
const SLOW_WEIGHT_FACTOR: f64 = 0.85;
/// ... and by this for each rise of the server's share.
const THROTTLE_WEIGHT_FACTOR: f64 = 0.95;
/// ... and creeps back by this for each own set-up under the mark; it stays in 0.05 to 1.
const WEIGHT_RECOVERY: f64 = 0.03;
/// The least weight: a server is never quite out of the draw.
const MIN_WEIGHT: f64 = 0.05;
/// Debt of held-back calls is kept at most this high, so that a long throttle leaves no tail.
const MAX_THROTTLE_DEBT: f64 = 8.0;
/// A told wait is believed less this much for each second since: an idle processor works it off.
const WAIT_DECAY_RATE: f64 = 0.7;
/// Room left for the network and the work itself when judging whether a call can still stand.
const SET_UP_ALLOWANCE: Micros = Micros(100_000);
/// Part of the time to its aim in which a call must be expected to stand: waits are told late.
const USABLE_OBJECTIVE_RATIO: f64 = 0.85;
/// A refused caller stays away for this part of the time left to its aim.
const RETRY_AFTER_RATIO: f64 = 0.3;
/// A draining server is sent nothing for so long before its grace ends: news of the drain is late.
const DRAIN_MARGIN: Micros = Micros(500_000);
/// Final answers are given this long before the caller's time is up: a few rounds of the wire.
const ANSWER_MARGIN: Micros = Micros(30_000);
/// A server that answers nothing for this part of the tightest objective, though asked, is silent.
const SILENCE_TIMEOUT_RATIO: f64 = 0.5;
/// ... or for this many times what a set-up should take by the wait told; what is told is late.
const OVERDUE_FACTOR: f64 = 1.5;
/// Free lines left alone, in square roots of what all gateways send between two reports: chance.
const SPARE_LINES_FACTOR: f64 = 1.0;
/// What all gateways bring a server is reckoned over so many set-ups: less is mostly chance.
const FLOW_WINDOW_SET_UPS: f64 = 40.0;
/// ... or what would be so many a second, where they are fewer,
const MIN_FLOW_WINDOW_RATE: f64 = 13.0;
/// ... from reports at least this far apart: chance is too large in less.
const MIN_FLOW_INTERVAL: Micros = Micros(250_000);
/// Free lines may be filled, and a wait brought to its mark, over this long.
const FILL_SECS: f64 = 1.0;
/// With no line free, more is brought than is seen: so much of what calls give back is let through.
const FULL_SERVER_RATIO: f64 = 0.7;
/// Part by which the fleet's rate may pass what is told, at no wait, and falls short at twice the mark.
const FLOW_TARGET_GAIN: f64 = 0.5;
/// A server counts in the draw with at least this part of what it may be brought.
const MIN_SPARE_RATIO: f64 = 0.02;
/// A wait grows with what all gateways bring over what is carried, if by more than this part.
const WAIT_GROWTH_TOLERANCE: f64 = 0.15;
/// ... and by no more than this a second. Danger: a busy processor tells for a moment that it can take next
/// to nothing, which is no rate that it works at. Its wait would be held to be seconds long, nothing would
/// be sent there, and so nothing would tell better.
const MAX_WAIT_GROWTH_RATE: f64 = 1.0;
/// Where no rate is told, what a server is held to carry creeps back by this part a second.
const SERVICE_RATE_RECOVERY: f64 = 0.15;
/// A turn for a diverted call is good for this long; many go unused, so there are so many more.
const DIVERSION_TOKEN_TTL: Micros = Micros(2_000_000);
const DIVERSION_TOKEN_FACTOR: f64 = 4.0;
/// The part let through rises by at most this much of itself a second,
const MAX_PASS_GROWTH_RATE: f64 = 2.0;
/// ... and never falls under this: a server is never quite shut by it.
const MIN_PASS: f64 = 0.03;
/// Where messages are allowed, a wait that changed by this part of the mark is told to
const GOSSIP_THRESHOLD_RATIO: f64 = 0.5;
/// ... so many other gateways, in eight bytes each.
const GOSSIP_FANOUT: usize = 8;
/// A set-up is looked at this often while it is out.
const CHECK_INTERVAL: Micros = Micros(150_000);
/// A set-up is lost if one sent this much later was answered: jitter is far smaller.
const OVERTAKE_MARGIN: Micros = Micros(60_000);
/// Set-ups a second taken for a server of which nothing is known: no bound.
const UNLIMITED_RATE: f64 = 1e6;
/// A silent server gets one trial call in this time from each gateway,
const TRIAL_INTERVAL: Micros = Micros(700_000);
/// ... and of all gateways no more than so many a second, or this part of what its lines can carry if
/// that is more (fewer would not show), unless the lines told show it at work.
const MIN_FLEET_TRIAL_RATE: f64 = 8.0;
const FLEET_TRIAL_RATIO: f64 = 0.05;
/// At work: new set-ups come at this part of the rate at which its calls end.
const ACTIVE_FLOW_RATIO: f64 = 0.3;
/// A turn is good for this part of the budget's window: 1.25 times COLD_SPENT is the budget.
const COLD_TOKEN_TTL_RATIO: f64 = 0.25;
/// A crash: the lines told fall from over so many taken to under this part between two reports.
const MIN_CRASH_LINES: f64 = 12.0;
const CRASH_REMAINING_RATIO: f64 = 0.25;
/// Part of the cold budget that is spent: the estimate of capacity may be too high by as much.
const COLD_BUDGET_RATIO: f64 = 0.8;
/// A cold server whose lines were not yet told counts as this part of the smallest known.
const UNREPORTED_SIZE_RATIO: f64 = 0.25;
/// Held-back share of a busy number rises and falls by this at each answer.
const BUSY_NUMBER_STEP: f64 = 0.25;
/// The most of a busy number's calls that is held back: the rest finds out whether lines are free.
const MAX_BUSY_NUMBER_THROTTLE: f64 = 0.9;
/// The least mean length of a call, in seconds, that lines are reckoned with.
const MIN_HOLD_SECS: f64 = 0.1;
/// What is recalled is wrong once a rate is told that is over so many times the recalled one.
const RESTORED_RATE_TOLERANCE: f64 = 1.25;
/// Calls that a recalled mean length counts as.
const RESTORED_HOLD_SAMPLES: f64 = 20.0;
/// Callers remembered at most: a few seconds of refusals at the highest rates.
const MAX_RECENT_CALLERS: usize = 4096;
/// Numbers remembered at most.
const MAX_BUSY_NUMBERS: usize = 64;

/// A lapsing share with the debt of calls it still has to hold back.
#[derive(Clone, Copy, Debug, Default)]
struct Throttle {
    fraction: f64,
    expires_at: Micros,
    debt: f64,
}

impl Throttle {
    fn now(&self, now: Micros) -> f64 {
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

    /// Counted hold-back: each call adds the share to the debt, each held-back call pays one.
    /// A call is held back once the debt reaches its `worth` (1 for the least of the classes), so
    /// the low-worth ones pay first while the total share is kept. A full share holds back all.
    fn holds_back(&mut self, worth: f64, least: f64, now: Micros) -> bool {
        let part = self.now(now).max(least);
        if part <= 0.0 {
            return false;
        }
        self.debt = (self.debt + part).min(MAX_THROTTLE_DEBT);
        let held = part >= 1.0 || self.debt >= worth.min(MAX_THROTTLE_DEBT);
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
struct TokenBucket {
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A turn is good for `brief`; a single one, where they come seldom, for `good`.
    fn refill(&mut self, rate: f64, short_ttl: Micros, long_ttl: Micros, now: Micros) {
        self.tokens += rate * (now - self.refilled_at).secs();
        self.refilled_at = now;
        let most = 1.0 + (rate * long_ttl.secs()).min(1.0).max(rate * short_ttl.secs());
        self.tokens -= (self.tokens - most).max(0.0).ceil();
    }
}

#[derive(Clone, Debug, Default)]
struct Server {
    place: i64,
    up: bool,
    /// While it drains, what no other server takes may still go there, till then.
    accepts_until: Micros,
    born: Option<Micros>,
    cold_until: Micros,
    bucket: TokenBucket, // Turns: while cold for all calls, else for those that have another first choice
    throttle: Throttle,
    weight: f64,
    wait: Micros,
    wait_updated_at: Option<Micros>,
    /// When any figure was last told that a share comes from; own delays take over without.
    load_reported_at: Option<Micros>,
    set_up_delay: Micros,
    last_set_up: Micros,                      // What the last own set-up took that stood
    pending: BTreeMap<(CallId, u32), Micros>, // Set-ups sent and not answered, with the time of their send
    answered_at: Micros,
    /// When the latest set-up was sent that has been answered: older ones still out are lost.
    answered_send_at: Micros,
    peak_rate: f64, // The most calls a second it was seen to carry, warm, for all gateways
    can_take: f64,  // New set-ups a second it last said it can take from all
    /// Lines told free, lines in all, and when that was told; own sends since.
    lines: Option<(f64, f64, Micros)>,
    sent_since_report: f64,
    used_lines: Option<(f64, Micros)>, // Lines taken when the fleet's flow was last reckoned, and when
    fleet_rate: f64, // Set-ups a second of all gateways, and the part that was let through meanwhile
    fleet_pass: f64,
    service_rate: f64,             // Set-ups a second that it is held to carry
    spare_rate: f64, // What all gateways may bring beyond that, a second; no bound where nothing is told
    pass: f64,       // The part of own calls to let through
    next_trial_at: Option<Micros>, // Set while it gives signs of being dead: next trial not before this
    restored_rate: f64, // The rate recalled of it, till one is told that is clearly higher
}

/// What the servers' figures are read with.
#[derive(Debug)]
struct Params {
    wait_threshold: Micros,
    controllers: f64,
    hold_secs: f64,
    warm_up: Micros,
    max_wait: Micros,
}

#[derive(Clone, Debug)]
struct Call {
    request: NewCall,
    first_tried: Micros, // When its caller first tried, as far as is known; the aim counts from there
    objective_at: Micros,
    in_flight: Option<(ServerId, u32)>,
    established: bool,
    attempts: u32,
    retry_at: Micros,
    may_have_run: bool,
    tried: Vec<ServerId>,
}

/// The decision module of one gateway.
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
    hold_samples: f64, // Calls that the mean length is reckoned over
    restored: BTreeMap<ServerId, ServerEstimate>,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    busy_numbers: BTreeMap<u64, Throttle>,
    /// Numbers of calls that were given up, with the time of their caller's first try.
    recent_callers: BTreeMap<u64, Micros>,
    recent_callers_by_age: VecDeque<(u64, Micros)>,
}

const ANSWER_TIMER: u64 = 0;
const RETRY_TIMER: u64 = 1;
const CHECK_TIMER: u64 = 2;
const TIMER_KINDS: u64 = 3;

fn timer(at: Micros, id: CallId, kind: u64) -> Action {
    Action::Timer(at, id.0.wrapping_mul(TIMER_KINDS).wrapping_add(kind))
}

impl Controller {
    /// A gateway that knows no server yet. Settings that make no sense are refused.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Controller, SettingsError> {
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let amount = |x: f64| x.is_finite() && x >= 0.0;
        let tightest_objective = settings.classes.iter().map(|c| c.objective).min().unwrap_or_default();
        let worths = settings.classes.iter().all(|c| amount(c.worth) && share(c.late_worth));
        for (sane, error) in [
            (!settings.classes.is_empty(), SettingsError::NoClasses),
            (settings.balancers > 0, SettingsError::Zero("balancers")),
            (settings.max_attempts > 0, SettingsError::Zero("max_attempts")),
            (share(settings.cold_from), SettingsError::OutOfRange("cold_from")),
            (amount(settings.overload_factor), SettingsError::OutOfRange("overload_factor")),
            (worths, SettingsError::OutOfRange("worth")),
            (tightest_objective > Micros(0), SettingsError::OutOfRange("objective")),
        ] {
            if !sane {
                return Err(error);
            }
        }
        let holds: f64 = settings.classes.iter().map(|c| c.hold_time.secs()).sum();
        let least = settings.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min);
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
                hold_secs: (holds / settings.classes.len() as f64).max(MIN_HOLD_SECS),
            },
            min_worth: if least > 0.0 { least } else { 1.0 },
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

    /// How many calls, servers and numbers are remembered.
    pub fn tracked_counts(&self) -> (usize, usize, usize) {
        (self.calls.len(), self.servers.len(), self.busy_numbers.len())
    }

    /// Takes one event and appends what is to be done. Time never runs back here.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::List(kind, entries) => self.apply_server_list(kind, entries, actions),
            Event::Call(request) => self.start_call(request, actions),
            Event::Established(id, server, attempt, took) => {
                self.attempt_established(id, server, attempt, took)
            }
            Event::Ended(end) => {
                let held = self.servers.get(&end.server).map_or(Micros(0), |s| s.expected_wait(self.now));
                self.attempt_ended(&end);
                self.gossip(&end, held, actions);
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

    /// The mean length of a call, in seconds.
    pub fn mean_hold_secs(&self) -> f64 {
        self.params.hold_secs
    }

    /// What is believed of a server.
    pub fn estimate(&self, id: ServerId) -> Option<ServerEstimate> {
        let s = self.servers.get(&id)?;
        let &Server { peak_rate, service_rate, can_take, set_up_delay, weight, pass, cold_until, .. } = s;
        let (heard, wait, silent) = (s.answered_at, s.expected_wait(self.now), s.next_trial_at.is_some());
        let (share, share_until) = (s.throttle.now(self.now), s.throttle.expires_at);
        let (carried, carries, delay) = (peak_rate, service_rate, set_up_delay);
        let rates = ServerEstimate { carried, carries, can_take, weight, pass, ..ServerEstimate::default() };
        Some(ServerEstimate { heard, wait, delay, share, share_until, silent, cold_until, ..rates })
    }

    // ---- the list ----

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
            let (now, phase) = (self.now, self.random());
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
                server.bucket = TokenBucket { tokens: phase, refilled_at: now };
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
        let known = request.number.and_then(|n| self.recent_callers.remove(&n));
        let first = known.filter(|t| !request.returned && self.now - *t < deadline).unwrap_or(self.now);
        let call = Call {
            request,
            first_tried: first,
            objective_at: first + objective,
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

    /// The design's path: first choice, else one diversion, else refusal.
    fn route(&mut self, id: CallId, actions: &mut Vec<Action>) {
        self.refill_buckets();
        let Some(call) = self.calls.get(&id) else { return };
        let (worth, transit) = (self.relative_worth(call), call.request.transit);
        let open: Vec<ServerId> = self
            .servers
            .iter()
            .filter(|(s, v)| v.up && self.is_eligible(call, **s, v))
            .map(|(s, _)| *s)
            .collect();
        let first = open.iter().copied().find(|s| self.servers[s].place == call.request.place);
        if let Some(first) = first {
            if !self.holds_back(first, worth) {
                return self.send(id, first, actions);
            }
        }
        // Where no lines are told, nothing bounds diversions.
        let turn =
            |s: &ServerId| self.servers[s].used_lines.is_none() || self.servers[s].bucket.tokens >= 1.0;
        let others: Vec<_> = open.into_iter().filter(|s| Some(*s) != first && turn(s)).collect();
        match self.pick_by_weight(&others).filter(|_| !transit) {
            Some(other) if !self.holds_back(other, worth) => self.send(id, other, actions),
            _ => match self.draining_server(id) {
                Some(server) => self.send(id, server, actions),
                None => self.give_up(id, actions),
            },
        }
    }

    /// A server that drains, for a call that would be refused: it may end before the server does, and a
    /// call that is cut comes again. Danger: the others are filled by what the draining one no longer gets.
    fn draining_server(&self, id: CallId) -> Option<ServerId> {
        let call = self.calls.get(&id)?;
        let open = |(s, v): &(&ServerId, &Server)| !v.up && self.is_eligible(call, **s, v);
        let mut draining: Vec<_> = self.servers.iter().filter(open).collect();
        draining.sort_by_key(|(_, v)| v.place != call.request.place);
        draining.first().map(|(s, _)| **s)
    }

    fn holds_back(&mut self, server: ServerId, worth: f64) -> bool {
        let now = self.now;
        self.servers.get_mut(&server).is_some_and(|s| s.throttle.holds_back(worth, 1.0 - s.pass, now))
    }

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

    /// Worth for the hold-back, 1 for the least class; less for a call that can only stand late.
    fn relative_worth(&self, call: &Call) -> f64 {
        let class = &self.settings.classes[call.request.class];
        let late = if self.now + SET_UP_ALLOWANCE < call.objective_at { 1.0 } else { class.late_worth };
        class.worth * late / self.min_worth
    }

    /// May and should this call go there now? The gate's rules, and the guards against waste.
    fn is_eligible(&self, call: &Call, id: ServerId, server: &Server) -> bool {
        let class = &self.settings.classes[call.request.class];
        let allowed = class.places.is_empty() || class.places.contains(&server.place);
        let alone = server.oldest_pending().is_none_or(|t| t + TRIAL_INTERVAL <= self.now);
        let trial = server.next_trial_at.is_none_or(|at| self.now >= at && alone);
        allowed
            && trial
            && self.has_free_line(server)
            && !call.tried.contains(&id)
            && Some(server.place) != self.settings.own_place
            && self.may_send(call, server)
            && self.can_establish_in_time(call, server)
    }

    /// Danger: a server whose lines are all taken turns calls away, which costs its processor and the
    /// call an attempt. What is free is what was told, and what all gateways took and gave back since.
    fn has_free_line(&self, server: &Server) -> bool {
        let Some((free, size, at)) = server.lines else { return true };
        let given_back = (size - free) / self.params.hold_secs;
        free + (given_back - server.fleet_rate) * (self.now - at).secs() - server.sent_since_report >= 1.0
    }

    /// Danger: work on calls that cannot stand in time. Past its aim a call may only go where
    /// nothing is held back.
    fn can_establish_in_time(&self, call: &Call, server: &Server) -> bool {
        let wait = server.expected_wait(self.now);
        let stands = self.now + wait + wait + SET_UP_ALLOWANCE;
        if self.now < call.objective_at {
            return stands <= self.now + (call.objective_at - self.now).scale(USABLE_OBJECTIVE_RATIO);
        }
        stands <= call.request.deadline && server.throttle.now(self.now) <= 0.0
    }

    /// The one gate of every send: the five rules, from the settings alone.
    fn may_send(&self, call: &Call, server: &Server) -> bool {
        let in_time = self.now + ANSWER_MARGIN < call.request.deadline;
        let alone =
            call.in_flight.is_none() && !call.established && call.attempts < self.settings.max_attempts;
        let idempotency = self.settings.classes[call.request.class].idempotency;
        let once = idempotency == Idempotency::Free || !call.may_have_run;
        // A set-up that waits is resent by the network and counts anew on a cold server.
        let wait = server.expected_wait(self.now);
        let resent = self.settings.resend > Micros(0) && wait + wait >= self.settings.resend;
        let warm = self.now >= server.cold_until || !resent && server.bucket.tokens >= 1.0;
        let takes = server.up || self.now < server.accepts_until;
        in_time && alone && once && takes && warm && self.now >= call.retry_at
    }

    fn send(&mut self, id: CallId, to: ServerId, actions: &mut Vec<Action>) {
        let chance = self.random();
        let passes = match (self.calls.get(&id), self.servers.get(&to)) {
            (Some(call), Some(server)) => self.may_send(call, server),
            _ => false,
        };
        if !passes {
            return self.give_up(id, actions);
        }
        let (Some(call), Some(server)) = (self.calls.get_mut(&id), self.servers.get_mut(&to)) else { return };
        server.pending.insert((id, call.attempts), self.now);
        if self.now < server.cold_until || server.place != call.request.place {
            server.bucket.tokens -= 1.0;
        }
        server.sent_since_report += 1.0;
        server.next_trial_at =
            server.next_trial_at.map(|_| server.next_trial(&self.params, chance, self.now));
        call.in_flight = Some((to, call.attempts));
        call.attempts += 1;
        actions.push(Action::Send(id, to, call.request.deadline - ANSWER_MARGIN - self.now));
        actions.push(timer(self.now + CHECK_INTERVAL, id, CHECK_TIMER));
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / 4_294_967_296.0
    }

    /// Brings this gateway's turns at every server up to now.
    fn refill_buckets(&mut self) {
        let short_ttl = self.settings.overload_for.scale(COLD_TOKEN_TTL_RATIO);
        let budget = |s: &Server| (self.now < s.cold_until).then(|| self.cold_budget(s));
        let budgets: Vec<_> = self.servers.values().map(budget).collect();
        for (s, budget) in self.servers.values_mut().zip(budgets) {
            let (rate, long_ttl) = budget
                .map_or((s.spare_rate * DIVERSION_TOKEN_FACTOR, DIVERSION_TOKEN_TTL), |b| (b, short_ttl));
            s.bucket.refill(rate / self.params.controllers, short_ttl, long_ttl, self.now);
        }
    }

    /// Sends a second of all gateways in a cold server's budget, by what it was seen to carry before,
    /// else by what the least filled warm one carries for each line, or by what it says it can take.
    fn cold_budget(&self, to: &Server) -> f64 {
        let least = self.servers.values().filter_map(|s| s.lines).map(|l| l.1).fold(f64::INFINITY, f64::min);
        let unseen = if least.is_finite() { least * UNREPORTED_SIZE_RATIO } else { 0.0 };
        let size = to.lines.map_or(unseen, |(_, size, _)| size);
        let warm = self.servers.values().filter(|s| s.up && self.now >= s.cold_until && s.peak_rate > 0.0);
        let part =
            warm.filter_map(|s| s.lines.map(|l| s.peak_rate / l.1.max(1.0))).fold(f64::INFINITY, f64::min);
        let capacity = if to.peak_rate > 0.0 {
            to.peak_rate
        } else if part.is_finite() && size > 0.0 {
            part * size
        } else {
            let up = self.servers.values().filter(|s| s.up).count().max(1) as f64;
            self.calls_received as f64 / (self.now - self.started).secs().max(1.0) * self.params.controllers
                / up
        };
        let present = (self.settings.cold_from * capacity).max(to.can_take.min(capacity));
        self.settings.overload_factor * present * COLD_BUDGET_RATIO
    }

    fn attempt_established(&mut self, id: CallId, server: ServerId, attempt: u32, took: Micros) {
        let mark = self.tightest_objective.scale(DELAY_THRESHOLD_RATIO);
        if let Some(s) = self.servers.get_mut(&server) {
            if let Some(sent) = s.pending.remove(&(id, attempt)) {
                s.answered_send_at = s.answered_send_at.max(sent);
            }
            s.record_answer(self.now);
            s.last_set_up = took;
            s.update_wait(took.scale(0.5), &self.params, self.now);
            s.set_up_delay = s.set_up_delay.scale(1.0 - DELAY_SMOOTHING) + took.scale(DELAY_SMOOTHING);
            if took > mark {
                s.weight = (s.weight * SLOW_WEIGHT_FACTOR).max(MIN_WEIGHT);
            } else {
                s.weight = (s.weight + WEIGHT_RECOVERY).min(1.0);
            }
            if s.load_reported_at.is_none_or(|t| self.now - t >= THROTTLE_TTL) {
                s.derive_throttle(s.set_up_delay > mark, self.now);
            }
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.established = true;
            if let Some(share) = call.request.number.and_then(|n| self.busy_numbers.get_mut(&n)) {
                share.store(share.fraction - BUSY_NUMBER_STEP, self.now);
            }
        }
    }

    /// What an attempt's end tells of its server.
    fn attempt_ended(&mut self, end: &AttemptEnd) {
        let chance = self.random();
        let Some(s) = self.servers.get_mut(&end.server) else { return };
        let sent = s.pending.remove(&(end.id, end.attempt));
        let trial = Some(s.next_trial(&self.params, chance, self.now));
        let unanswered = sent.is_some_and(|t| s.answered_at < t);
        match end.outcome {
            Outcome::Success | Outcome::Failure | Outcome::Overloaded => s.record_answer(self.now),
            // Danger: a processor that stands still refuses all, at a cost, and looks unpressed.
            Outcome::Unreachable | Outcome::ProcessorFull => s.next_trial_at = trial,
            Outcome::TimedOut if unanswered => s.next_trial_at = trial,
            // Danger: one connection's reset is no proof of a dead server. The next call goes there at
            // once, alone; only its answer, or its want, tells more.
            Outcome::Broken if unanswered => s.next_trial_at = s.next_trial_at.or(Some(self.now)),
            _ => {}
        }
        self.apply_report(end.server, &end.report);
        self.forget_servers();
    }

    /// What becomes of the call: over, another attempt at once or after the release, or given up.
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

    /// The final answer of a call that gets no (further) attempt.
    fn give_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.remember_caller(&call);
        let may_run = call.may_have_run || call.in_flight.is_some();
        actions.push(if may_run { Action::Fail(id) } else { Action::Refuse(id, self.retry_after(&call)) });
    }

    /// How long a refused caller should stay away: part of the time left to its aim, so that another
    /// try can still stand in time, and not so short that the share that held it back still stands
    /// unchanged. A caller past its aim is not hurried.
    fn retry_after(&self, call: &Call) -> Micros {
        let left = call.objective_at - self.now;
        let away = if left > SET_UP_ALLOWANCE {
            left.scale(RETRY_AFTER_RATIO)
        } else {
            self.settings.max_retry_after
        };
        away.min(self.settings.max_retry_after)
    }

    /// Danger: callers who dial again are taken for new ones, though their aim runs from the first try.
    /// A given-up call's number tells them. May hurt where callers share a number.
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

    /// Danger: a server that hangs, died unseen or lost its network looks unpressed. One that has
    /// answered nothing since this call was sent is silent: it gets trials alone until it answers,
    /// and the call is called off while another server can still make it stand in time.
    fn check_attempt(&mut self, id: CallId, at: ServerId, attempt: u32, actions: &mut Vec<Action>) {
        let chance = self.random();
        let (Some(server), Some(call)) = (self.servers.get_mut(&at), self.calls.get(&id)) else { return };
        let usual = (server.wait + server.wait).max(server.last_set_up).scale(OVERDUE_FACTOR);
        let limit = self.tightest_objective.scale(SILENCE_TIMEOUT_RATIO).max(usual);
        let Some(sent) = server.pending.get(&(id, attempt)).copied() else { return };
        let overtaken = server.answered_send_at > sent + OVERTAKE_MARGIN;
        if !overtaken && (server.answered_at >= sent || sent + limit > self.now) {
            if self.now < call.objective_at {
                actions.push(timer(self.now + CHECK_INTERVAL, id, CHECK_TIMER));
            }
            return;
        }
        let mut free =
            Call { in_flight: None, objective_at: call.objective_at - self.settings.release, ..call.clone() };
        if !overtaken {
            let next = server.next_trial(&self.params, chance, self.now);
            server.next_trial_at = Some(server.next_trial_at.unwrap_or(next));
            free.tried.push(at);
        }
        let other = self.servers.iter().any(|(s, v)| v.up && self.is_eligible(&free, *s, v));
        if other && self.now < free.objective_at && self.settings.may_cancel {
            actions.push(Action::Cancel(id, attempt));
        }
    }

    /// A wait that is not what was held goes on to a few fellow gateways, by chance. Danger: a gateway
    /// with one call in seconds hears too late. Never needed: lost messages leave the rest as it is.
    fn gossip(&mut self, end: &AttemptEnd, held: Micros, actions: &mut Vec<Action>) {
        let (peers, wait) = (self.settings.balancers, end.report.wait.unwrap_or(held));
        let news = wait.max(held) - wait.min(held) > self.params.wait_threshold.scale(GOSSIP_THRESHOLD_RATIO)
            && wait <= self.params.max_wait;
        let count = if self.settings.may_message_peers && peers > 1 && news { GOSSIP_FANOUT } else { 0 };
        let rate = u64::from(end.report.can_take.unwrap_or(0.0) as u16);
        let word = end.server.0 << 32 | (wait.0 / 1000).min(0xffff) << 16 | rate;
        for _ in 0..count {
            let step = 1 + u64::from(self.rng.next_u32() % (peers - 1));
            let peer = ((u64::from(self.settings.index) + step) % u64::from(peers)) as u32;
            actions.push(Action::SendToPeer(peer, word.to_be_bytes().to_vec()));
        }
    }

    /// Messages of another length and servers that the own list does not name are ignored.
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
            let easy =
                s.load_reported_at.is_none() || s.expected_wait(self.now) <= self.params.wait_threshold;
            if self.now >= s.cold_until && easy {
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
            // What was recalled held back what can be taken: it counts no more at all.
            if s.restored_rate > 0.0 && rate > s.restored_rate * RESTORED_RATE_TOLERANCE {
                (s.weight, s.pass, s.throttle, s.restored_rate) = (1.0, 1.0, Throttle::default(), 0.0);
                (s.wait, s.set_up_delay) = (Micros(0), Micros(0));
            }
            s.can_take = rate;
            s.service_rate = rate;
        }
        if let Some(part) = report.hold_back {
            if part > s.throttle.now(self.now) {
                s.weight = (s.weight * THROTTLE_WEIGHT_FACTOR).max(MIN_WEIGHT);
            }
            s.throttle.store(part, self.now);
        } else if report.wait.is_some() {
            s.derive_throttle(s.expected_wait(self.now) > self.params.wait_threshold, self.now);
        } else if let Some(busy) = report.utilisation {
            s.derive_throttle(busy > UTILISATION_THRESHOLD, self.now);
        } else if let Some(queue) = report.queue {
            s.derive_throttle(queue > QUEUE_THRESHOLD, self.now);
        }
    }

    // ---- busy numbers ----

    /// Danger: one number with few lines draws calls that cost set-ups and cannot stand. The same
    /// lapsing share is kept for the number; it falls when a call to it stands.
    fn throttle_number(&mut self, number: u64) {
        let now = self.now;
        if self.busy_numbers.len() >= MAX_BUSY_NUMBERS && !self.busy_numbers.contains_key(&number) {
            let oldest = self.busy_numbers.iter().min_by_key(|(_, s)| s.expires_at).map(|(n, _)| *n);
            oldest.and_then(|n| self.busy_numbers.remove(&n));
        }
        let share = self.busy_numbers.entry(number).or_default();
        share.store((share.now(now) + BUSY_NUMBER_STEP).min(MAX_BUSY_NUMBER_THROTTLE), now);
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

    /// A prior from before the start. Danger: what it holds back would show that it is wrong. It passes a
    /// part at once, and the first rate told outweighs it. A cold server is brought no more than what this
    /// process said itself when it was colder.
    fn restore(&mut self, estimate: &ServerEstimate, now: Micros) {
        self.cold_until = self.cold_until.max(estimate.cold_until);
        (self.peak_rate, self.can_take, self.last_set_up) =
            (estimate.carried, estimate.can_take, estimate.delay);
        (self.wait, self.set_up_delay, self.answered_at) = (estimate.wait, estimate.delay, estimate.heard);
        (self.weight, self.pass) = (estimate.weight.max(MIN_WEIGHT), estimate.pass.max(MIN_PASS));
        (self.wait_updated_at, self.fleet_pass) = (Some(now), self.pass);
        (self.throttle.fraction, self.throttle.expires_at) =
            (estimate.share, estimate.share_until.min(now + THROTTLE_TTL));
        self.next_trial_at = estimate.silent.then_some(now);
        if now >= self.cold_until && estimate.carries > 0.0 {
            (self.service_rate, self.restored_rate) = (estimate.carries, estimate.carries);
        }
    }

    /// Whether the lines told lately show that set-ups of any gateway are answered. Danger: a gateway
    /// that sends a server one call in seconds takes one lost answer for a dead server.
    fn serves_fleet(&self, params: &Params, now: Micros) -> bool {
        let told = |(used, at): (f64, Micros)| {
            now - at < THROTTLE_TTL && self.fleet_rate * params.hold_secs > used * ACTIVE_FLOW_RATIO
        };
        self.used_lines.is_some_and(told)
    }

    /// When the next trial may go to a server that seems dead: all gateways share the trials.
    fn next_trial(&self, params: &Params, chance: f64, now: Micros) -> Micros {
        let rate = MIN_FLEET_TRIAL_RATE
            .max(self.lines.map_or(0.0, |(_, size, _)| size / params.hold_secs * FLEET_TRIAL_RATIO));
        let shared =
            if self.serves_fleet(params, now) { 0.0 } else { 2.0 * chance * params.controllers / rate };
        now + TRIAL_INTERVAL.max(Micros((shared * 1e6) as u64))
    }

    fn record_answer(&mut self, now: Micros) {
        self.answered_at = now;
        self.next_trial_at = None;
    }

    /// When the oldest set-up was sent that is out and not overtaken. Danger: where single messages
    /// are lost, an unanswered set-up says nothing of the queue; later ones were answered.
    fn oldest_pending(&self) -> Option<Micros> {
        self.pending.values().filter(|t| **t > self.answered_send_at).min().copied()
    }

    /// The derived share: up by fives while over the mark, to nought below.
    fn derive_throttle(&mut self, over: bool, now: Micros) {
        if over {
            let part = self.throttle.now(now) + THROTTLE_STEP;
            self.throttle.store(part, now);
            self.weight = (self.weight * THROTTLE_WEIGHT_FACTOR).max(MIN_WEIGHT);
        } else {
            self.throttle.store(0.0, now);
        }
    }

    /// Lines are told to every gateway alike: what is taken, and its slope, show all gateways' set-ups.
    fn update_fleet_rate(&mut self, params: &Params, free: f64, size: f64, now: Micros) {
        let used = size - free;
        // Danger: a gateway that starts may be told that all lines are free before they are counted.
        let Some((before, at)) = self.used_lines.filter(|(before, _)| *before > 0.0) else {
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
        // Danger: a crash cuts all calls; a server that is back before the list tells is pushed over.
        // Lost lines take their lines with them, and a cut by the network leaves some standing.
        if before > MIN_CRASH_LINES
            && used < before * CRASH_REMAINING_RATIO
            && self.lines.is_some_and(|l| l.1 <= size)
        {
            self.cold_until = self.cold_until.max(now + params.warm_up);
            (self.bucket.tokens, self.can_take) = (self.bucket.tokens.fract(), 0.0);
        }
        let seen = ((used - before) / span + (used + before) / 2.0 / params.hold_secs).max(0.0);
        let new =
            1.0 - (-span * seen.max(self.fleet_rate).max(MIN_FLOW_WINDOW_RATE) / FLOW_WINDOW_SET_UPS).exp();
        self.fleet_rate += (seen - self.fleet_rate) * new;
        if self.serves_fleet(params, now) {
            self.next_trial_at = self.next_trial_at.map(|t| t.min(now + TRIAL_INTERVAL));
        }
        self.fleet_pass += (self.pass.min(1.0 - self.throttle.now(now)) - self.fleet_pass) * new;
        let over = self.fleet_rate / self.service_rate.max(0.1) - 1.0;
        let slope = if over > 0.0 {
            (over - WAIT_GROWTH_TOLERANCE).clamp(0.0, MAX_WAIT_GROWTH_RATE)
        } else {
            over.max(-WAIT_DECAY_RATE)
        };
        self.wait = (self.wait + Micros((slope.max(0.0) * span * 1e6) as u64))
            - Micros((-slope.min(0.0) * span * 1e6) as u64);
        self.wait_updated_at = self.wait_updated_at.map(|_| now);
        let over = self.expected_wait(now).secs() / params.wait_threshold.secs();
        let target = self.service_rate * (1.0 + FLOW_TARGET_GAIN * (1.0 - over)).max(MIN_PASS);
        let spare = SPARE_LINES_FACTOR * self.fleet_rate.max(1.0).sqrt();
        let full = if free < 1.0 { FULL_SERVER_RATIO } else { 1.0 };
        let target = target.min((used / params.hold_secs + (free - spare) / FILL_SECS).max(0.0) * full);
        self.spare_rate = (target - self.fleet_rate).max(target * MIN_SPARE_RATIO).max(1e-3);
        let rise = self.pass * (1.0 + MAX_PASS_GROWTH_RATE * span);
        self.pass = (self.fleet_pass * target / self.fleet_rate.max(0.1)).min(rise).clamp(MIN_PASS, 1.0);
    }

    /// A wait was told, or shown by an own set-up. Where no rate is told, what a server carries is
    /// learnt from it: what all bring while the wait is over the mark, else more, a little at a time.
    fn update_wait(&mut self, wait: Micros, params: &Params, now: Micros) {
        let held = self.expected_wait(now);
        let since = self.wait_updated_at.map_or(1.0, |t| (now - t).secs().min(1.0));
        self.wait = wait.max((wait + held).scale(0.5));
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

    /// The wait told, less what can have been worked off since, or half the age of the oldest set-up
    /// that is still unanswered.
    fn expected_wait(&self, now: Micros) -> Micros {
        let fall = if self.used_lines.is_some() { 0.0 } else { WAIT_DECAY_RATE };
        let told = self.wait_updated_at.map_or(Micros(0), |t| self.wait - (now - t).scale(fall));
        let seen = self.oldest_pending().map_or(Micros(0), |t| (now - t).scale(0.5));
        told.max(seen)
    }
}
