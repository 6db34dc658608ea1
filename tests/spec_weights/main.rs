//! Explores all states of a model of activating a version on one host.
//!
//! The model has two versions of the same sizes and drives the life cycle of the
//! implementation. Chunks arrive correct, corrupted or from the other version, the
//! configuration switches between the versions, and the engine reads the content
//! complete or truncated; its reply may be lost, and it may restart. Each protective
//! rule is then disabled in turn, and the exploration must find a violation.

mod model;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

use crate::model::Activation;
use crate::model::Rule;

/// Lower bound of the number of states, which detects a model that explores nothing.
const MIN_STATES: usize = 1000;

/// Shortest path to a violation when `rule` is disabled.
fn violation_without(rule: Rule) -> Option<Vec<Activation>> {
    bfs(
        &Activation::new(Some(rule)),
        Activation::successors,
        |state| state.violation().is_some(),
    )
}

#[test]
fn activation_no_violation_in_any_state() {
    let mut states = 0;
    for state in bfs_reach(Activation::new(None), Activation::successors) {
        assert_eq!(state.violation(), None, "{state:?}");
        states += 1;
    }
    assert!(states > MIN_STATES, "{states} states");
}

#[test]
fn activation_reaches_serving() {
    let path = bfs(
        &Activation::new(None),
        Activation::successors,
        Activation::serves_wanted,
    );
    assert!(path.is_some());
}

#[test]
fn activation_violated_without_verify_content() {
    assert!(violation_without(Rule::VerifyContent).is_some());
}

#[test]
fn activation_violated_without_check_chunks() {
    assert!(violation_without(Rule::CheckChunks).is_some());
}

#[test]
fn activation_violated_without_compare_loaded() {
    assert!(violation_without(Rule::CompareLoaded).is_some());
}
