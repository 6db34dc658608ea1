//! Tests of the engine stand-in through the engine client.

#[path = "../support/cut_source.rs"]
mod cut_source;

mod fixture;

use crate::cut_source::start_cut_source;
use crate::fixture::Fixture;
use bergamotfork::clients::EngineError;
use bergamotfork::clients::EngineErrorCode;
use bergamotfork::clients::StreamEvent;
use bergamotfork::standin::engine::token_text;

#[actix_rt::test]
async fn load_returns_content_digest() {
    let fixture = Fixture::start(|_| {}).await;
    let answer = fixture.load(1).await.expect("the order is fresh");
    assert_eq!(answer.whole, fixture.content_digest());
    let state = fixture.engine.fetch_state().await.expect("the engine runs");
    assert_eq!(state.loaded[0].whole, fixture.content_digest());
}

#[actix_rt::test]
async fn load_stale_order() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(5).await.expect("the order is fresh");
    let refused = fixture.load(4).await.expect_err("the order is stale");
    assert_eq!(refused, EngineError::Refused(EngineErrorCode::StaleOrder));
}

#[actix_rt::test]
async fn load_stale_order_unchecked() {
    let fixture = Fixture::start(|options| options.checks_orders = false).await;
    fixture.load(5).await.expect("the order is fresh");
    fixture.load(4).await.expect("orders are not checked");
}

// A late order whose read was cut replaced content that was loaded whole.
#[actix_rt::test]
async fn load_cut_source_keeps_content() {
    let fixture = Fixture::start(|options| options.checks_orders = false).await;
    fixture.load(5).await.expect("the order is fresh");
    let source_url = format!("http://{}/", start_cut_source());
    let late = fixture.load_from(source_url, 4).await;
    let state = fixture.engine.fetch_state().await.expect("the engine runs");
    assert_eq!(state.loaded[0].whole, fixture.content_digest());
    late.expect_err("the content is not the one ordered");
}

#[actix_rt::test]
async fn generate_complete_answer() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let events = fixture.generate(&fixture.order("hello", 4)).await;
    let content_digest = fixture.content_digest();
    for index in 0..4 {
        let text = token_text(&content_digest, "hello", 7, index);
        assert_eq!(events[index as usize], StreamEvent::Token { index, text });
    }
    let end = StreamEvent::End {
        request_id: "r-hello".to_owned(),
        tokens: 4,
        manifest: fixture.manifest(),
        whole: content_digest,
    };
    assert_eq!(events[4..], [end]);
}

#[actix_rt::test]
async fn generate_resume_from_index() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let mut order = fixture.order("hello", 4);
    let all = fixture.generate(&order).await;
    order.resume_from = 2;
    assert_eq!(fixture.generate(&order).await, all[2..]);
}

#[actix_rt::test]
async fn generate_weights_not_loaded() {
    let fixture = Fixture::start(|_| {}).await;
    let refused = fixture.engine.generate(&fixture.order("x", 1)).await;
    let error = refused.expect_err("nothing is loaded");
    assert_eq!(error, EngineError::Refused(EngineErrorCode::NotLoaded));
}

#[actix_rt::test]
async fn generate_heartbeat_while_queued() {
    let fixture = Fixture::start(|options| options.slots = 1).await;
    fixture.load(1).await.expect("the order is fresh");
    let _running = fixture.start_stream(&fixture.order("long", 10_000)).await;
    fixture.wait_until_running(1).await;
    let mut queued = fixture.start_stream(&fixture.order("queued", 1)).await;
    let first = queued.next().await.expect("the stream is open");
    assert_eq!(first, Ok(StreamEvent::Beat));
}

#[actix_rt::test]
async fn generate_cancelled() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let mut stream = fixture.start_stream(&fixture.order("long", 10_000)).await;
    fixture
        .engine
        .cancel("r-long")
        .await
        .expect("the stream is running");
    let last = fixture::last_event(&mut stream).await;
    let cancelled =
        matches!(last, StreamEvent::Error { code, .. } if code == EngineErrorCode::Cancelled);
    assert!(cancelled, "{last:?}");
}

#[actix_rt::test]
async fn generate_dropped_connection() {
    let fixture = Fixture::start(|_| {}).await;
    fixture.load(1).await.expect("the order is fresh");
    let stream = fixture.start_stream(&fixture.order("long", 10_000)).await;
    fixture.wait_until_running(1).await;
    drop(stream);
    fixture.wait_until_running(0).await;
}

#[actix_rt::test]
async fn generate_higher_priority_first() {
    let fixture = Fixture::start(|options| options.slots = 1).await;
    fixture.load(1).await.expect("the order is fresh");
    let running = fixture.start_stream(&fixture.order("long", 10_000)).await;
    fixture.wait_until_running(1).await;
    let mut low = fixture.start_stream(&fixture.order("low", 10_000)).await;
    let mut urgent = fixture.order("urgent", 1);
    urgent.priority = 9;
    let mut urgent = fixture.start_stream(&urgent).await;
    drop(running);
    let ended = fixture::last_event(&mut urgent).await;
    assert!(matches!(ended, StreamEvent::End { .. }), "{ended:?}");
    let first = fixture::first_token(&mut low).await;
    assert!(matches!(first, StreamEvent::Token { index: 0, .. }));
}
