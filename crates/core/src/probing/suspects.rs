//! Requests that are not sent to servers because they crash them.

use {
    super::{ActiveCall, Balancer},
    crate::{
        dispatch::{AttemptResult, DispatchAction},
        ids::{CallId, ServerId},
        quarantine::{RequestFingerprint, Standing, SuspectRecord, run_id},
        slots::{NameHash, name_hash},
    },
    std::time::{Duration, Instant},
};

/// Time for which one entry may make a trial before it is the turn of the next one.
const TRIAL_TURN: Duration = Duration::from_secs(1);

impl Balancer {
    /// Records that a server ended while it ran a call.
    pub(super) fn record_crash(
        &mut self,
        now: Instant,
        call: CallId,
        server: &ServerId,
        request: RequestFingerprint,
        actions: &mut Vec<DispatchAction>,
    ) {
        let Some(active) = self.calls.get_mut(&call) else { return };
        active.call.fingerprint = Some(request);
        let state = self.services.get(&active.service);
        let known = state.and_then(|state| state.servers.get(name_hash(server)));
        let run = run_id(server, known.map_or(0, |server| server.view.incarnation));
        let record = self.suspects.record_crash(now, request, run);
        self.publish_suspects(record, actions);
    }

    /// Merges what other entries know.
    pub(super) fn merge_suspects(
        &mut self,
        now: Instant,
        records: &[SuspectRecord],
        actions: &mut Vec<DispatchAction>,
    ) {
        let mut is_news = false;
        for record in records {
            is_news |= self.suspects.merge(now, record);
        }
        if is_news {
            self.publish_suspects(None, actions);
        }
    }

    /// Records the end of an attempt of a suspected request. A server that answered it has not crashed.
    pub(super) fn observe_suspect(
        &mut self,
        now: Instant,
        active: &ActiveCall,
        result: AttemptResult,
        actions: &mut Vec<DispatchAction>,
    ) {
        if !matches!(result, AttemptResult::Complete | AttemptResult::ServerError) {
            return;
        }
        if let Some(request) = active.call.fingerprint {
            self.clear_suspect(now, request, actions);
        }
    }

    /// Records that a server answered a request.
    pub(super) fn clear_suspect(
        &mut self,
        now: Instant,
        request: RequestFingerprint,
        actions: &mut Vec<DispatchAction>,
    ) {
        if let Some(record) = self.suspects.record_success(now, request) {
            self.publish_suspects(Some(record), actions);
        }
    }

    /// Returns whether a call may not be sent to another server after one that may have run it.
    pub(super) fn is_suspected(&self, now: Instant, active: &ActiveCall) -> bool {
        let standing = active.call.fingerprint.map(|request| self.suspects.standing(now, &request));
        standing.is_some_and(|standing| standing != Standing::Clear)
    }

    /// Returns the time after which a caller may try again if the request may not be sent to any server now.
    pub(super) fn quarantine_wait(&mut self, now: Instant, active: &ActiveCall) -> Option<Duration> {
        let request = active.call.fingerprint?;
        match self.suspects.standing(now, &request) {
            Standing::Clear | Standing::Suspected => None,
            Standing::Quarantined(until) => Some(until.saturating_duration_since(now)),
            // Only one entry at a time may make the trial, so that the request does not crash one server for each of
            // them. They take turns, because the request may not come to each.
            Standing::TrialDue { since } => {
                let turn = now.saturating_duration_since(since).as_secs();
                let is_responsible = self.position(now).rotated_by(turn.wrapping_add(request.head as NameHash)) == 0;
                (!is_responsible).then_some(TRIAL_TURN)
            }
        }
    }

    /// Records that a call is sent to a server, which is the trial of its request if one is due.
    pub(super) fn begin_suspect_trial(&mut self, now: Instant, active: &ActiveCall) {
        if let Some(request) = active.call.fingerprint
            && matches!(self.suspects.standing(now, &request), Standing::TrialDue { .. })
        {
            self.suspects.begin_trial(now, &request);
        }
    }

    /// Forgets requests whose last crash was long ago.
    pub(super) fn remove_expired_suspects(&mut self, now: Instant, actions: &mut Vec<DispatchAction>) {
        if self.suspects.remove_expired(now) {
            self.publish_suspects(None, actions);
        }
    }

    fn publish_suspects(&self, record: Option<SuspectRecord>, actions: &mut Vec<DispatchAction>) {
        actions.extend(record.map(DispatchAction::ReportSuspect));
        actions.push(DispatchAction::SetSuspectHeads(self.suspects.heads()));
    }
}
