//! Token streams whose only endpoint or engine is silent for a while or replaced.

use crate::support::until;
use crate::system::Parts;
use crate::system::System;

async fn start(entry_settings: &str) -> System {
    let parts = Parts {
        engines: 1,
        entry_settings,
        ..Parts::default()
    };
    System::start(parts).await
}

/// An endpoint whose engine was replaced gets requests again.
#[actix_rt::test]
async fn stream_after_engine_replaced() {
    let mut system = start("").await;
    let backend = system.engine_address(0);
    system
        .cluster
        .start_bare_engine("engine-0-engine", &backend);
    until("the engine has its weights again", 10, async || {
        let answer = system.generate("tides?", 1).await.expect("an answer");
        assert!([200, 503].contains(&answer.status), "{}", answer.body);
        let state = system.engine_state(0).await?;
        (!state.loaded.is_empty()).then_some(())
    })
    .await;
    until("its endpoint gets requests", 5, async || {
        let answer = system.generate("tides?", 1).await.expect("an answer");
        (answer.status == 200).then_some(())
    })
    .await;
}
