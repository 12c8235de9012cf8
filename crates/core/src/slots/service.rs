//! Slots of one service, in both roles of an instance.

use {
    super::{COLLECT_TIMEOUT, Coordinator, CustomerShare, Holder, Link, NameHash},
    crate::{collections::FastMap, ids::InstanceId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Time that a call may wait for a permit of its own entry before another one is requested. A reply takes about 2 ms,
/// and with calls of 10 ms an additional permit saves little unless the queue is longer than this.
const LOCAL_WAIT: Duration = Duration::from_millis(8);
/// Minimum time between two reports of the same need.
const NEED_INTERVAL: Duration = Duration::from_millis(20);
/// Minimum time between two reports of a need while there is a standing queue.
const STANDING_NEED_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two reports with demand by customer. The demand makes up most of a message and changes little
/// in between.
const DEMAND_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a queue counts as standing, and demand is reported by customer. A shorter queue is not an overload.
const STANDING_QUEUE_AGE: Duration = Duration::from_millis(300);
/// Time for which permits must be idle before they are returned.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);
/// Review interval while other entries have long queues, when an idle permit wastes capacity.
const CONTENDED_REVIEW_INTERVAL: Duration = Duration::from_millis(5);
/// Number of idle permits that are kept, so that one more call does not require a message.
const SPARE_PERMITS: u32 = 1;
/// Time without calls after which all permits are returned, so that an idle service does not cause messages.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Slots of one service, in both roles of an instance.
#[derive(Debug, Default)]
pub(super) struct ServiceSlots {
    pub(super) holder: Holder,
    pub(super) coordinator: Coordinator,
    /// Number of slots of each server that is open for new calls.
    pub(super) servers: FastMap<NameHash, u32>,
    /// Total number of slots of these servers.
    pub(super) total_slots: u32,
    /// Shares of customers at this entry under overload.
    pub(super) shares: Vec<CustomerShare>,
    /// Time until which the shares are valid.
    pub(super) shares_end: Option<Instant>,
    pub(super) waiting: u32,
    /// Time until which demand is reported by customer because permits are divided by customer.
    pub(super) listing_end: Option<Instant>,
    demand_at: Option<Instant>,
    reviewed_at: Option<Instant>,
}

impl ServiceSlots {
    /// Returns whether permits may be used now. Starts the fallback to the entry's own share when no coordinator is
    /// reachable, and ends it when one is.
    pub(super) fn update_usable(&mut self, now: Instant, links: &BTreeMap<InstanceId, Link>) -> bool {
        let holder = &mut self.holder;
        let link = holder.coordinator.as_ref().and_then(|id| links.get(id));
        let is_leased = holder.is_adopted && link.is_some_and(|link| link.has_lease(now));
        let is_previous = !holder.is_adopted && holder.previous_lease_end.is_some_and(|end| now < end);
        let is_answered = holder.is_adopted && holder.granted() == 0 && self.waiting == 0;
        if is_leased || is_previous || is_answered {
            holder.unusable_since = None;
            if holder.is_fallback {
                holder.is_fallback = false;
                holder.reindex();
            }
            return is_leased || is_previous;
        }
        let since = *holder.unusable_since.get_or_insert(now);
        if now >= since + COLLECT_TIMEOUT && !holder.is_fallback {
            holder.is_fallback = true;
            holder.reindex();
        }
        holder.is_fallback
    }

    /// Sets the number of waiting calls; returns whether a report to the coordinator is due. Calls that the entry's own
    /// permits can serve within [`LOCAL_WAIT`] do not count.
    pub(super) fn set_waiting(&mut self, now: Instant, waiting: u32, service_time: Duration, is_local: bool) -> bool {
        self.waiting = waiting;
        if waiting == 0 {
            self.holder.waiting_since = None;
            self.holder.need_reported_at = None;
            // Without a report, the coordinator would continue to grant permits.
            return std::mem::take(&mut self.holder.reported_need) > 0;
        }
        self.holder.waiting_since.get_or_insert(now);
        let need = self.need(now, service_time, is_local);
        let interval = if self.has_standing_queue(now) { STANDING_NEED_INTERVAL } else { NEED_INTERVAL };
        let is_repeat_due = self.holder.need_reported_at.is_none_or(|at| now >= at + interval);
        let is_due = need > 0 && (is_repeat_due || need > self.holder.reported_need && !self.has_standing_queue(now));
        if is_due {
            self.holder.reported_need = need;
            self.holder.need_reported_at = Some(now);
        }
        is_due
    }

    /// Returns whether demand is reported by customer because permits are divided by customer.
    pub(super) fn is_listing(&self, now: Instant) -> bool {
        self.listing_end.is_some_and(|end| now < end)
    }

    /// Returns whether a report with demand by customer is due, even without a need for permits.
    pub(super) fn is_listing_due(&self, now: Instant) -> bool {
        self.is_listing(now) && self.demand_at.is_none_or(|at| now >= at + DEMAND_INTERVAL)
    }

    /// Returns whether the report being built includes demand by customer.
    pub(super) fn begin_listing(&mut self, now: Instant) -> bool {
        let is_recent = self.demand_at.is_some_and(|at| now < at + DEMAND_INTERVAL);
        let is_due = !is_recent && (self.has_standing_queue(now) || self.is_listing(now));
        if is_due {
            self.demand_at = Some(now);
        }
        is_due
    }

    /// Returns the number of waiting calls that need additional permits.
    fn need(&self, now: Instant, service_time: Duration, is_local: bool) -> u32 {
        // If no call has ended for this long, calls take longer than before and the estimate is not usable.
        let is_stalled = self.holder.last_call_end.is_none_or(|at| now >= at + LOCAL_WAIT);
        let wait = if is_local || is_stalled { Duration::ZERO } else { LOCAL_WAIT };
        let served_soon =
            f64::from(self.holder.in_flight()) * wait.as_secs_f64() / service_time.as_secs_f64().max(1e-6);
        self.waiting.saturating_sub(served_soon as u32)
    }

    /// Returns whether calls have been waiting for so long that demand must be reported by customer.
    pub(super) fn has_standing_queue(&self, now: Instant) -> bool {
        self.holder.waiting_since.is_some_and(|since| now >= since + STANDING_QUEUE_AGE)
    }

    /// Returns the number of permits that have been idle since the last review and should be returned.
    pub(super) fn review_idle(&mut self, now: Instant) -> u32 {
        let is_contended = self.is_listing(now);
        let holder = &mut self.holder;
        let interval = if is_contended { CONTENDED_REVIEW_INTERVAL } else { REVIEW_INTERVAL };
        if holder.granted() == 0 || self.reviewed_at.is_some_and(|at| now < at + interval) {
            return 0;
        }
        self.reviewed_at = Some(now);
        let is_idle = holder.in_flight() == 0 && holder.last_call_start.is_none_or(|at| now >= at + IDLE_TIMEOUT);
        let reserve = if is_idle || is_contended { 0 } else { SPARE_PERMITS };
        let surplus = if holder.is_fallback { 0 } else { holder.min_free.saturating_sub(reserve) };
        holder.min_free = holder.free_count();
        surplus.min(holder.free_count())
    }
}
