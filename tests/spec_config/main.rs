//! Model checking of the configuration protocol. The tests explore all states
//! within bounds: two editors change one section concurrently, replies are lost
//! and edits are sent again, one checkpoint is published, the log is trimmed at
//! any offset, hosts are replaced, and entries read the log or query each other
//! at any time. An outage of the log is a run in which no entry reads the log.
//!
//! The states contain the `Follower` and `Fold` of the program itself. Further
//! tests remove one protective rule each, and the exploration must then find a
//! violation.

mod invariants;
mod model;
mod node;
mod rules;

use std::cell::RefCell;
use std::rc::Rc;

use pathfinding::directed::bfs::bfs_reach;

use crate::invariants::violation;
use crate::model::Bounds;
use crate::model::State;
use crate::rules::Rules;

/// One editor repeats its edit after a lost reply; one host is replaced.
const CONCURRENT_EDITS: Bounds = Bounds {
    sends: [2, 1],
    checkpoints: 1,
    replacements: 1,
};

/// No reply is lost; two hosts are replaced.
const REPLACEMENTS: Bounds = Bounds {
    sends: [1, 1],
    checkpoints: 1,
    replacements: 2,
};

/// Explores all states; returns their number and the first violation found.
fn explore(bounds: Bounds, rules: Rules) -> (usize, Option<String>) {
    let found = Rc::new(RefCell::new(None));
    let recorded = Rc::clone(&found);
    let states = bfs_reach(State::initial(bounds), move |state: &State| {
        if recorded.borrow().is_some() {
            return Vec::new();
        }
        let next = state.successors(rules);
        let step_violation = next.iter().find_map(|next| violation(state, next));
        *recorded.borrow_mut() = step_violation;
        next
    })
    .count();
    let violation = found.borrow().clone();
    (states, violation)
}

/// Asserts that the exploration with `rules` finds a violation that contains `expected`.
#[track_caller]
fn assert_violation(bounds: Bounds, rules: Rules, expected: &str) {
    let (_, violation) = explore(bounds, rules);
    let violation = violation.expect("removing the rule causes no violation");
    assert!(violation.contains(expected), "{violation}");
}

/// Asserts that no state violates an invariant while all rules are in place.
#[track_caller]
fn assert_holds(bounds: Bounds) {
    let (states, violation) = explore(bounds, Rules::ALL);
    println!("{states} states within {bounds:?}");
    assert_eq!(violation, None);
    assert!(states > 10_000, "the bounds leave only {states} states");
}

#[test]
fn explore_concurrent_edits() {
    assert_holds(CONCURRENT_EDITS);
}

#[test]
fn explore_replaced_hosts() {
    assert_holds(REPLACEMENTS);
}

#[test]
fn explore_without_base_revision() {
    let rules = Rules {
        base_revision: false,
        ..Rules::ALL
    };
    assert_violation(CONCURRENT_EDITS, rules, "one base");
}

#[test]
fn explore_without_edit_deduplication() {
    let rules = Rules {
        edit_deduplication: false,
        ..Rules::ALL
    };
    assert_violation(CONCURRENT_EDITS, rules, "two outcomes");
}

#[test]
fn explore_without_forward_only_checkpoints() {
    let rules = Rules {
        forward_only_checkpoints: false,
        ..Rules::ALL
    };
    assert_violation(CONCURRENT_EDITS, rules, "went back");
}

#[test]
fn explore_without_gap_check() {
    let rules = Rules {
        gap_check: false,
        ..Rules::ALL
    };
    assert_violation(CONCURRENT_EDITS, rules, "differs from the log");
}

#[test]
fn explore_without_majority() {
    let rules = Rules {
        majority: false,
        ..Rules::ALL
    };
    assert_violation(REPLACEMENTS, rules, "behind the majority head");
}

#[test]
fn explore_without_voters_only() {
    let rules = Rules {
        voters_only: false,
        ..Rules::ALL
    };
    assert_violation(REPLACEMENTS, rules, "behind the majority head");
}

#[test]
fn explore_without_confirmed_after_start() {
    let rules = Rules {
        confirmed_after_start: false,
        ..Rules::ALL
    };
    assert_violation(REPLACEMENTS, rules, "behind the majority head");
}
