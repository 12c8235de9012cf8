//! Credit that an entry holds.

use {
    super::{
        ANSWER_TIMEOUT, Acknowledgement, Admission, CreditRequest, CreditResponse, CreditStatistics, CreditTicket,
        HeldCredit, MAX_LISTED_CUSTOMERS, OwnPart, QuotaLimit, QuotaTolerance, RefusalCause, Session,
    },
    crate::{collections::FastMap, config::Configuration, ids::InstanceId, slots::NameHash},
    rand::{RngExt, rngs::SmallRng},
    std::{
        collections::{BTreeMap, VecDeque},
        ops::Bound,
        time::{Duration, Instant},
    },
};

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a request without an answer is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between requests once many were not answered.
const SLOW_INTERVAL: Duration = Duration::from_millis(500);
/// Number of requests without an answer after which they become less frequent.
const MANY_UNANSWERED: u32 = 100;
/// Minimum interval between requests for waiting calls. It doubles with each request that is not answered.
const MIN_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of times that it doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Number of requests without an answer after which they are no longer repeated because calls wait.
const MAX_REPEATED: u32 = 3;
/// Minimum interval between requests for waiting calls after an answer that lent nothing for them.
const MIN_INTERVAL_SHORT: Duration = Duration::from_millis(20);
/// Time after which an entry that got no answer may expect credit.
const RETRY_WITHOUT_ANSWER: Duration = Duration::from_millis(200);
/// Part of an entry's equal share of the rate that it may expect at least.
const MIN_SUPPLY_SHARE: f64 = 0.5;

/// Something that the task of an entry must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAction {
    /// Send a request to the leader. It may be lost.
    Request(CreditRequest),
    /// Log that this entry is cut off from the leader and uses its own part of the rates.
    CutOff,
    /// Log that a leader answers again.
    Connected,
}

/// Credit that an entry holds to admit calls of customers with a limit.
///
/// ```
/// use {
///     hemlockford_core::{
///         config::Configuration,
///         quota::{Admission, CreditHolder, QuotaTolerance},
///         slots::name_hash,
///     },
///     rand::{SeedableRng, rngs::SmallRng},
///     std::time::Instant,
/// };
/// let now = Instant::now();
/// let mut rng = SmallRng::seed_from_u64(1);
/// let mut holder = CreditHolder::new(QuotaTolerance::default(), &mut rng);
/// assert_eq!(holder.arrive(now, name_hash("a"), &mut rng), Admission::Unlimited);
/// let config = Configuration::parse("[change]\nnumber = 1\n[customer a]\nrate = 5\n").unwrap();
/// holder.configure(now, &config);
/// assert_eq!(holder.arrive(now, name_hash("a"), &mut rng), Admission::Wait);
/// ```
#[derive(Debug)]
pub struct CreditHolder {
    tolerance: QuotaTolerance,
    limits: FastMap<NameHash, QuotaLimit>,
    /// Customers with traffic or credit, in an order in which requests take turns to list them.
    customers: BTreeMap<NameHash, HeldCredit>,
    next_listed: NameHash,
    /// Number of the last request.
    number: u64,
    /// Requests that may be answered: number, time, and whether they list all customers with traffic or credit.
    sent: VecDeque<(u64, Instant, bool)>,
    unanswered: u32,
    session: Option<Session>,
    /// Number of entries that the leader has named.
    divisor: u32,
    /// Index of this entry among them.
    index: usize,
    is_cut_off: bool,
    next_request: Option<Instant>,
    /// Whether credit is missing for a waiting call.
    is_urgent: bool,
    urgent_interval: Duration,
    statistics: CreditStatistics,
}

impl CreditHolder {
    /// Creates a holder without limits.
    pub fn new(tolerance: QuotaTolerance, rng: &mut SmallRng) -> Self {
        Self {
            tolerance,
            limits: FastMap::default(),
            customers: BTreeMap::new(),
            next_listed: 0,
            // An answer to an earlier process under the same name must not be taken for one to this process.
            number: u64::from(rng.random::<u32>()),
            sent: VecDeque::new(),
            unanswered: 0,
            session: None,
            divisor: 1,
            index: 0,
            is_cut_off: false,
            next_request: None,
            is_urgent: false,
            urgent_interval: MIN_INTERVAL,
            statistics: CreditStatistics::default(),
        }
    }

    /// Replaces the limits.
    pub fn configure(&mut self, now: Instant, config: &Configuration) {
        self.limits = QuotaLimit::table(config);
        let limits = &self.limits;
        self.customers.retain(|customer, _| limits.contains_key(customer));
        for (customer, held) in &mut self.customers {
            if let Some(limit) = limits.get(customer) {
                held.set_limit(*limit);
            }
        }
        self.next_request = (!self.limits.is_empty()).then(|| self.next_request.unwrap_or(now));
        if self.limits.is_empty() {
            (self.session, self.is_cut_off, self.is_urgent) = (None, false, false);
        }
    }

    /// Records the index of this entry among the live ones.
    pub fn set_index(&mut self, index: usize) {
        self.index = index;
    }

    /// Returns whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Returns the numbers of calls that were admitted and refused.
    pub fn statistics(&self) -> CreditStatistics {
        self.statistics
    }

    /// Decides on a call that has arrived. A call that waits must be reported with
    /// [`start_waiting`](Self::start_waiting).
    pub fn arrive(&mut self, now: Instant, customer: NameHash, rng: &mut SmallRng) -> Admission {
        let Some(held) = self.held(now, customer) else { return Admission::Unlimited };
        held.demand.record(now, 1.0);
        if held.waiting == 0
            && let Some(ticket) = held.try_take(now, customer)
        {
            self.statistics.admitted += 1;
            return Admission::Admitted(ticket);
        }
        let is_exceeded = held.is_exceeded && held.waiting == 0;
        match &self.session {
            Some(session) if session.is_cut_off(now) => self.refuse(now, customer, RefusalCause::CutOff, rng),
            Some(_) if is_exceeded => self.refuse(now, customer, RefusalCause::Limit, rng),
            Some(_) | None => Admission::Wait,
        }
    }

    /// Takes credit for a call that waits, or for a further copy of a call that has been sent.
    pub fn try_take(&mut self, now: Instant, customer: NameHash) -> Option<CreditTicket> {
        let ticket = self.held(now, customer)?.try_take(now, customer);
        self.statistics.admitted += u64::from(ticket.is_some());
        ticket
    }

    /// Returns whether a customer has a limit.
    pub fn is_limited(&self, customer: NameHash) -> bool {
        self.limits.contains_key(&customer)
    }

    /// Returns whether the leader has stated that a customer exceeds its rate.
    pub fn is_exceeded(&self, customer: NameHash) -> bool {
        self.customers.get(&customer).is_some_and(|held| held.is_exceeded)
    }

    /// Records that a call begins to wait for credit, which is asked for at once.
    pub fn start_waiting(&mut self, now: Instant, customer: NameHash) {
        if let Some(held) = self.held(now, customer) {
            held.waiting += 1;
            self.is_urgent = true;
        }
    }

    /// Records that a call no longer waits for credit.
    pub fn stop_waiting(&mut self, customer: NameHash) {
        if let Some(held) = self.customers.get_mut(&customer) {
            held.waiting = held.waiting.saturating_sub(1);
        }
    }

    /// Refuses a call, and determines when it may come back.
    pub fn refuse(&mut self, now: Instant, customer: NameHash, cause: RefusalCause, rng: &mut SmallRng) -> Admission {
        match cause {
            RefusalCause::Limit => self.statistics.over_limit += 1,
            RefusalCause::NoAnswer => self.statistics.no_answer += 1,
            RefusalCause::CutOff => self.statistics.cut_off += 1,
        }
        let part = 1.0 / f64::from(self.divisor.max(1));
        let Some(held) = self.held(now, customer) else { return Admission::Unlimited };
        let least = MIN_SUPPLY_SHARE * part * held.limit.rate;
        let retry_after = match cause {
            RefusalCause::Limit => {
                let supply = held.supply.per_second(now).max(least);
                held.refusals.next(now, supply, rng)
            }
            RefusalCause::CutOff => held.refusals.next(now, part * held.limit.rate, rng),
            RefusalCause::NoAnswer => RETRY_WITHOUT_ANSWER.mul_f64(rng.random_range(1.0..2.0)),
        };
        Admission::Refused { cause, retry_after }
    }

    /// Spends the credit of a call that is sent to a server. Returns `false` if the credit has expired meanwhile, so
    /// that other credit must be taken.
    pub fn spend(&mut self, now: Instant, ticket: CreditTicket) -> bool {
        self.customers.get_mut(&ticket.customer).is_none_or(|held| held.spend(now, ticket))
    }

    /// Returns the credit of a call that was not sent.
    pub fn give_back(&mut self, now: Instant, ticket: CreditTicket) {
        if let Some(held) = self.customers.get_mut(&ticket.customer) {
            held.give_back(now, ticket);
        }
    }

    /// Returns spent credit to a call that did not run, for its next attempt, unless it has expired meanwhile.
    pub fn restore(&mut self, now: Instant, ticket: CreditTicket) -> Option<CreditTicket> {
        let held = self.customers.get_mut(&ticket.customer)?;
        held.restore(now, ticket).then_some(ticket)
    }

    /// Returns the time of the next required [`tick`](Self::tick).
    pub fn next_wake(&self) -> Option<Instant> {
        let doubled = MIN_INTERVAL * (1 << self.unanswered.min(MAX_DOUBLINGS));
        let urgent = match (self.is_urgent, self.sent.back()) {
            (true, Some((_, last, _))) => Some(*last + doubled.max(self.urgent_interval)),
            _ => None,
        };
        [self.next_request, urgent.filter(|_| self.has_limits())].into_iter().flatten().min()
    }

    /// Sends the request that is due, and determines whether this entry is cut off.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<HolderAction>) {
        if self.session.as_ref().is_some_and(|session| session.is_cut_off(now)) && !self.is_cut_off {
            self.is_cut_off = true;
            out.push(HolderAction::CutOff);
        }
        if self.next_wake().is_some_and(|at| now >= at) {
            let is_regular = self.next_request.is_some_and(|at| now >= at);
            out.push(HolderAction::Request(self.request(now, is_regular)));
        }
    }

    /// Returns a request for all customers, or for those whose calls wait.
    fn request(&mut self, now: Instant, is_regular: bool) -> CreditRequest {
        self.number += 1;
        self.unanswered = self.unanswered.saturating_add(1);
        self.is_urgent = self.unanswered <= MAX_REPEATED && self.customers.values().any(HeldCredit::lacks_credit);
        while self.sent.front().is_some_and(|(_, at, _)| now.saturating_duration_since(*at) >= ANSWER_TIMEOUT) {
            self.sent.pop_front();
        }
        self.sent.push_back((self.number, now, is_regular));
        if is_regular {
            let interval = if self.unanswered > MANY_UNANSWERED { SLOW_INTERVAL } else { REPEAT_INTERVAL };
            self.next_request = Some(now + interval);
            self.customers.retain(|_, held| !held.is_idle(now));
        }
        let names: Vec<NameHash> = {
            let later = self.customers.range(self.next_listed..);
            let earlier = self.customers.range((Bound::Unbounded, Bound::Excluded(self.next_listed)));
            let listed = later.chain(earlier).filter(|(_, held)| is_regular || held.waiting > 0);
            listed.map(|(name, _)| *name).take(MAX_LISTED_CUSTOMERS + 1).collect()
        };
        let listed = &names[..names.len().min(MAX_LISTED_CUSTOMERS)];
        if is_regular {
            self.next_listed = names.get(MAX_LISTED_CUSTOMERS).copied().unwrap_or(0);
        }
        let mut customers = Vec::with_capacity(listed.len());
        for name in listed {
            customers.extend(self.customers.get_mut(name).map(|held| held.report(now, *name)));
        }
        let acknowledged = self.session.as_ref().filter(|session| !session.is_over);
        let acknowledged =
            acknowledged.map(|session| Acknowledgement { session: session.id, number: session.answered });
        let is_recent = |session: &&Session| !session.is_outdated(now);
        let entries = self.session.as_ref().filter(is_recent).map_or(0, |_| self.divisor);
        CreditRequest { number: self.number, acknowledged, entries, customers }
    }

    /// Processes an answer. Returns the customers that it concerns.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &InstanceId,
        response: &CreditResponse,
        out: &mut Vec<HolderAction>,
    ) -> Vec<NameHash> {
        let sent = self.sent.iter().find(|(number, ..)| *number == response.echo).copied();
        let Some((_, sent_at, is_regular)) = sent else {
            return Vec::new();
        };
        if now.saturating_duration_since(sent_at) >= ANSWER_TIMEOUT || !self.has_limits() {
            return Vec::new();
        }
        if response.session == 0 {
            let is_former = |session: &&mut Session| session.leader == *from && response.echo > session.answered;
            if let Some(session) = self.session.as_mut().filter(is_former) {
                session.is_over = true;
            }
            return Vec::new();
        }
        let is_same = self.session.as_ref().is_some_and(|session| session.id == response.session);
        let is_outdated = match &self.session {
            Some(session) if is_same => response.echo <= session.answered,
            // The part of this entry may only be used by one leader at a time.
            Some(session) => !session.has_ended(now),
            None => false,
        };
        if is_outdated {
            return Vec::new();
        }
        let was_cut_off = self.session.as_ref().is_some_and(|session| session.is_cut_off(now));
        if was_cut_off {
            self.customers.values_mut().for_each(|held| held.connect(now));
        }
        if std::mem::take(&mut self.is_cut_off) {
            out.push(HolderAction::Connected);
        }
        self.session = Some(Session {
            id: response.session,
            leader: from.clone(),
            answered: response.echo,
            answered_sent_at: sent_at,
            is_over: false,
        });
        self.unanswered = 0;
        self.divisor = response.entries.max(1);
        // Credit is lent once an answer of the leader has been acknowledged.
        match is_same {
            true if is_regular => self.next_request = Some(sent_at + REQUEST_INTERVAL),
            true => {}
            false => self.next_request = Some(now),
        }
        for grant in &response.customers {
            if let Some(held) = self.customers.get_mut(&grant.customer) {
                held.apply(now, sent_at, grant);
            }
        }
        let lacks = self.customers.values().any(HeldCredit::lacks_credit);
        self.urgent_interval = if lacks { MIN_INTERVAL_SHORT } else { MIN_INTERVAL };
        self.is_urgent = lacks;
        response.customers.iter().map(|grant| grant.customer).collect()
    }

    /// Returns the credit of a customer with a limit.
    fn held(&mut self, now: Instant, customer: NameHash) -> Option<&mut HeldCredit> {
        let limit = *self.limits.get(&customer)?;
        let held = self.customers.entry(customer).or_insert_with(|| HeldCredit::new(now, limit));
        if held.own.is_none()
            && let Some(session) = self.session.as_ref().filter(|session| session.is_cut_off(now))
        {
            let allowance = limit.allowance(self.tolerance);
            held.cut_off(OwnPart::new(session.cut_off_at(), limit, allowance, (self.divisor, self.index)));
        }
        if let Some(session) = &self.session
            && !session.may_use_own_part(now)
            && session.is_cut_off(now)
        {
            held.end_own_part();
        }
        Some(held)
    }
}
