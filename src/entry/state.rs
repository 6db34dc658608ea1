use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::calls::PermitKey;
use crate::calls::RunTimes;
use crate::calls::StopAdmission;
use crate::clients::LogClient;
use crate::conf::EntrySettings;
use crate::entry::GenerateRouting;
use crate::entry::service_call_state::ServiceCallState;
use crate::links::DrainEnd;
use crate::node::Node;

/// State shared by the handlers of an entry.
#[derive(Debug)]
pub struct EntryState {
    /// Settings of the entry process.
    pub settings: EntrySettings,
    /// Identity of the process, known hosts and configuration.
    pub node: Arc<Node>,
    /// Client of the log stream that holds the configuration.
    pub log: LogClient,
    /// Dispatches and retry budget of service calls.
    pub calls: ServiceCallState,
    /// Key that seals permits.
    pub permit_key: PermitKey,
    /// Statistics of the endpoints and retry budget of token streams.
    pub routing: GenerateRouting,
    /// End of the drain, once the entry stops.
    pub drain_end: Arc<DrainEnd>,
    /// Times that the latest requests took, by their kind.
    run_times: Mutex<RunTimes>,
}

impl EntryState {
    /// State of a process that just started.
    pub fn new(settings: EntrySettings) -> Self {
        let node = Arc::new(Node::new(
            settings.process.clone(),
            settings.platform.clone(),
            settings.cluster.clone(),
            None,
        ));
        let log = LogClient::new(&settings.platform.log_url, &settings.platform.config_stream)
            .with_simulated_partition(Arc::clone(node.simulated_partition()));
        let permit_key = PermitKey::derive(&settings.cluster.shared_key);
        let routing = GenerateRouting::new(&settings.process.name, settings.retry_budget_percent);
        Self {
            settings,
            node,
            log,
            calls: ServiceCallState::new(),
            permit_key,
            routing,
            drain_end: Arc::default(),
            run_times: Mutex::default(),
        }
    }

    /// Whether a request that has arrived is expected to end before this entry does; `kinds`
    /// names requests that take as long, the most alike first.
    pub(super) fn can_end(
        &self,
        kinds: &[&str],
        deadline_left: Duration,
        is_repeatable: bool,
    ) -> bool {
        let Some(left_ms) = self.drain_end.left_ms() else {
            return true;
        };
        let run_times = self
            .run_times
            .lock()
            .expect("no holder of the times panics");
        let admission = StopAdmission {
            left_ms,
            deadline_left_ms: u64::try_from(deadline_left.as_millis()).unwrap_or(u64::MAX),
            longest_run_ms: kinds.iter().find_map(|kind| run_times.longest_ms(kind)),
            is_repeatable,
        };
        admission.can_end()
    }

    /// Records the time that a request of these kinds took to its whole answer.
    pub(super) fn record_run(&self, kinds: &[&str], took: Duration) {
        let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
        let mut run_times = self
            .run_times
            .lock()
            .expect("no holder of the times panics");
        for kind in kinds {
            run_times.record(kind, took_ms);
        }
    }
}
