//! The activation of a version on one host, explored in all states.
//!
//! Two versions of the same sizes; chunks that arrive correct, corrupted or of
//! the other version; a document that changes its mind; an engine that reads the
//! bytes whole or cut short, whose reply may be lost and which may restart. The
//! model drives the life cycle of the product. Each protective rule is then taken
//! out in turn, and the exploration must find a violation.

mod model;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

use crate::model::Activation;
use crate::model::Rule;

/// Fewest states that make the exploration worth its name.
const LEAST_STATES: usize = 1000;

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
    assert!(states > LEAST_STATES, "{states} states");
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
    assert!(violation_without(Rule::VerifyWhole).is_some());
}

#[test]
fn activation_violated_without_check_chunks() {
    assert!(violation_without(Rule::CheckChunks).is_some());
}

#[test]
fn activation_violated_without_compare_loaded() {
    assert!(violation_without(Rule::CompareLoaded).is_some());
}
