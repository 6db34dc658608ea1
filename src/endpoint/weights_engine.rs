use crate::clients::EngineClient;
use crate::clients::EngineError;
use crate::clients::EngineFault;
use crate::clients::EngineState;
use crate::clients::LoadOrder;
use crate::clients::OrderNo;
use crate::clients::UnloadOrder;
use crate::endpoint::EndpointState;
use crate::endpoint::weights_tracked::TrackedVersion;
use crate::weights::Digest;
use crate::weights::HoldReason;

/// What became of an order to load.
#[derive(Debug)]
pub(super) enum LoadOutcome {
    /// The engine holds bytes of this digest.
    Loaded(Digest),
    /// The engine gave no answer, and its state doesn't show the version.
    Unknown,
    /// The engine refused.
    Refused(HoldReason),
}

/// Gives orders to this host's engine; nobody else does.
#[derive(Debug)]
pub(super) struct EngineOrderSender {
    client: EngineClient,
    sequence: u64,
}

impl EngineOrderSender {
    pub(super) fn new(client: EngineClient) -> Self {
        Self {
            client,
            sequence: 0,
        }
    }

    fn next_order_no(&mut self, state: &EndpointState) -> OrderNo {
        self.sequence += 1;
        OrderNo {
            offset: state.node.config_mark().offset,
            incarnation: state.node.incarnation(),
            sequence: self.sequence,
        }
    }

    /// What the engine holds.
    pub(super) async fn engine_state(&self) -> Result<EngineState, EngineError> {
        self.client.state().await
    }

    /// Orders the engine to load a verified version, unless it holds it.
    ///
    /// The state is asked before the order and, when the answer is lost, after
    /// it: an order that took effect is not given twice, and an engine that
    /// ignores order numbers is seen to hold what it should.
    pub(super) async fn load_version(
        &mut self,
        state: &EndpointState,
        tracked: &TrackedVersion,
    ) -> LoadOutcome {
        let manifest = tracked.digest();
        match self.engine_state().await {
            Err(_) => return LoadOutcome::Unknown,
            Ok(held) => {
                if let Some(content_digest) = loaded_content_digest(&held, manifest) {
                    return LoadOutcome::Loaded(content_digest);
                }
            }
        }
        let order = LoadOrder {
            order: self.next_order_no(state),
            model: tracked.model.name.clone(),
            version: tracked.model.version.clone(),
            manifest,
            base: tracked.base,
            source_url: format!("http://{}/x/local/{manifest}", state.node.process().listen),
        };
        match self.client.load(&order).await {
            Ok(answer) => LoadOutcome::Loaded(answer.whole),
            Err(EngineError::Refused(fault)) => LoadOutcome::Refused(hold_reason(fault, tracked)),
            Err(_) => match self.engine_state().await {
                Ok(held) => loaded_content_digest(&held, manifest)
                    .map_or(LoadOutcome::Unknown, LoadOutcome::Loaded),
                Err(_) => LoadOutcome::Unknown,
            },
        }
    }

    /// Orders the engine to drop a version.
    pub(super) async fn unload_version(
        &mut self,
        state: &EndpointState,
        manifest: Digest,
    ) -> Result<(), EngineError> {
        let order = self.next_order_no(state);
        self.client.unload(&UnloadOrder { order, manifest }).await
    }
}

fn loaded_content_digest(held: &EngineState, manifest: Digest) -> Option<Digest> {
    let found = held
        .loaded
        .iter()
        .find(|loaded| loaded.manifest == manifest)?;
    Some(found.whole)
}

fn hold_reason(fault: EngineFault, tracked: &TrackedVersion) -> HoldReason {
    match (fault, tracked.base) {
        (EngineFault::BaseNotLoaded, Some(base)) => HoldReason::BaseNotLoaded { base },
        _ => HoldReason::EngineRefused {
            reason: fault.name().to_owned(),
        },
    }
}
