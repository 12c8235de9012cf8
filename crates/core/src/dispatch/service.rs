//! State of the dispatcher for one service.

use {
    super::Servers,
    crate::{
        admission::{FairQueue, LatencyEstimate},
        collections::FastMap,
        config::Service,
        health::{Eligibility, HealthMonitor, HealthOptions},
        ids::{CallId, CustomerId, DataCentreId},
        retry::RetryBudget,
        slots::{CustomerDemand, NameHash, name_hash},
    },
    std::time::{Duration, Instant},
};

/// Time without look-ups after which uploads may use every slot.
const LOOKUP_WINDOW: Duration = Duration::from_secs(1);

/// State of the dispatcher for one service.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) servers: Servers,
    pub(super) queue: FairQueue,
    /// Calls to be sent again, before those that wait for their first attempt.
    pub(super) retry_queue: Vec<CallId>,
    pub(super) latency_estimate: LatencyEstimate,
    pub(super) health: HealthMonitor,
    pub(super) retry_budget: RetryBudget,
    /// Path on which servers answer probes.
    pub(super) health_path: Box<str>,
    in_flight: FastMap<CustomerId, u32>,
    uploads: u32,
    last_lookup: Option<Instant>,
}

impl ServiceState {
    pub(super) fn new(data_centre: DataCentreId) -> Self {
        Self {
            servers: Servers::default(),
            queue: FairQueue::default(),
            retry_queue: Vec::new(),
            latency_estimate: LatencyEstimate::default(),
            health: HealthMonitor::new(HealthOptions { data_centre, ..HealthOptions::default() }),
            retry_budget: RetryBudget::new(Service::default().retry_budget),
            health_path: Service::default().health_path,
            in_flight: FastMap::default(),
            uploads: 0,
            last_lookup: None,
        }
    }

    pub(super) fn waiting(&self) -> usize {
        self.queue.len() + self.retry_queue.len()
    }

    /// Records that a call has arrived.
    pub(super) fn record_arrival(&mut self, now: Instant, upload: bool) {
        if !upload {
            self.last_lookup = Some(now);
        }
    }

    /// Counts a call that starts.
    pub(super) fn start_call(&mut self, customer: &CustomerId, upload: bool) {
        *self.in_flight.entry(customer.clone()).or_default() += 1;
        self.uploads += u32::from(upload);
    }

    /// Counts a call that has ended.
    pub(super) fn end_call(&mut self, customer: &CustomerId, upload: bool) {
        if let Some(count) = self.in_flight.get_mut(customer) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(customer);
            }
        }
        self.uploads -= u32::from(upload);
    }

    /// Returns whether one more upload may start. While look-ups arrive, uploads leave a quarter of the slots
    /// to them, so that a look-up never has to wait for an upload to end.
    pub(super) fn may_upload(&self, now: Instant, slots: u32) -> bool {
        let has_lookups = self.last_lookup.is_some_and(|at| now < at + LOOKUP_WINDOW);
        !has_lookups || self.uploads < (slots - slots.div_ceil(4)).max(1)
    }

    /// Returns the number of calls by customer, for the coordinator.
    pub(super) fn demand(&self) -> Vec<CustomerDemand> {
        let mut demand: FastMap<NameHash, CustomerDemand> = FastMap::default();
        let empty = |customer| CustomerDemand { customer, waiting: 0, in_flight: 0 };
        for (name, waiting) in self.queue.waiting_customers() {
            let customer = name_hash(name);
            demand.entry(customer).or_insert(empty(customer)).waiting += waiting as u32;
        }
        for (name, in_flight) in &self.in_flight {
            let customer = name_hash(name);
            demand.entry(customer).or_insert(empty(customer)).in_flight += in_flight;
        }
        demand.into_values().collect()
    }

    /// Updates whether a server counts as ejected; returns whether that has changed.
    pub(super) fn update_ejected(&mut self, now: Instant, server: NameHash) -> bool {
        let Some(view) = self.servers.view(server) else { return false };
        match self.health.eligibility(now, &view.id) {
            Eligibility::Ejected => self.servers.ejected.insert(server),
            Eligibility::Trial | Eligibility::Usable | Eligibility::WarmingUp { .. } => {
                self.servers.ejected.remove(&server)
            }
        }
    }
}
