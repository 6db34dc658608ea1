use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use bergamotfork::contracts::BranchKey;
use bergamotfork::contracts::BranchShare;
use bergamotfork::contracts::FairQueue;
use bergamotfork::contracts::FinishedRequest;
use bergamotfork::contracts::PopOutcome;
use bergamotfork::contracts::QueueLimits;
use bergamotfork::contracts::QueuedRequest;

const SLOTS: u32 = 32;
const SERVICE_MS: u64 = 460;
const COST_TOKENS: u64 = 40;
const USED_TOKENS: u64 = 8;
const END_MS: u64 = 30_000;

/// Simulated endpoint whose first branch always has requests waiting.
struct Endpoint {
    queue: FairQueue<u64>,
    branches: Vec<BranchKey>,
    /// Branch and end time of each running request, in ms.
    running: Vec<(BranchKey, u64)>,
    /// Waiting times of requests of the branches that stay within their shares.
    waits_ms: Vec<u64>,
    random: Pcg64Mcg,
}

impl Endpoint {
    fn new() -> Self {
        let mut queue = FairQueue::new(QueueLimits {
            slots: SLOTS,
            reserved_slots: 1,
            max_waiting_per_branch: 64,
            max_waiting: 256,
        });
        let share = |name: &str| BranchShare {
            branch: name.to_owned(),
            weight: 1,
            burst_percent: 100,
        };
        let names = ["bursting", "a", "b", "c"];
        let branches = names.map(|name| queue.set_share(share(name)));
        Self {
            queue,
            branches: branches.to_vec(),
            running: Vec::new(),
            waits_ms: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(11),
        }
    }

    fn push(&mut self, branch: usize, now_ms: u64) {
        let request = QueuedRequest {
            branch: self.branches[branch],
            cost_tokens: COST_TOKENS,
            deadline_ms: u64::MAX,
            item: now_ms,
        };
        self.queue.push(request, now_ms);
    }

    fn step(&mut self, now_ms: u64) {
        let (ended, running) = self
            .running
            .iter()
            .partition(|(_, end_ms)| *end_ms <= now_ms);
        self.running = running;
        let ended: Vec<(BranchKey, u64)> = ended;
        for (branch, _) in ended {
            self.queue.finish(FinishedRequest {
                branch,
                cost_tokens: COST_TOKENS,
                used_tokens: USED_TOKENS,
                held_ms: Some(SERVICE_MS),
            });
        }
        while let PopOutcome::Run(next) = self.queue.pop(now_ms) {
            if next.branch != self.branches[0] {
                self.waits_ms.push(now_ms - next.item);
            }
            let service_ms = self.random.random_range(SERVICE_MS / 2..SERVICE_MS * 3 / 2);
            self.running.push((next.branch, now_ms + service_ms));
        }
    }
}

/// Branches that use 80% of their shares wait only shortly while another branch bursts,
/// although the estimated cost of requests is five times the actual one.
#[test]
fn pop_burst_does_not_delay_other_branches() {
    let mut endpoint = Endpoint::new();
    let arrivals_per_ms = f64::from(SLOTS) / SERVICE_MS as f64 * 0.2;
    let mut busy = 0;
    for now_ms in 0..END_MS {
        for branch in 1..4 {
            if endpoint.random.random_bool(arrivals_per_ms) {
                endpoint.push(branch, now_ms);
            }
        }
        while endpoint.queue.waiting() < 64 {
            endpoint.push(0, now_ms);
        }
        endpoint.step(now_ms);
        busy += u64::from(endpoint.queue.running());
    }
    endpoint.waits_ms.sort_unstable();
    let p95_ms = endpoint.waits_ms[endpoint.waits_ms.len() * 95 / 100];
    assert!(p95_ms <= 200, "{p95_ms} ms at the 95th percentile");
    let busy_percent = busy * 100 / (END_MS * u64::from(SLOTS));
    assert!(busy_percent >= 95, "{busy_percent}% busy");
}
