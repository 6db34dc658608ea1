use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::Dialect;
use crate::gateway::exchange::Answer;
use crate::gateway::forward::Gateway;
use crate::gateway::forward::Next;
use crate::gateway::forward::Progress;
use crate::gateway::own_answer::outcome_of;
use crate::gateway::own_answer::own_answer;
use crate::gateway::relay::StreamRelay;
use crate::gateway::relay::answer_head;
use crate::gateway::request::Request;
use crate::http1::Connection;
use crate::observe::Event;
use crate::observe::LogLine;

/// The final answer to a request, for its log line.
#[derive(Debug)]
pub(super) struct Ending<'a> {
    pub(super) status: u16,
    pub(super) cause: &'a str,
    pub(super) retry_after_ms: Option<u64>,
}

impl<D: Dialect> Gateway<D> {
    /// Gives the final answer to a request that no further replica gets.
    pub(super) async fn give_up(
        &self,
        client: &mut Connection,
        request: &Request,
        relay: &StreamRelay,
        mut progress: Progress,
        cause: &'static str,
        retry_after_ms: u64,
    ) -> Next {
        if relay.has_begun() {
            return self.break_off(request, &progress, cause);
        }
        if let Some(answer) = progress.fallback.take() {
            return self.answer(client, request, &progress, answer).await;
        }
        let ending = if !progress.may_have_run {
            Ending {
                status: 503,
                cause,
                retry_after_ms: Some(retry_after_ms.min(request.left_ms() / 3)),
            }
        } else if request.left_ms() == 0 {
            Ending {
                status: 504,
                cause: "timeout",
                retry_after_ms: None,
            }
        } else {
            Ending {
                status: 502,
                cause: progress.last_cause,
                retry_after_ms: None,
            }
        };
        self.end(client, request, &progress, ending).await
    }

    /// Ends a stream that has begun in a way that can't look complete.
    pub(super) fn break_off(&self, request: &Request, progress: &Progress, cause: &str) -> Next {
        let ending = Ending {
            status: 0,
            cause,
            retry_after_ms: None,
        };
        self.log_end(request, progress, &ending, None);
        Next::Close
    }

    pub(super) fn client_left(&self, request: &Request, progress: &Progress) -> Next {
        let ending = Ending {
            status: 0,
            cause: "client_left",
            retry_after_ms: None,
        };
        self.log_end(request, progress, &ending, None);
        Next::Close
    }

    /// Passes a replica's whole answer on.
    pub(super) async fn answer(
        &self,
        client: &mut Connection,
        request: &Request,
        progress: &Progress,
        answer: Answer,
    ) -> Next {
        let close = self.closes(request);
        let mut bytes = answer_head(&answer.head, close);
        bytes
            .extend_from_slice(format!("Content-Length: {}\r\n\r\n", answer.body.len()).as_bytes());
        bytes.extend_from_slice(&answer.body);
        let written = client.write_until(&bytes, request.until).await;
        let ending = Ending {
            status: answer.head.status,
            cause: "answered",
            retry_after_ms: None,
        };
        self.log_end(request, progress, &ending, None);
        match written {
            Ok(()) if !close => Next::Keep,
            _ => Next::Close,
        }
    }

    /// Gives an answer of the system's own.
    pub(super) async fn end(
        &self,
        client: &mut Connection,
        request: &Request,
        progress: &Progress,
        ending: Ending<'_>,
    ) -> Next {
        let close = self.closes(request);
        let bytes = own_answer(ending.status, ending.retry_after_ms, close);
        let until = Instant::now() + Duration::from_secs(1);
        let written = client.write_until(&bytes, until).await;
        if ending.status == 503 {
            self.metrics.refused("request");
        }
        self.log_end(request, progress, &ending, None);
        match written {
            Ok(()) if !close => Next::Keep,
            _ => Next::Close,
        }
    }

    /// Whether the client's connection ends after this answer.
    pub(super) fn closes(&self, request: &Request) -> bool {
        request.head.wants_close() || self.state.borrow().stopping_since.is_some()
    }

    pub(super) fn log_end(
        &self,
        request: &Request,
        progress: &Progress,
        ending: &Ending<'_>,
        stream: Option<(f64, u64)>,
    ) {
        let took_ms = request.arrived.elapsed().as_secs_f64() * 1_000.0;
        let answer_ms = stream.map_or(took_ms, |stream| stream.0);
        self.metrics.answered(outcome_of(ending.status), answer_ms);
        let mut line = LogLine::new(Event::RequestEnded)
            .text("id", &request.facts.attempt_id)
            .text("route", &request.route.name)
            .text("service", &request.service)
            .number("status", ending.status)
            .text("cause", ending.cause)
            .text("replica", &progress.replica)
            .number("sends", request.sends)
            .number("config", request.catalog.version)
            .number("took_ms", took_ms as i64)
            .number("waited_before_ms", request.waited_before_ms);
        if let Some(retry_after_ms) = ending.retry_after_ms {
            line = line.number("retry_after_ms", retry_after_ms);
        }
        if let Some((first_event_ms, events)) = stream {
            line = line
                .number("first_event_ms", first_event_ms as i64)
                .number("events", events);
        }
        line.write();
    }
}
