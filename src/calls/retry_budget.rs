/// Thousandths of a retry in one retry.
const RETRY: u64 = 1000;

/// Bounds retries to a share of the requests of each branch.
///
/// Each new request adds a part of a retry to its branch and each retry takes a
/// whole one, so that retries cannot grow faster than the requests do.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio_permille: u64,
    max_saved: u64,
    /// Sorted by the name of the branch.
    branches: Vec<BranchBudget>,
}

#[derive(Debug, Clone)]
struct BranchBudget {
    branch: String,
    saved: u64,
}

impl RetryBudget {
    /// Allows `ratio_permille` retries for every thousand requests of a branch and
    /// at most `burst` at once.
    pub fn new(ratio_permille: u32, burst: u32) -> Self {
        Self {
            ratio_permille: u64::from(ratio_permille),
            max_saved: u64::from(burst) * RETRY,
            branches: Vec::new(),
        }
    }

    /// Counts a new request of `branch`.
    pub fn request(&mut self, branch: &str) {
        let (ratio_permille, max_saved) = (self.ratio_permille, self.max_saved);
        let budget = self.budget(branch);
        budget.saved = (budget.saved + ratio_permille).min(max_saved);
    }

    /// Takes a retry of `branch`; false when it has none left.
    pub fn try_retry(&mut self, branch: &str) -> bool {
        let budget = self.budget(branch);
        let allowed = budget.saved >= RETRY;
        if allowed {
            budget.saved -= RETRY;
        }
        allowed
    }

    fn budget(&mut self, branch: &str) -> &mut BranchBudget {
        let found = self
            .branches
            .binary_search_by(|budget| budget.branch.as_str().cmp(branch));
        let at = found.unwrap_or_else(|at| {
            // A few retries are allowed before the first requests have been counted.
            let budget = BranchBudget {
                branch: branch.to_owned(),
                saved: self.max_saved,
            };
            self.branches.insert(at, budget);
            at
        });
        &mut self.branches[at]
    }
}
