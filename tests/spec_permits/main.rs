//! The life of one permit, explored in all states.
//!
//! Two entries, up to three sends, two restarts (of the endpoint, of an entry,
//! or the turn of an epoch), a doubled message, and any message lost or late,
//! within the bounds named below.
//! A copy of a send outlives its connection only while the send is unanswered,
//! as HTTP clients resend nothing else by themselves.
//! The model drives the permit table, the dispatch ledger and the verdict of the
//! product. Each protective rule is then taken out in turn, and the exploration
//! must find a violation.

mod fixture;
mod messages;
mod rules;
mod world;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::bfs::bfs_reach;

use crate::rules::Bounds;
use crate::rules::Rule;
use crate::world::World;

/// Resends by one caller, over restarts.
const RESENT: Bounds = bounds(3, 2, 0, 1);

/// Resends with a doubled message and no question for the nonce.
const DOUBLED: Bounds = bounds(3, 2, 1, 0);

/// Questions for the nonce, with a doubled message.
const ASKED: Bounds = bounds(2, 2, 1, 2);

const fn bounds(sends: u32, restarts: u32, doubled: u32, questions: u32) -> Bounds {
    Bounds {
        sends,
        restarts,
        doubled,
        questions,
    }
}

fn assert_holds(bounds: Bounds) {
    let mut states = 0;
    for state in bfs_reach(World::new(None, bounds), World::successors) {
        states += 1;
        assert!(!state.is_violated(), "violated: {state:?}");
    }
    println!("{states} states hold within {bounds:?}");
    assert!(states > 100_000, "only {states} states were reached");
}

#[test]
fn explore_resent() {
    assert_holds(RESENT);
}

#[test]
fn explore_doubled() {
    assert_holds(DOUBLED);
}

#[test]
fn explore_asked() {
    assert_holds(ASKED);
}

/// Looks for a violation within the bounds in which all rules together hold.
fn is_violated_without(rule: Rule) -> bool {
    [RESENT, DOUBLED, ASKED].into_iter().any(|bounds| {
        let start = World::new(Some(rule), bounds);
        bfs(&start, World::successors, World::is_violated).is_some()
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
    explore_without_send_one SendOne;
    explore_without_latest_send LatestSend;
    explore_without_count_at_answer CountAtAnswer;
    explore_without_incarnation Incarnation;
    explore_without_epoch Epoch;
    explore_without_issued_here IssuedHere;
    explore_without_fresh_connection FreshConnection;
    explore_without_asked_apart AskedApart;
    explore_without_closed_at_entry ClosedAtEntry;
}
