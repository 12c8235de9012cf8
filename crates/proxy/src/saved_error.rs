//! What becomes of the error response of a server that is followed by another attempt.

use {
    crate::{
        call::{CallHandler, ConnectionAction},
        call_end::CallEnd,
        connection::Connection,
        exchange::ExchangeEnd,
        forwarding::{Forwarded, forward_body},
        reply,
        saved_response::SavedResponse,
    },
    actix_rt::time::sleep_until,
    hemlockford_core::outcome::{Outcome, UnknownReason},
    std::{net::SocketAddr, time::Duration},
    tokio::select,
};

impl CallHandler<'_> {
    /// Releases the connection of an attempt, unless the rest of an error response that is to be saved arrives on it.
    pub(crate) fn release_connection(&self, connection: Connection, ended: &mut ExchangeEnd) {
        let is_saved = self.shared.options.dialect.keeps_server_errors
            && self.saved_error.is_none()
            && self.shared.pool.may_keep();
        match ended {
            ExchangeEnd::Retry(Some(_), failure) if failure.is_arriving() && is_saved => {
                failure.keep_connection(connection);
            }
            _ => connection.release(),
        }
    }

    /// Saves the first error response that can be sent to the caller as a whole.
    pub(crate) fn save_error(&mut self, failure: Box<SavedResponse>) {
        if self.shared.options.dialect.keeps_server_errors && failure.is_available() {
            self.saved_error.get_or_insert(failure);
        }
    }

    /// Gives up a saved response whose connection another attempt needs.
    pub(crate) fn make_room(&mut self, address: SocketAddr) {
        let is_needed = |saved: &mut Box<SavedResponse>| {
            saved.connection_address().is_some_and(|held| held == address || !self.shared.pool.has_room())
        };
        if let Some(mut saved) = self.saved_error.take_if(is_needed) {
            saved.release();
        }
    }

    /// Waits for the rest of a saved error response. The call ends with the outcome if that does not arrive.
    pub(crate) async fn read_saved_error(
        &mut self,
        mut response: Box<SavedResponse>,
        outcome: Outcome,
        retry_after: Duration,
    ) -> CallEnd {
        let is_whole = select! {
            biased;
            is_whole = response.read_rest() => is_whole,
            error = self.reader.wait_for_disconnect() => return CallEnd::CallerFailed(error),
            () = sleep_until(self.call.deadline.into()) => false,
            () = self.shared.calls_ended() => false,
        };
        if is_whole {
            return CallEnd::SavedError(response, outcome, retry_after);
        }
        response.release();
        CallEnd::Outcome(self.outcome_after_attempts(outcome), retry_after)
    }

    /// Sends a saved error response. The rest of a long one is forwarded as it arrives.
    pub(crate) async fn send_saved_error(
        &mut self,
        mut response: SavedResponse,
    ) -> (Option<Outcome>, ConnectionAction) {
        self.prepare_head();
        let (dialect, repeat_protection) = (&self.shared.options.dialect, self.repeat_protection());
        let version = self.head.version;
        let Some(mut connection) = response.take_connection() else {
            let encoded = reply::encode_saved_response(dialect, &mut response, repeat_protection, version, self.writer);
            return (Some(Outcome::Answered), self.flush(encoded).await);
        };
        let SavedResponse { head, framing, parts, .. } = response;
        let encoded = reply::encode_response_head(dialect, (&head, framing), repeat_protection, version, self.writer);
        if encoded.is_err() {
            connection.release();
            return (Some(Outcome::Unknown(UnknownReason::ConnectionLost)), ConnectionAction::Reset);
        }
        self.writer.set_streaming(true);
        let (server, counters, mut recorded) = (&mut connection.reader, &self.shared.counters, None);
        let forwarded = select! {
            biased;
            forwarded = forward_body(server, parts, self.writer, framing, &mut recorded, counters) => forwarded,
            () = sleep_until(self.call.deadline.into()) => Forwarded::Truncated,
        };
        self.writer.set_streaming(false);
        connection.release();
        match forwarded {
            Forwarded::Complete if self.writer.keep_alive() => (Some(Outcome::Answered), ConnectionAction::KeepOpen),
            Forwarded::Complete => (Some(Outcome::Answered), ConnectionAction::Close),
            Forwarded::Truncated => (Some(Outcome::Unknown(UnknownReason::ConnectionLost)), ConnectionAction::Reset),
            Forwarded::CallerDisconnected => (None, ConnectionAction::Reset),
        }
    }
}
