use crate::gateway::Dialect;
use crate::gateway::active_request::wait_until_writes_end;
use crate::gateway::connection_reuse::ConnectionReuse;
use crate::gateway::end_causes::REPLICA_CRASHED;
use crate::gateway::event_stream::AnswerPart;
use crate::gateway::event_stream::StreamPart;
use crate::gateway::exchange::SendOutcome;
use crate::gateway::forwarding::Forwarding;
use crate::gateway::gateway_handle::Gateway;
use crate::gateway::relay::NextEvents;
use crate::gateway::relay::StreamEnd;
use crate::http1::Connection;

impl<D: Dialect + 'static> Gateway<D> {
    /// Handles an answer, the head of a stream or a failure; returns whether the client's
    /// connection is kept, if the request has ended.
    pub(super) async fn handle_outcome(
        &self,
        client: &mut Connection,
        forwarding: &mut Forwarding<'_>,
        at: usize,
        outcome: SendOutcome,
    ) -> Option<ConnectionReuse> {
        let is_only = forwarding.sends.as_slice().len() == 1;
        let Forwarding {
            request,
            relay,
            history,
            sends,
            ..
        } = forwarding;
        let send = sends.get_mut(at);
        self.record_notice(request, &send.chosen, send.notice.get());
        history.has_unused_retry |=
            send.is_second && matches!(outcome, SendOutcome::Unreachable(_));
        let outcome = self.check_end(request, &send.chosen, outcome);
        let accepted = self.record_outcome(request, &send.chosen, outcome, history, is_only);
        match accepted {
            None => drop(sends.remove(at)),
            // The client has the head of the stream: only events can follow it.
            Some(SendOutcome::Response(_)) if relay.has_begun() => {
                let send = sends.remove(at);
                history.last_cause = "replica_error";
                self.log_failed_attempt(request, &send.chosen, history.last_cause, None);
            }
            Some(SendOutcome::Response(response)) => {
                self.cancel_others(forwarding, at);
                let Forwarding {
                    request,
                    history,
                    sends,
                    ..
                } = forwarding;
                drop(sends.remove(0));
                self.metrics
                    .record_replica_answer(response.framing.label(), StreamEnd::Complete.label());
                history.last_part = Some(AnswerPart {
                    framing: response.framing,
                    rest_bytes: 0,
                });
                let reuse = self
                    .send_replica_response(client, request, history, response)
                    .await;
                return Some(reuse);
            }
            Some(SendOutcome::Stream(stream)) => send.begin_stream(stream),
            Some(_) => unreachable!("record_outcome returns only responses and streams"),
        }
        None
    }

    /// Handles a part of a stream; returns whether the client's connection is kept, if the
    /// request has ended.
    pub(super) async fn handle_part(
        &self,
        client: &mut Connection,
        forwarding: &mut Forwarding<'_>,
        at: usize,
        part: StreamPart,
    ) -> Option<ConnectionReuse> {
        let close = self.closes_connection(&forwarding.request);
        let Forwarding {
            request,
            relay,
            sends,
            ..
        } = &mut *forwarding;
        let attempt_id = &request.facts.attempt_id;
        let send = sends.get_mut(at);
        let stream = send.stream().expect("only a stream has parts");
        let end = match part {
            StreamPart::Events(events) => {
                let next = relay.take_next(events);
                send.record_progress();
                if next.bytes.is_empty() {
                    next.fault.map(StreamEnd::Broken)?
                } else {
                    return self.pass_on(client, forwarding, at, next, close).await;
                }
            }
            StreamPart::EndAtClose(port)
                if !(self.state.borrow()).is_end_of_answer(attempt_id, &send.chosen, port) =>
            {
                StreamEnd::Broken(REPLICA_CRASHED)
            }
            StreamPart::End | StreamPart::EndAtClose(_) => {
                let rest = stream.remainder();
                let ending = wait_until_writes_end(&self.state);
                relay
                    .finish(client, &stream.head, close, rest, ending)
                    .await
            }
            StreamPart::Broken(cause) => StreamEnd::Broken(cause),
        };
        self.end_part(forwarding, at, end)
    }

    /// Passes on the next events of a stream, from the send at `at`.
    async fn pass_on(
        &self,
        client: &mut Connection,
        forwarding: &mut Forwarding<'_>,
        mut at: usize,
        next: NextEvents,
        close: bool,
    ) -> Option<ConnectionReuse> {
        // A replica whose part ends here does not take the stream over.
        if next.has_pieces && next.fault.is_none() {
            self.cancel_others(forwarding, at);
            at = 0;
        }
        let Forwarding { relay, sends, .. } = &mut *forwarding;
        let send = sends.get_mut(at);
        send.in_flight.record_events_sent();
        send.record_forwarded();
        let stream = send.stream().expect("only a stream has parts");
        let ending = wait_until_writes_end(&self.state);
        let written = relay
            .write_events(client, &stream.head, close, &next.bytes, ending)
            .await;
        let end = written.or(next.fault.map(StreamEnd::Broken))?;
        self.end_part(forwarding, at, end)
    }

    /// Ends the part of a stream from the send at `at`; returns whether the client's
    /// connection is kept, if the request has ended.
    fn end_part(
        &self,
        forwarding: &mut Forwarding<'_>,
        at: usize,
        end: StreamEnd,
    ) -> Option<ConnectionReuse> {
        match end {
            StreamEnd::Complete => Some(self.complete_stream(forwarding, at)),
            StreamEnd::ClientDisconnected => Some(self.client_disconnected(forwarding)),
            StreamEnd::TimedOut | StreamEnd::Stopping => self.end_sends(forwarding, end.label()),
            StreamEnd::Broken(cause) => {
                self.fail_send(forwarding, at, cause);
                None
            }
        }
    }
}
