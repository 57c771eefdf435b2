//! How long a request may wait for a slot.

use std::time::Duration;

use foxtailhold::routes::Route;
use tokio::time::Instant;

use crate::caller_time::stream_patience_ms;
use crate::dialect::Dialect;
use crate::relay::Relay;
use crate::request::OpaqueRequest;

impl<D: Dialect> Relay<D> {
    /// Time in ms for which a request that has to be answered by `deadline` may still wait for a slot: it
    /// has to run by then, and the first event of a stream has to come while its caller waits.
    pub(crate) fn wait_left_ms(
        &self,
        route: &Route,
        request: &OpaqueRequest,
        deadline: Instant,
    ) -> u64 {
        let left = deadline.saturating_duration_since(Instant::now());
        // The rest of a stream takes an unknown part of a whole run.
        let run_ms = match request.after_event {
            Some(_) => None,
            None => {
                let output_tokens = self.dialect.output_tokens(&request.headers);
                self.planned_end.usual_run_ms(route, output_tokens)
            }
        };
        let by_deadline = left.saturating_sub(Duration::from_millis(run_ms.unwrap_or(0)));
        if !route.kind.is_stream() {
            return by_deadline.as_millis() as u64;
        }
        let first_event_ms = self.first_events.usual_ms(route).unwrap_or(0);
        let patience_ms = stream_patience_ms(route).saturating_sub(first_event_ms);
        let patience = Duration::from_millis(patience_ms);
        let patience = patience.saturating_sub(request.received.elapsed());
        by_deadline.min(patience).as_millis() as u64
    }
}
