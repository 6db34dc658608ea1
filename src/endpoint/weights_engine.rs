use crate::clients::EngineClient;
use crate::clients::EngineError;
use crate::clients::EngineErrorCode;
use crate::clients::EngineState;
use crate::clients::FencingNumber;
use crate::clients::LoadOrder;
use crate::clients::UnloadOrder;
use crate::endpoint::EndpointState;
use crate::endpoint::weights_tracked::TrackedVersion;
use crate::weights::Digest;
use crate::weights::HoldReason;

/// Outcome of an order to load a version.
#[derive(Debug)]
pub(super) enum LoadOutcome {
    /// The engine has loaded the version and reports this content digest.
    Loaded(Digest),
    /// The engine did not answer, or its state does not list the version.
    Unknown,
    /// The engine refused the order for this reason.
    Refused(HoldReason),
}

/// Sends load and unload orders to the engine of this host; its only sender.
#[derive(Debug)]
pub(super) struct EngineOrderSender {
    client: EngineClient,
    sequence: u64,
    /// Latest order to unload that the engine may still carry out.
    open_unload: Option<FencingNumber>,
}

impl EngineOrderSender {
    pub(super) fn new(client: EngineClient) -> Self {
        Self {
            client,
            sequence: 0,
            open_unload: None,
        }
    }

    /// Fencing number of the next order, which is above those of all earlier ones.
    fn next_order_no(&mut self, state: &EndpointState) -> FencingNumber {
        self.sequence += 1;
        FencingNumber {
            offset: state.node.config_position().offset,
            incarnation: state.node.incarnation(),
            sequence: self.sequence,
        }
    }

    /// State of the engine, with the versions that it has loaded.
    pub(super) async fn engine_state(&self) -> Result<EngineState, EngineError> {
        self.client.fetch_state().await
    }

    /// Orders the engine to load a verified version, unless it has loaded its content.
    ///
    /// The engine's state is read before the order and, if the answer is lost, after
    /// it: an order that took effect is not sent twice, and an engine that does not
    /// check order numbers is still verified to have loaded the version. While an order to
    /// unload may still come, a loaded version is ordered again, which makes that one stale.
    pub(super) async fn load_version(
        &mut self,
        state: &EndpointState,
        tracked: &TrackedVersion,
    ) -> LoadOutcome {
        let manifest = tracked.digest();
        let Some(verified) = tracked.version.manifest() else {
            return LoadOutcome::Unknown;
        };
        match self.engine_state().await {
            Err(_) => return LoadOutcome::Unknown,
            Ok(engine_state) => {
                // An earlier order whose read was cut leaves other content.
                let found = loaded_content_digest(&engine_state, manifest);
                if found == Some(verified.whole) && !self.may_unload(&engine_state) {
                    return LoadOutcome::Loaded(verified.whole);
                }
            }
        }
        let order = LoadOrder {
            order: self.next_order_no(state),
            model: tracked.model.name.clone(),
            version: tracked.model.version.clone(),
            manifest,
            whole: verified.whole,
            base: tracked.base,
            source_url: format!("http://{}/x/local/{manifest}", state.node.process().listen),
        };
        match self.client.load(&order).await {
            Ok(answer) => LoadOutcome::Loaded(answer.whole),
            Err(EngineError::Refused(code)) => LoadOutcome::Refused(hold_reason(code, tracked)),
            Err(_) => match self.engine_state().await {
                Ok(engine_state) if !self.may_unload(&engine_state) => {
                    loaded_content_digest(&engine_state, manifest)
                        .map_or(LoadOutcome::Unknown, LoadOutcome::Loaded)
                }
                Ok(_) | Err(_) => LoadOutcome::Unknown,
            },
        }
    }

    /// Whether an order to unload without an answer may still be carried out: the engine has
    /// received no later order.
    fn may_unload(&self, engine_state: &EngineState) -> bool {
        self.open_unload
            .is_some_and(|order| engine_state.highest_order <= Some(order))
    }

    /// Orders the engine to unload a version.
    pub(super) async fn unload_version(
        &mut self,
        state: &EndpointState,
        manifest: Digest,
    ) -> Result<(), EngineError> {
        let order = self.next_order_no(state);
        let outcome = self.client.unload(&UnloadOrder { order, manifest }).await;
        if outcome
            .as_ref()
            .is_err_and(|error| !error.is_not_carried_out())
        {
            self.open_unload = Some(order);
        }
        outcome
    }
}

/// Content digest that the engine reports for `manifest`; `None` if it is not loaded.
pub(super) fn loaded_content_digest(
    engine_state: &EngineState,
    manifest: Digest,
) -> Option<Digest> {
    let found = engine_state
        .loaded
        .iter()
        .find(|loaded| loaded.manifest == manifest)?;
    Some(found.whole)
}

/// Hold reason for a refused order to load `tracked`.
fn hold_reason(code: EngineErrorCode, tracked: &TrackedVersion) -> HoldReason {
    match (code, tracked.base) {
        (EngineErrorCode::BaseNotLoaded, Some(base)) => HoldReason::BaseNotLoaded { base },
        _ => HoldReason::EngineRefused {
            reason: code.name().to_owned(),
        },
    }
}
