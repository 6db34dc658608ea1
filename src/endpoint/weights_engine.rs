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

/// What became of an order to load.
#[derive(Debug)]
pub(super) enum Loading {
    /// The engine holds bytes of this digest.
    Holds(Digest),
    /// The engine gave no answer, and its state doesn't show the version.
    Unknown,
    /// The engine refused.
    Refused(HoldReason),
}

/// Gives orders to this host's engine; nobody else does.
#[derive(Debug)]
pub(super) struct EngineGiver {
    client: EngineClient,
    sequence: u64,
}

impl EngineGiver {
    pub(super) fn new(client: EngineClient) -> Self {
        Self {
            client,
            sequence: 0,
        }
    }

    fn next_order(&mut self, state: &EndpointState) -> FencingNumber {
        self.sequence += 1;
        FencingNumber {
            offset: state.node.config_position().offset,
            incarnation: state.node.incarnation(),
            sequence: self.sequence,
        }
    }

    /// What the engine holds.
    pub(super) async fn state(&self) -> Result<EngineState, EngineError> {
        self.client.fetch_state().await
    }

    /// Orders the engine to load a verified version, unless it holds it.
    ///
    /// The state is asked before the order and, when the answer is lost, after
    /// it: an order that took effect is not given twice, and an engine that
    /// ignores order numbers is seen to hold what it should.
    pub(super) async fn load(
        &mut self,
        state: &EndpointState,
        tracked: &TrackedVersion,
    ) -> Loading {
        let manifest = tracked.digest();
        match self.state().await {
            Err(_) => return Loading::Unknown,
            Ok(held) => {
                if let Some(whole) = held_whole(&held, manifest) {
                    return Loading::Holds(whole);
                }
            }
        }
        let order = LoadOrder {
            order: self.next_order(state),
            model: tracked.model.name.clone(),
            version: tracked.model.version.clone(),
            manifest,
            base: tracked.base,
            source_url: format!("http://{}/x/local/{manifest}", state.node.process().listen),
        };
        match self.client.load(&order).await {
            Ok(answer) => Loading::Holds(answer.whole),
            Err(EngineError::Refused(fault)) => Loading::Refused(held_by(fault, tracked)),
            Err(_) => match self.state().await {
                Ok(held) => held_whole(&held, manifest).map_or(Loading::Unknown, Loading::Holds),
                Err(_) => Loading::Unknown,
            },
        }
    }

    /// Orders the engine to drop a version.
    pub(super) async fn unload(
        &mut self,
        state: &EndpointState,
        manifest: Digest,
    ) -> Result<(), EngineError> {
        let order = self.next_order(state);
        self.client.unload(&UnloadOrder { order, manifest }).await
    }
}

fn held_whole(held: &EngineState, manifest: Digest) -> Option<Digest> {
    let found = held
        .loaded
        .iter()
        .find(|loaded| loaded.manifest == manifest)?;
    Some(found.whole)
}

fn held_by(fault: EngineErrorCode, tracked: &TrackedVersion) -> HoldReason {
    match (fault, tracked.base) {
        (EngineErrorCode::BaseNotLoaded, Some(base)) => HoldReason::BaseNotLoaded { base },
        _ => HoldReason::EngineRefused {
            reason: fault.name().to_owned(),
        },
    }
}
