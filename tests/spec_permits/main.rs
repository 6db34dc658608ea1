//! Exhaustive exploration of the states of one permit.
//!
//! The model has two entries, up to three sends, two restarts (of the endpoint or
//! of an entry, or the start of a new epoch), a duplicated message, and any message
//! lost or late, within the bounds below. A copy of a send outlives its connection
//! only until the send is answered, since HTTP clients resend nothing else by
//! themselves.
//!
//! The model calls the product's own permit table, dispatch ledger and
//! `determine_outcome`. Each protective rule is then omitted in turn, and the
//! exploration must find a violation.

mod fixture;
mod messages;
mod model_state;
mod rules;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

use crate::model_state::ModelState;
use crate::rules::Bounds;
use crate::rules::Rule;

/// Resends by the caller, across restarts.
const RESENDS: Bounds = bounds(3, 2, 0, 1);

/// Resends with a duplicated message and without status queries.
const DUPLICATES: Bounds = bounds(3, 2, 1, 0);

/// Status queries with a duplicated message.
const QUERIES: Bounds = bounds(2, 2, 1, 2);

const fn bounds(sends: u32, restarts: u32, duplicates: u32, queries: u32) -> Bounds {
    Bounds {
        sends,
        restarts,
        duplicates,
        queries,
    }
}

fn assert_holds(bounds: Bounds) {
    let mut states = 0;
    for state in bfs_reach(ModelState::new(None, bounds), ModelState::successors) {
        states += 1;
        assert!(!state.is_violated(), "violated: {state:?}");
    }
    println!("{states} states hold within {bounds:?}");
    assert!(states > 100_000, "only {states} states were reached");
}

#[test]
fn explore_resends() {
    assert_holds(RESENDS);
}

#[test]
fn explore_duplicates() {
    assert_holds(DUPLICATES);
}

#[test]
fn explore_queries() {
    assert_holds(QUERIES);
}

/// Searches for a violation within the bounds in which the complete set of rules holds.
fn is_violated_without(rule: Rule) -> bool {
    [RESENDS, DUPLICATES, QUERIES].into_iter().any(|bounds| {
        let start = ModelState::new(Some(rule), bounds);
        bfs(&start, ModelState::successors, ModelState::is_violated).is_some()
    })
}

macro_rules! violated_without {
    ($($name:ident $rule:ident;)*) => {
        $(
            #[test]
            fn $name() {
                assert!(is_violated_without(Rule::$rule), "no violation without {:?}", Rule::$rule);
            }
        )*
    };
}

violated_without! {
    explore_without_tombstone Tombstone;
    explore_without_first_send_only FirstSendOnly;
    explore_without_latest_send_only LatestSendOnly;
    explore_without_count_at_answer CountAtAnswer;
    explore_without_checked_incarnation CheckedIncarnation;
    explore_without_checked_epoch CheckedEpoch;
    explore_without_own_permits_only OwnPermitsOnly;
    explore_without_single_delivery SingleDelivery;
    explore_without_separate_query_result SeparateQueryResult;
    explore_without_closed_after_not_run ClosedAfterNotRun;
}
