//! The engine stand-in and its client.

mod fixture;

use crate::fixture::Fixture;
use bergamotfork::clients::EngineError;
use bergamotfork::clients::EngineErrorCode;
use bergamotfork::clients::StreamEvent;
use bergamotfork::standin::engine::token_text;

#[actix_rt::test]
async fn load_recomputes_whole_digest() {
    let fixture = Fixture::start(|_| {}).await;
    let answer = fixture.load(1).await.expect("the order is fresh");
    assert_eq!(answer.whole, fixture.whole());
    let state = fixture.engine.fetch_state().await.expect("the engine runs");
    assert_eq!(state.loaded[0].whole, fixture.whole());
}

#[actix_rt::test]
async fn load_stale_order_is_refused() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(5).await.expect("the order is fresh");
    let refused = fixture.load(4).await.expect_err("the order is stale");
    assert_eq!(refused, EngineError::Refused(EngineErrorCode::StaleOrder));
}

#[actix_rt::test]
async fn load_stale_order_passes_unchecked() {
    let fixture = Fixture::start(|options| options.checks_orders = false).await;
    fixture.load(5).await.expect("the order is fresh");
    fixture.load(4).await.expect("orders are not checked");
}

#[actix_rt::test]
async fn generate_streams_whole_answer() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let events = fixture.generate(&fixture.order("hello", 4)).await;
    let whole = fixture.whole();
    for index in 0..4 {
        let text = token_text(&whole, "hello", 7, index);
        assert_eq!(events[index as usize], StreamEvent::Token { index, text });
    }
    let end = StreamEvent::End {
        request_id: "r-hello".to_owned(),
        tokens: 4,
        manifest: fixture.manifest(),
        whole,
    };
    assert_eq!(events[4..], [end]);
}

#[actix_rt::test]
async fn generate_resumes_from_index() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let mut order = fixture.order("hello", 4);
    let all = fixture.generate(&order).await;
    order.resume_from = 2;
    assert_eq!(fixture.generate(&order).await, all[2..]);
}

#[actix_rt::test]
async fn generate_unloaded_is_refused() {
    let fixture = Fixture::start(|_| {}).await;
    let refused = fixture.engine.generate(&fixture.order("x", 1)).await;
    let error = refused.expect_err("nothing is loaded");
    assert_eq!(error, EngineError::Refused(EngineErrorCode::NotLoaded));
}

#[actix_rt::test]
async fn generate_beats_while_queued() {
    let fixture = Fixture::start(|options| options.slots = 1).await;
    fixture.load(1).await.expect("the order is fresh");
    let _running = fixture.open(&fixture.order("long", 10_000)).await;
    fixture.running(1).await;
    let mut queued = fixture.open(&fixture.order("queued", 1)).await;
    let first = queued.next().await.expect("the stream is open");
    assert_eq!(first, Ok(StreamEvent::Beat));
}

#[actix_rt::test]
async fn generate_cancel_ends_stream() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let mut stream = fixture.open(&fixture.order("long", 10_000)).await;
    fixture.engine.cancel("r-long").await.expect("it runs");
    let last = fixture::last_event(&mut stream).await;
    let cancelled =
        matches!(last, StreamEvent::Error { code, .. } if code == EngineErrorCode::Cancelled);
    assert!(cancelled, "{last:?}");
}

#[actix_rt::test]
async fn generate_dropped_connection_frees_slot() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let stream = fixture.open(&fixture.order("long", 10_000)).await;
    fixture.running(1).await;
    drop(stream);
    fixture.running(0).await;
}

#[actix_rt::test]
async fn generate_priority_goes_first() {
    let fixture = Fixture::start(|options| options.slots = 1).await;
    fixture.load(1).await.expect("the order is fresh");
    let running = fixture.open(&fixture.order("long", 10_000)).await;
    fixture.running(1).await;
    let mut low = fixture.open(&fixture.order("low", 10_000)).await;
    let mut urgent = fixture.order("urgent", 1);
    urgent.priority = 9;
    let mut urgent = fixture.open(&urgent).await;
    drop(running);
    let ended = fixture::last_event(&mut urgent).await;
    assert!(matches!(ended, StreamEvent::End { .. }), "{ended:?}");
    let first = fixture::first_token(&mut low).await;
    assert!(matches!(first, StreamEvent::Token { index: 0, .. }));
}
