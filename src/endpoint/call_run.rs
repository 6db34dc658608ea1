use std::time::Duration;
use std::time::Instant;

use actix_rt::net::TcpStream;
use actix_rt::time::timeout;
use actix_web::web;

use crate::calls::CallOutcome;
use crate::calls::CrashId;
use crate::calls::Nonce;
use crate::calls::RefusalReason;
use crate::calls::ServiceCall;
use crate::calls::UnknownReason;
use crate::clients;
use crate::clients::ServiceClient;
use crate::endpoint::EndpointState;
use crate::links::LinkError;
use crate::node::Reporter;
use crate::weights::Digest;

/// Time within which a process must accept a connection that probes whether it is up.
const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which the probing connection must stay open.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(200);

/// A call that is forwarded to the service.
pub(super) struct CallRun<'a> {
    state: &'a web::Data<EndpointState>,
    /// Digest that identifies the request among crash suspects.
    fingerprint: Digest,
    deadline: Instant,
}

impl<'a> CallRun<'a> {
    pub(super) fn new(
        state: &'a web::Data<EndpointState>,
        fingerprint: Digest,
        deadline: Instant,
    ) -> Self {
        Self {
            state,
            fingerprint,
            deadline,
        }
    }

    /// Forwards the call and returns its outcome; `nonce` is that of its permit.
    pub(super) async fn execute(&self, call: ServiceCall, nonce: Option<Nonce>) -> CallOutcome {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        // The process may have been paused since it received the call.
        if time_left.is_zero() {
            return CallOutcome::not_run(RefusalReason::DeadlinePassed);
        }
        let left_ms = u64::try_from(time_left.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let service = self.state.node.document().service(&call.service);
        let timeout_ms = service.map_or(left_ms, |service| service.timeout_ms);
        let request = clients::ServiceRequest {
            path: call.path,
            request_id: call.request_id,
            key: nonce.map(|nonce| nonce.to_string()),
            body: call.body.into(),
            deadline: self.deadline,
            // A call with a permit continues after its caller's deadline, so that
            // a retry with the same permit gets its answer.
            timeout_ms: nonce.map_or(left_ms.min(timeout_ms), |_| timeout_ms),
        };
        let client = ServiceClient::new(self.state.settings.backend.url());
        match client.call(request).await {
            Ok(answer) => {
                self.record_answered();
                CallOutcome::Answer(answer)
            }
            Err(LinkError::NotSent(_)) if Instant::now() >= self.deadline => {
                CallOutcome::not_run(RefusalReason::DeadlinePassed)
            }
            Err(LinkError::NotSent(_)) => CallOutcome::not_run(RefusalReason::Unreachable),
            Err(error) => {
                if matches!(error, LinkError::Broken(_)) {
                    self.report_if_crashed().await;
                }
                CallOutcome::unknown(UnknownReason::ServiceLost)
            }
        }
    }

    /// Records that the service answered, which clears the request as a crash suspect.
    fn record_answered(&self) {
        self.state.calls.record_service_up();
        self.state.node.suspects().clear_request(self.fingerprint);
    }

    /// Reports the request to the entries as a crash suspect if the service has crashed.
    async fn report_if_crashed(&self) {
        let url = self.state.settings.backend.url();
        if is_process_up(url.strip_prefix("http://").unwrap_or(url)).await {
            return;
        }
        let node = &self.state.node;
        let crash = CrashId {
            endpoint: node.name().to_owned(),
            incarnation: node.incarnation(),
            crash_no: self.state.calls.record_service_crash(),
        };
        let now_ms = node.now_ms();
        node.suspects().add_crash(self.fingerprint, crash, now_ms);
        Reporter::send_reports(node).await;
    }
}

/// Whether the process at `address` accepts a connection and keeps it open.
///
/// A process that ends closes its sockets one by one, so its listener may still
/// accept connections after its other ones have broken.
pub(super) async fn is_process_up(address: &str) -> bool {
    let Ok(Ok(probe)) = timeout(PROBE_CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    timeout(PROBE_OPEN_TIME, probe.readable()).await.is_err()
}
