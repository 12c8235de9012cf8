//! The simulated fleet.

use {
    super::{
        Customer, MS, Network,
        node::{Entry, Replica, is_frozen},
        traffic::configuration,
    },
    hemlockford_core::{
        config::Configuration,
        ids::CallId,
        quota::{
            Admission, CreditHolder, CreditPool, CreditRequest, CreditResponse, HolderAction, QuotaLimit,
            QuotaTolerance, RefusalCause,
        },
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which a call waits for credit.
const MAX_WAIT: Duration = Duration::from_millis(40);
/// Interval between ticks of a leader.
const POOL_TICK: Duration = Duration::from_millis(50);

pub(super) enum Event {
    Arrive { customer: usize },
    Request { replica: usize, entry: usize, incarnation: u64, request: CreditRequest },
    Response { entry: usize, incarnation: u64, replica: usize, response: CreditResponse },
    Wake { entry: usize, incarnation: u64 },
    Timeout { entry: usize, incarnation: u64, customer: usize, call: CallId },
    Configure { entry: usize, incarnation: u64, config: Arc<Configuration> },
    PoolTick,
}

/// What happened to the calls of one customer.
#[derive(Default)]
pub struct Record {
    pub admitted: Vec<Instant>,
    pub refused: Vec<(Instant, RefusalCause)>,
}

pub struct World {
    pub now: Instant,
    pub start: Instant,
    pub rng: SmallRng,
    pub network: Network,
    pub customers: Vec<Customer>,
    pub entries: Vec<Entry>,
    pub replicas: Vec<Replica>,
    pub records: Vec<Record>,
    /// Limits of each customer with the times from which they were in force.
    pub limits: Vec<Vec<(Instant, QuotaLimit)>>,
    pub messages: usize,
    pub message_bytes: usize,
    pub largest_message: usize,
    pub change: u64,
    /// Times at which entries that failed work again.
    pub repairs: Vec<(Duration, usize)>,
    next_session: u32,
    last_call: CallId,
    events: BTreeMap<(Instant, u64), Event>,
    last_event: u64,
    next_wakes: HashMap<usize, Instant>,
}

impl World {
    /// Creates a fleet of three replicas, the first of which leads, and of entries.
    pub fn new(seed: u64, entries: usize, customers: Vec<Customer>, network: Network) -> Self {
        println!("seed {seed}, {entries} entries, {} customers", customers.len());
        let now = Instant::now();
        let rng = SmallRng::seed_from_u64(seed);
        let replica = |index: usize| Replica {
            name: format!("r{index}").into(),
            pool: None,
            is_alive: true,
            frozen_until: None,
            side: 0,
            leader: None,
        };
        let records = customers.iter().map(|_| Record::default()).collect();
        let limits = customers.iter().map(|customer| vec![(now, customer.limit())]).collect();
        let mut world = Self {
            now,
            start: now,
            rng,
            network,
            customers,
            entries: Vec::new(),
            replicas: (0..3).map(replica).collect(),
            records,
            limits,
            messages: 0,
            message_bytes: 0,
            largest_message: 0,
            change: 1,
            repairs: Vec::new(),
            next_session: 0,
            last_call: 0,
            events: BTreeMap::new(),
            last_event: 0,
            next_wakes: HashMap::new(),
        };
        for index in 0..entries {
            world.add_entry(format!("e{index}"));
        }
        for customer in 0..world.customers.len() {
            world.customers[customer].spread_over(entries, &mut world.rng);
            world.schedule_arrival(customer);
        }
        world.lead(0);
        world.schedule(now, Event::PoolTick);
        world
    }

    /// Adds an entry with a running process.
    pub fn add_entry(&mut self, name: String) {
        self.entries.push(Entry {
            name: name.into(),
            incarnation: 0,
            holder: None,
            is_cut: false,
            frozen_until: None,
            side: None,
            leader: None,
            unanswered_since: None,
            waiting: HashMap::new(),
        });
        self.start_entry(self.entries.len() - 1);
    }

    /// Starts the process of an entry.
    pub fn start_entry(&mut self, index: usize) {
        let mut holder = CreditHolder::new(QuotaTolerance::default(), &mut self.rng);
        holder.configure(self.now, &configuration(self.change, &self.customers));
        let entry = &mut self.entries[index];
        entry.incarnation += 1;
        entry.holder = Some(holder);
        (entry.leader, entry.unanswered_since) = (None, None);
        entry.waiting.clear();
        self.next_wakes.remove(&index);
        // Processes do not start at the same moment.
        let at = self.now + MS.mul_f64(self.rng.random_range(0.0..250.0));
        let incarnation = self.entries[index].incarnation;
        self.schedule(at, Event::Wake { entry: index, incarnation });
    }

    /// Ends the process of an entry.
    pub fn kill_entry(&mut self, index: usize) {
        self.entries[index].holder = None;
        self.entries[index].waiting.clear();
    }

    /// Makes a replica lead; the others on its side of a partition learn that.
    pub fn lead(&mut self, index: usize) {
        self.next_session += 1;
        let mut pool = CreditPool::new(self.now, self.next_session, QuotaTolerance::default());
        pool.configure(self.now, &configuration(self.change, &self.customers));
        self.replicas[index].pool = Some(pool);
        let side = self.replicas[index].side;
        for replica in self.replicas.iter_mut().filter(|replica| replica.side == side) {
            replica.leader = Some(index);
        }
    }

    /// Puts the customers' limits into force at the leaders at once, and at each entry up to 2 s later.
    pub fn configure(&mut self) {
        self.change += 1;
        let config = Arc::new(configuration(self.change, &self.customers));
        for pool in self.replicas.iter_mut().filter_map(|replica| replica.pool.as_mut()) {
            pool.configure(self.now, &config);
        }
        for entry in 0..self.entries.len() {
            let at = self.now + MS.mul_f64(self.rng.random_range(0.0..2_000.0));
            let incarnation = self.entries[entry].incarnation;
            self.schedule(at, Event::Configure { entry, incarnation, config: config.clone() });
        }
        for (customer, limits) in self.customers.iter().zip(&mut self.limits) {
            limits.push((self.now, customer.limit()));
        }
    }

    /// Sends a customer's calls to other entries.
    pub fn move_traffic(&mut self, customer: usize) {
        let entries = self.entries.len();
        self.customers[customer].spread_over(entries, &mut self.rng);
    }

    /// Runs until a time after the start.
    pub fn run_until(&mut self, after: Duration) {
        let end = self.start + after;
        while let Some(next) = self.events.first_key_value().map(|((at, _), _)| *at).filter(|at| *at <= end) {
            self.now = self.now.max(next);
            if let Some((_, event)) = self.events.pop_first() {
                self.process(event);
            }
        }
        self.now = end;
    }

    /// Returns the part of the rate that a customer got in a time.
    pub fn used(&self, customer: usize, from: Duration, to: Duration) -> f64 {
        let (from, to) = (self.start + from, self.start + to);
        let calls = self.records[customer].admitted.iter().filter(|at| (from..to).contains(at)).count();
        calls as f64 / (self.customers[customer].rate * (to - from).as_secs_f64())
    }

    /// Returns the part of the customers' calls that were refused in a time.
    pub fn refused(&self, customers: std::ops::Range<usize>, from: Duration, to: Duration) -> f64 {
        let (from, to) = (self.start + from, self.start + to);
        let (mut admitted, mut refused) = (0, 0);
        for record in &self.records[customers] {
            admitted += record.admitted.iter().filter(|at| (from..to).contains(at)).count();
            refused += record.refused.iter().filter(|(at, _)| (from..to).contains(at)).count();
        }
        refused as f64 / (admitted + refused).max(1) as f64
    }

    /// Prints the part of the rates that belongs to the leader.
    pub fn print_share(&self) {
        for pool in self.replicas.iter().filter_map(|replica| replica.pool.as_ref()) {
            let frozen = self.entries.iter().filter(|entry| is_frozen(entry.frozen_until, self.now)).count();
            let down = self.entries.iter().filter(|entry| entry.holder.is_none()).count();
            let cut = self.entries.iter().filter(|entry| entry.is_cut).count();
            let connected = pool.connected();
            println!("{:?}: connected {connected:?}, frozen {frozen}, down {down}, cut {cut}", self.now - self.start);
        }
    }

    /// Prints when and why calls were refused.
    pub fn print_refusals(&self, customers: std::ops::Range<usize>) {
        let mut counts = BTreeMap::<_, usize>::new();
        for (at, cause) in self.records[customers].iter().flat_map(|record| &record.refused) {
            *counts.entry((at.duration_since(self.start).as_secs(), format!("{cause:?}"))).or_default() += 1;
        }
        println!("{counts:?}");
    }

    pub(super) fn schedule(&mut self, at: Instant, event: Event) {
        self.last_event += 1;
        self.events.insert((at, self.last_event), event);
    }

    fn schedule_arrival(&mut self, customer: usize) {
        let at = self.now + self.customers[customer].pause(&mut self.rng);
        self.schedule(at, Event::Arrive { customer });
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Arrive { customer } => {
                self.schedule_arrival(customer);
                let entry = self.customers[customer].entry(&mut self.rng);
                self.arrive(entry, customer);
            }
            Event::Request { replica, entry, incarnation, request } => {
                self.answer(replica, entry, incarnation, &request);
            }
            Event::Response { entry, incarnation, replica, response } => {
                self.receive(entry, incarnation, replica, response);
            }
            Event::Wake { entry, incarnation } => self.wake(entry, incarnation),
            Event::Timeout { entry, incarnation, customer, call } => self.time_out(entry, incarnation, customer, call),
            Event::Configure { entry, incarnation, config } => {
                let now = self.now;
                let entry = &mut self.entries[entry];
                let holder = entry.holder.as_mut().filter(|_| entry.incarnation == incarnation);
                holder.into_iter().for_each(|holder| holder.configure(now, &config));
            }
            Event::PoolTick => {
                let now = self.now;
                for replica in self.replicas.iter_mut().filter(|replica| !is_frozen(replica.frozen_until, now)) {
                    replica.pool.iter_mut().for_each(|pool| pool.advance(now));
                }
                self.schedule(now + POOL_TICK, Event::PoolTick);
            }
        }
    }

    /// Postpones an event of a frozen entry.
    pub(super) fn thawed_at(&self, entry: usize) -> Option<Instant> {
        self.entries[entry].frozen_until.filter(|until| self.now < *until)
    }

    fn arrive(&mut self, index: usize, customer: usize) {
        // The callers of a frozen entry turn to others.
        if self.thawed_at(index).is_some() {
            return;
        }
        let (now, hash) = (self.now, self.customers[customer].hash);
        let entry = &mut self.entries[index];
        let Some(holder) = &mut entry.holder else { return };
        match holder.arrive(now, hash, &mut self.rng) {
            Admission::Unlimited => self.records[customer].admitted.push(now),
            Admission::Admitted(ticket) => {
                assert!(holder.spend(now, ticket));
                self.records[customer].admitted.push(now);
            }
            Admission::Refused { cause, .. } => self.records[customer].refused.push((now, cause)),
            Admission::Wait => {
                holder.start_waiting(now, hash);
                self.last_call += 1;
                let (call, incarnation) = (self.last_call, entry.incarnation);
                entry.waiting.entry(hash).or_default().push_back(call);
                self.schedule(now + MAX_WAIT, Event::Timeout { entry: index, incarnation, customer, call });
            }
        }
        self.plan_wake(index);
    }

    fn time_out(&mut self, index: usize, incarnation: u64, customer: usize, call: CallId) {
        if let Some(at) = self.thawed_at(index) {
            return self.schedule(at, Event::Timeout { entry: index, incarnation, customer, call });
        }
        let (now, hash) = (self.now, self.customers[customer].hash);
        let entry = &mut self.entries[index];
        let Some(holder) = entry.holder.as_mut().filter(|_| entry.incarnation == incarnation) else { return };
        let Some(calls) = entry.waiting.get_mut(&hash) else { return };
        let Some(position) = calls.iter().position(|waiting| *waiting == call) else { return };
        calls.remove(position);
        holder.stop_waiting(hash);
        match holder.try_take(now, hash) {
            Some(ticket) => {
                holder.spend(now, ticket);
                self.records[customer].admitted.push(now);
            }
            None => {
                holder.refuse(now, hash, RefusalCause::NoAnswer, &mut self.rng);
                self.records[customer].refused.push((now, RefusalCause::NoAnswer));
            }
        }
    }

    pub(super) fn plan_wake(&mut self, index: usize) {
        let entry = &self.entries[index];
        let Some(at) = entry.holder.as_ref().and_then(CreditHolder::next_wake) else { return };
        if self.next_wakes.get(&index).is_none_or(|planned| at < *planned || *planned <= self.now) {
            let incarnation = entry.incarnation;
            self.next_wakes.insert(index, at);
            self.schedule(at.max(self.now), Event::Wake { entry: index, incarnation });
        }
    }

    fn wake(&mut self, index: usize, incarnation: u64) {
        if let Some(at) = self.thawed_at(index) {
            return self.schedule(at, Event::Wake { entry: index, incarnation });
        }
        let now = self.now;
        let entry = &mut self.entries[index];
        let Some(holder) = entry.holder.as_mut().filter(|_| entry.incarnation == incarnation) else { return };
        if !entry.is_cut {
            // The replica in use states this entry's position with every poll.
            holder.set_index(index);
        }
        let mut actions = Vec::new();
        holder.tick(now, &mut actions);
        for action in actions {
            if let HolderAction::Request(request) = action {
                self.send_request(index, request);
            }
        }
        self.next_wakes.remove(&index);
        self.plan_wake(index);
    }

    pub(super) fn admit_waiting(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let Some(holder) = &mut entry.holder else { return };
        for (customer, record) in self.customers.iter().zip(&mut self.records) {
            let hash = customer.hash;
            let Some(calls) = entry.waiting.get_mut(&hash) else { continue };
            while !calls.is_empty() {
                if let Some(ticket) = holder.try_take(now, hash) {
                    holder.spend(now, ticket);
                    record.admitted.push(now);
                } else if holder.is_exceeded(hash) {
                    holder.refuse(now, hash, RefusalCause::Limit, &mut self.rng);
                    record.refused.push((now, RefusalCause::Limit));
                } else {
                    break;
                }
                calls.pop_front();
                holder.stop_waiting(hash);
            }
        }
    }

    pub(super) fn count(&mut self, bytes: usize) {
        self.messages += 1;
        self.message_bytes += bytes;
        self.largest_message = self.largest_message.max(bytes);
    }
}
