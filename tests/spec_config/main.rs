//! Specification of the configuration protocol, explored in all states within
//! bounds: two editors race on one section, replies are lost and edits are sent
//! again, one checkpoint is published, the log is trimmed at any offset, hosts
//! are replaced, and entries read the log or one another at any time. A log
//! outage is any run in which nothing reads the log.
//!
//! The states hold the product's own `Follower` and `Fold`. Each protective rule
//! is then removed in turn, and the exploration must find a violation.

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

/// One editor sends again after a lost reply; one host is replaced.
const RACE: Bounds = Bounds {
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

/// States explored and the first violation found.
fn explore(bounds: Bounds, rules: Rules) -> (usize, Option<String>) {
    let found = Rc::new(RefCell::new(None));
    let seen = Rc::clone(&found);
    let states = bfs_reach(State::start(bounds), move |state: &State| {
        if seen.borrow().is_some() {
            return Vec::new();
        }
        let next = state.successors(rules);
        let broken = next.iter().find_map(|next| violation(state, next));
        *seen.borrow_mut() = broken;
        next
    })
    .count();
    let violation = found.borrow().clone();
    (states, violation)
}

#[track_caller]
fn assert_found(bounds: Bounds, rules: Rules, expected: &str) {
    let (_, violation) = explore(bounds, rules);
    let violation = violation.expect("the rule protects nothing");
    assert!(violation.contains(expected), "{violation}");
}

#[track_caller]
fn assert_holds(bounds: Bounds) {
    let (states, violation) = explore(bounds, Rules::ALL);
    println!("{states} states within {bounds:?}");
    assert_eq!(violation, None);
    assert!(states > 10_000, "the bounds leave only {states} states");
}

#[test]
fn explore_racing_editors() {
    assert_holds(RACE);
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
    assert_found(RACE, rules, "one base");
}

#[test]
fn explore_without_edit_memory() {
    let rules = Rules {
        edit_memory: false,
        ..Rules::ALL
    };
    assert_found(RACE, rules, "two outcomes");
}

#[test]
fn explore_without_adopt_forward_only() {
    let rules = Rules {
        adopt_forward_only: false,
        ..Rules::ALL
    };
    assert_found(RACE, rules, "went back");
}

#[test]
fn explore_without_gap_check() {
    let rules = Rules {
        gap_check: false,
        ..Rules::ALL
    };
    assert_found(RACE, rules, "differs from the log");
}

#[test]
fn explore_without_majority() {
    let rules = Rules {
        majority: false,
        ..Rules::ALL
    };
    assert_found(REPLACEMENTS, rules, "was in force");
}

#[test]
fn explore_without_voters_only() {
    let rules = Rules {
        voters_only: false,
        ..Rules::ALL
    };
    assert_found(REPLACEMENTS, rules, "was in force");
}

#[test]
fn explore_without_confirmed_after_start() {
    let rules = Rules {
        confirmed_after_start: false,
        ..Rules::ALL
    };
    assert_found(REPLACEMENTS, rules, "was in force");
}
