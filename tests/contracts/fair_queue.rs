use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

use bergamotfork::contracts::BranchKey;
use bergamotfork::contracts::BranchShare;
use bergamotfork::contracts::FairQueue;
use bergamotfork::contracts::FinishedRequest;
use bergamotfork::contracts::PopOutcome;
use bergamotfork::contracts::PushOutcome;
use bergamotfork::contracts::QueueLimits;
use bergamotfork::contracts::QueueRefusal;
use bergamotfork::contracts::QueuedRequest;

const FAR_DEADLINE_MS: u64 = 1_000_000;
const MAX_COST_TOKENS: u64 = 100;

fn queue(slots: u32) -> FairQueue<u32> {
    FairQueue::new(QueueLimits {
        slots,
        reserved_slots: 0,
        max_waiting_per_branch: 1000,
        max_waiting: 2000,
    })
}

fn share(branch: &str, weight: u32, burst_percent: u32) -> BranchShare {
    BranchShare {
        branch: branch.to_owned(),
        weight,
        burst_percent,
    }
}

fn request(branch: BranchKey, cost_tokens: u64) -> QueuedRequest<u32> {
    QueuedRequest {
        branch,
        cost_tokens,
        deadline_ms: FAR_DEADLINE_MS,
        item: 0,
    }
}

fn pop_running(queue: &mut FairQueue<u32>) -> Option<QueuedRequest<u32>> {
    match queue.pop(0) {
        PopOutcome::Run(request) => Some(request),
        PopOutcome::Nothing => None,
        PopOutcome::Expired { request, .. } => panic!("{request:?} has not expired"),
    }
}

fn finish(queue: &mut FairQueue<u32>, done: &QueuedRequest<u32>, held_ms: Option<u64>) {
    queue.finish(FinishedRequest {
        branch: done.branch,
        cost_tokens: done.cost_tokens,
        used_tokens: done.cost_tokens,
        held_ms,
    });
}

/// While two branches both have requests waiting, their tokens served over weight differ
/// by at most one request of each (start-time fair queueing, Goyal et al. 1996).
#[test]
fn pop_backlogged_branches_get_their_shares() {
    arbtest(|u: &mut Unstructured<'_>| {
        let mut queue = queue(1);
        let weights = [u.int_in_range(1..=10)?, u.int_in_range(1..=10)?];
        let keys = [
            queue.set_share(share("a", weights[0], 100)),
            queue.set_share(share("b", weights[1], 100)),
        ];
        let mut served = [0; 2];
        for _ in 0..200 {
            for key in keys {
                let cost = u.int_in_range(1..=MAX_COST_TOKENS)?;
                assert_eq!(queue.push(request(key, cost), 0), PushOutcome::Queued);
            }
            let next = pop_running(&mut queue).expect("both branches wait");
            let branch = usize::from(next.branch == keys[1]);
            served[branch] += next.cost_tokens * 1000 / u64::from(weights[branch]);
            finish(&mut queue, &next, None);
            let bound = MAX_COST_TOKENS * 1000 / u64::from(weights[0].min(weights[1])) * 2;
            assert!(served[0].abs_diff(served[1]) <= bound, "{served:?}");
        }
        Ok(())
    });
}

/// No slot stays free while a request waits, also with burst limits.
#[test]
fn pop_is_work_conserving() {
    arbtest(|u: &mut Unstructured<'_>| {
        let mut queue = queue(4);
        let names = ["a", "b", "c"];
        let bursts = [10, 50, 100];
        let keys: Vec<BranchKey> = (0..3)
            .map(|i| queue.set_share(share(names[i], 1, bursts[i])))
            .collect();
        let mut running = Vec::new();
        for _ in 0..100 {
            if u.arbitrary()? {
                let key = *u.choose(&keys)?;
                queue.push(request(key, u.int_in_range(1..=MAX_COST_TOKENS)?), 0);
            } else if let Some(done) = running.pop() {
                finish(&mut queue, &done, None);
            }
            while let Some(next) = pop_running(&mut queue) {
                running.push(next);
            }
            assert_eq!(queue.running() as usize, running.len());
            assert!(queue.running() == 4 || queue.waiting() == 0);
        }
        Ok(())
    });
}

#[test]
fn pop_idle_branch_gets_no_credit() {
    let mut queue = queue(1);
    let busy = queue.set_share(share("busy", 1, 100));
    let idle = queue.set_share(share("idle", 1, 100));
    for _ in 0..50 {
        queue.push(request(busy, 10), 0);
        let next = pop_running(&mut queue).expect("a request waits");
        finish(&mut queue, &next, None);
    }
    for _ in 0..10 {
        queue.push(request(busy, 10), 0);
        queue.push(request(idle, 10), 0);
    }
    let mut idle_runs = 0;
    for _ in 0..10 {
        let next = pop_running(&mut queue).expect("a request waits");
        idle_runs += u32::from(next.branch == idle);
        finish(&mut queue, &next, None);
    }
    assert!((4..=6).contains(&idle_runs), "{idle_runs}");
}

#[test]
fn pop_burst_limit_holds_while_others_wait() {
    let mut queue = queue(4);
    let capped = queue.set_share(share("capped", 100, 50));
    let other = queue.set_share(share("other", 1, 100));
    for _ in 0..4 {
        queue.push(request(capped, 10), 0);
        queue.push(request(other, 10), 0);
    }
    let running: Vec<_> = std::iter::from_fn(|| pop_running(&mut queue)).collect();
    let capped_runs = running.iter().filter(|it| it.branch == capped).count();
    assert_eq!((running.len(), capped_runs), (4, 2));
}

#[test]
fn pop_reserved_slot_goes_to_branch_below_its_share() {
    let mut queue = FairQueue::new(QueueLimits {
        slots: 8,
        reserved_slots: 1,
        max_waiting_per_branch: 100,
        max_waiting: 100,
    });
    let bursting = queue.set_share(share("bursting", 1, 100));
    let quiet = queue.set_share(share("quiet", 1, 100));
    for _ in 0..20 {
        queue.push(request(bursting, 10), 0);
    }
    let running: Vec<_> = std::iter::from_fn(|| pop_running(&mut queue)).collect();
    assert_eq!(running.len(), 7);
    queue.push(request(quiet, 10), 0);
    let next = pop_running(&mut queue).expect("the reserved slot is free");
    assert_eq!(next.branch, quiet);
}

#[test]
fn push_full_branch_does_not_block_others() {
    let mut queue = FairQueue::new(QueueLimits {
        slots: 1,
        reserved_slots: 0,
        max_waiting_per_branch: 2,
        max_waiting: 3,
    });
    let a = queue.set_share(share("a", 1, 100));
    let b = queue.set_share(share("b", 1, 100));
    let c = queue.set_share(share("c", 1, 100));
    queue.push(request(a, 1), 0);
    queue.push(request(a, 1), 0);
    assert_eq!(
        refusal(queue.push(request(a, 1), 0)),
        QueueRefusal::BranchQueueFull
    );
    assert_eq!(queue.push(request(b, 1), 0), PushOutcome::Queued);
    assert_eq!(
        refusal(queue.push(request(c, 1), 0)),
        QueueRefusal::QueueFull
    );
}

fn refusal(pushed: PushOutcome<u32>) -> QueueRefusal {
    match pushed {
        PushOutcome::Refused { reason, .. } => reason,
        PushOutcome::Queued => panic!("the request was queued"),
    }
}

/// With one slot and 10 ms per token, three requests of 100 tokens take 3 s.
#[test]
fn push_unreachable_deadline_is_refused() {
    let mut queue = queue(1);
    let a = queue.set_share(share("a", 1, 100));
    queue.push(request(a, 100), 0);
    let first = pop_running(&mut queue).expect("a request waits");
    finish(&mut queue, &first, Some(1000));
    queue.push(request(a, 100), 0);
    pop_running(&mut queue).expect("a request waits");
    queue.push(request(a, 100), 0);
    queue.push(request(a, 100), 0);
    let mut near = request(a, 100);
    near.deadline_ms = 2500;
    let PushOutcome::Refused {
        reason,
        retry_after_ms,
        ..
    } = queue.push(near, 0)
    else {
        panic!("the deadline cannot be met");
    };
    assert_eq!(reason, QueueRefusal::DeadlineTooNear);
    assert_eq!(retry_after_ms, 2000);
}

/// An idle engine gets requests even when its estimated time exceeds their deadlines, so
/// that the estimate recovers after the engine was slow.
#[test]
fn push_idle_endpoint_accepts_after_slow_request() {
    let mut queue = queue(1);
    let a = queue.set_share(share("a", 1, 100));
    queue.push(request(a, 100), 0);
    let slow = pop_running(&mut queue).expect("a request waits");
    finish(&mut queue, &slow, Some(50_000));
    let near = |now_ms: u64| QueuedRequest {
        deadline_ms: now_ms + 2000,
        ..request(a, 100)
    };
    assert_eq!(queue.push(near(0), 0), PushOutcome::Queued);
    let probe = pop_running(&mut queue).expect("the engine is idle");
    assert_eq!(
        refusal(queue.push(near(0), 0)),
        QueueRefusal::DeadlineTooNear
    );
    finish(&mut queue, &probe, Some(1000));
    for _ in 0..20 {
        queue.push(near(0), 0);
        let next = pop_running(&mut queue).expect("the engine is idle");
        finish(&mut queue, &next, Some(1000));
    }
    queue.push(near(0), 0);
    pop_running(&mut queue).expect("the engine is idle");
    assert_eq!(queue.push(near(0), 0), PushOutcome::Queued);
}

#[test]
fn pop_expires_request_that_cannot_complete() {
    let mut queue = queue(1);
    let a = queue.set_share(share("a", 1, 100));
    queue.push(request(a, 100), 0);
    let first = pop_running(&mut queue).expect("a request waits");
    finish(&mut queue, &first, Some(1000));
    queue.push(request(a, 100), 0);
    pop_running(&mut queue).expect("a request waits");
    let mut near = request(a, 100);
    near.deadline_ms = 1500;
    assert_eq!(queue.latest_start_ms(&near), 500);
    assert_eq!(queue.push(near, 0), PushOutcome::Queued);
    assert_eq!(queue.pop(500), PopOutcome::Nothing);
    let PopOutcome::Expired { reason, .. } = queue.pop(501) else {
        panic!("the request cannot complete by its deadline");
    };
    assert_eq!(reason, QueueRefusal::DeadlineTooNear);
}

#[test]
fn withdraw_matching_removes_matching_requests() {
    let mut queue = queue(1);
    let a = queue.set_share(share("a", 1, 100));
    for item in 0..4 {
        queue.push(
            QueuedRequest {
                item,
                ..request(a, 5)
            },
            0,
        );
    }
    let withdrawn = queue.withdraw_matching(|&item| item % 2 == 0);
    assert_eq!(withdrawn.len(), 2);
    assert_eq!(queue.waiting(), 2);
}

/// Callers may ask for any number of tokens, and leave before they get them.
#[test]
fn pop_largest_costs_branches_alternate() {
    let mut queue = queue(1);
    let branches = [queue.ensure_branch("a"), queue.ensure_branch("b")];
    let cost_tokens = u64::from(u32::MAX) + 4_096;
    for branch in branches {
        queue.push(request(branch, cost_tokens), 0);
        queue.push(request(branch, cost_tokens), 0);
    }
    let mut runs = [0u32; 2];
    for _ in 0..10_000 {
        let running = pop_running(&mut queue).expect("the slot is free");
        runs[usize::from(running.branch == branches[1])] += 1;
        queue.push(request(running.branch, cost_tokens), 0);
        finish(&mut queue, &running, None);
    }
    assert!(runs[0].abs_diff(runs[1]) <= 2, "{runs:?}");
}
