use tokio::time::Instant;

use crate::gateway::Dialect;
use crate::gateway::active_request::wait_until_writes_end;
use crate::gateway::connection_reuse::ConnectionReuse;
use crate::gateway::end_causes::CRASH_SUSPECT;
use crate::gateway::end_causes::STOPPING;
use crate::gateway::exchange::MAX_JOINED_BODY_BYTES;
use crate::gateway::exchange::ReplicaResponse;
use crate::gateway::exchange::write_header;
use crate::gateway::forwarding::AttemptHistory;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::local_response::local_response;
use crate::gateway::local_response::outcome_label;
use crate::gateway::relay::ClientFraming;
use crate::gateway::relay::READY_WRITE_TIME;
use crate::gateway::relay::StreamRelay;
use crate::gateway::relay::response_head;
use crate::gateway::routed_request::RoutedRequest;
use crate::http1::Connection;
use crate::http1::Framing;
use crate::observe::Event;
use crate::observe::LogLine;

/// How a request ended, for its log line and the metrics; status 0 is a response that
/// was not completed.
#[derive(Debug)]
pub(super) struct RequestOutcome<'a> {
    /// HTTP status of the response.
    pub(super) status: u16,
    /// Label of the cause in the log line.
    pub(super) cause: &'a str,
    /// Time after which the client should retry, in ms.
    pub(super) retry_after_ms: Option<u64>,
}

impl<D: Dialect> Gateway<D> {
    /// Ends a request that is not sent to a further replica: aborts a stream that has
    /// begun, or sends the response kept as a fallback, or else one of the gateway.
    pub(super) async fn end_attempts(
        &self,
        client: &mut Connection,
        request: &RoutedRequest,
        relay: &StreamRelay,
        mut history: AttemptHistory,
        cause: &'static str,
        retry_after_ms: Option<u64>,
    ) -> ConnectionReuse {
        if relay.has_begun() {
            return self.abort_stream(request, &history, cause);
        }
        if let Some(response) = history.fallback_response.take() {
            return self
                .send_replica_response(client, request, &history, response)
                .await;
        }
        let outcome = if !history.may_have_run {
            RequestOutcome {
                status: 503,
                cause,
                retry_after_ms: retry_after_ms.map(|ms| ms.min(request.left_ms() / 3)),
            }
        } else if request.left_ms() == 0 {
            RequestOutcome {
                status: 504,
                cause: "timeout",
                retry_after_ms: None,
            }
        } else {
            RequestOutcome {
                status: 502,
                cause: if cause == CRASH_SUSPECT {
                    cause
                } else {
                    history.last_cause
                },
                retry_after_ms: None,
            }
        };
        self.send_local_response(client, request, &history, outcome)
            .await
    }

    /// Ends a stream that has begun, so that the client sees that it is incomplete: the
    /// connection is closed without the last chunk, or reset where there are no chunks.
    pub(super) fn abort_stream(
        &self,
        request: &RoutedRequest,
        history: &AttemptHistory,
        cause: &str,
    ) -> ConnectionReuse {
        let outcome = RequestOutcome {
            status: 0,
            cause,
            retry_after_ms: None,
        };
        self.log_request_end(request, history, &outcome, None);
        ConnectionReuse::Close
    }

    /// Sends the complete response of a replica to the client.
    pub(super) async fn send_replica_response(
        &self,
        client: &mut Connection,
        request: &RoutedRequest,
        history: &AttemptHistory,
        response: ReplicaResponse,
    ) -> ConnectionReuse {
        if response.head.status < 400 {
            self.record_run_time(request);
        }
        let close = self.closes_connection(request);
        let mut bytes = response_head(&response.head, close);
        write_length(&response, &mut bytes);
        bytes.extend_from_slice(b"\r\n");
        let mut rest = response.body.as_slice();
        if rest.len() <= MAX_JOINED_BODY_BYTES {
            bytes.extend_from_slice(rest);
            rest = &[];
        }
        let deadline = request.deadline.max(Instant::now() + READY_WRITE_TIME);
        let written = tokio::select! {
            biased;
            written = client.write_message_with_deadline(&bytes, rest, deadline) => {
                written.map_err(|error| error.label())
            }
            () = wait_until_writes_end(&self.state) => Err(STOPPING),
        };
        let (status, cause) = match written {
            Ok(()) => (response.head.status, "answered"),
            Err(cause) => (0, cause),
        };
        let outcome = RequestOutcome {
            status,
            cause,
            retry_after_ms: None,
        };
        self.log_request_end(request, history, &outcome, None);
        match written {
            Ok(()) if !close => ConnectionReuse::Keep,
            _ => ConnectionReuse::Close,
        }
    }

    /// Sends a response that the gateway itself generates.
    pub(super) async fn send_local_response(
        &self,
        client: &mut Connection,
        request: &RoutedRequest,
        history: &AttemptHistory,
        outcome: RequestOutcome<'_>,
    ) -> ConnectionReuse {
        let close = self.closes_connection(request);
        let bytes = local_response(outcome.status, outcome.retry_after_ms, close);
        let deadline = Instant::now() + READY_WRITE_TIME;
        let written = client.write_with_deadline(&bytes, deadline).await;
        if outcome.status == 503 {
            self.metrics.record_refusal("request");
        }
        self.log_request_end(request, history, &outcome, None);
        match written {
            Ok(()) if !close => ConnectionReuse::Keep,
            _ => ConnectionReuse::Close,
        }
    }

    /// Whether the client's connection is closed after the response to `request`.
    pub(super) fn closes_connection(&self, request: &RoutedRequest) -> bool {
        request.head.wants_close()
            || self.state.borrow().stopping_since.is_some()
            || request.client_framing() == ClientFraming::UntilClose
    }

    /// Records the time of a request that has run to its end or to that of its time.
    pub(super) fn record_run_time(&self, request: &RoutedRequest) {
        let mut state = self.state.borrow_mut();
        let took_ms = u64::try_from(request.routed_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        state.run_times.record(&request.route.name, took_ms);
    }

    /// Logs and counts a request that has ended; `stream` holds the time to the first
    /// event, in ms, and the number of events.
    pub(super) fn log_request_end(
        &self,
        request: &RoutedRequest,
        history: &AttemptHistory,
        outcome: &RequestOutcome<'_>,
        stream: Option<(f64, u64)>,
    ) {
        let took_ms = request.received_at.elapsed().as_secs_f64() * 1_000.0;
        // How long it would have taken is not known.
        if request.sends > 0 && request.left_ms() == 0 {
            let mut state = self.state.borrow_mut();
            state.run_times.record(&request.route.name, u64::MAX);
        }
        let answer_ms = stream.map_or(took_ms, |stream| stream.0);
        self.metrics
            .record_answer(outcome_label(outcome.status), answer_ms);
        let (config_age_ms, stop_left_ms) = {
            let state = self.state.borrow();
            let config_age_ms = state.now_ms().saturating_sub(state.catalog_adopted_ms);
            (config_age_ms, state.stop_left_ms(request.received_at))
        };
        let mut line = LogLine::new(Event::RequestEnded)
            .text("id", &request.facts.attempt_id)
            .text("route", &request.route.name)
            .text("service", &request.service)
            .number("status", outcome.status)
            .text("cause", outcome.cause)
            .text("replica", &history.replica)
            .text("parts", request.causes.parts_label())
            .number("sends", request.sends)
            .number("config", request.catalog.version)
            .number("config_age_ms", config_age_ms)
            .flag("stopping", stop_left_ms.is_some())
            .number("took_ms", took_ms as i64)
            .number("waited_before_ms", request.waited_before_ms);
        if let Some(stop_left_ms) = stop_left_ms {
            let state = self.state.borrow();
            let longest_ms = state.run_times.longest_ms(&request.route.name);
            line = line
                .number("stop_left_ms", stop_left_ms)
                .number("longest_run_ms", longest_ms.map_or(-1, |ms| ms as i64));
        }
        if outcome.cause == CRASH_SUSPECT {
            line = line.text("fingerprint", request.causes.request.short_hex());
        }
        if let Some(retry_after_ms) = outcome.retry_after_ms {
            line = line.number("retry_after_ms", retry_after_ms);
        }
        if let Some(part) = history.last_part {
            line = line
                .text("framing", part.framing.label())
                .number("rest_bytes", part.rest_bytes);
        }
        if let Some((first_event_ms, events)) = stream {
            line = line
                .number("first_event_ms", first_event_ms as i64)
                .number("events", events);
        }
        line.enqueue();
    }
}

/// Appends the header with the length of the body; a response without a body states the
/// length that the replica stated, if any, as the answer to a HEAD request may.
fn write_length(response: &ReplicaResponse, out: &mut Vec<u8>) {
    match response.framing {
        Framing::None => {
            for length in response.head.headers.values("content-length") {
                write_header("Content-Length", length, out);
            }
        }
        Framing::Length(_) | Framing::Chunked | Framing::UntilClose => {
            let length = response.body.len().to_string();
            write_header("Content-Length", length.as_bytes(), out);
        }
    }
}
