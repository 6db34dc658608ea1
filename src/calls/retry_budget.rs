/// Balance that one retry takes, in permille of a retry.
const PERMILLE_PER_RETRY: u64 = 1000;

/// Bounds retries to a share of the requests of each branch.
///
/// Each new request adds a fraction of a retry to the balance of its branch, and
/// each retry takes a full one from it, so retries cannot outgrow the requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    ratio_permille: u64,
    max_balance_permille: u64,
    /// Sorted by the name of the branch.
    branches: Vec<BranchBudget>,
}

/// Retries that one branch has left.
#[derive(Debug, Clone)]
struct BranchBudget {
    branch: String,
    // Thousandths of a retry.
    balance_permille: u64,
}

impl RetryBudget {
    /// Allows `ratio_permille` retries for every thousand requests of a branch, and
    /// at most `burst` of them at once.
    pub fn new(ratio_permille: u32, burst: u32) -> Self {
        Self {
            ratio_permille: u64::from(ratio_permille),
            max_balance_permille: u64::from(burst) * PERMILLE_PER_RETRY,
            branches: Vec::new(),
        }
    }

    /// Counts a new request of `branch`.
    pub fn count_request(&mut self, branch: &str) {
        let (ratio_permille, max_balance_permille) =
            (self.ratio_permille, self.max_balance_permille);
        let budget = self.branch_budget(branch);
        budget.balance_permille =
            (budget.balance_permille + ratio_permille).min(max_balance_permille);
    }

    /// Takes one retry from the balance of `branch`; returns false if there is none left.
    pub fn try_retry(&mut self, branch: &str) -> bool {
        let budget = self.branch_budget(branch);
        let is_allowed = budget.balance_permille >= PERMILLE_PER_RETRY;
        if is_allowed {
            budget.balance_permille -= PERMILLE_PER_RETRY;
        }
        is_allowed
    }

    /// Budget of `branch`, created if there is none.
    fn branch_budget(&mut self, branch: &str) -> &mut BranchBudget {
        let found = self
            .branches
            .binary_search_by(|budget| budget.branch.as_str().cmp(branch));
        let at = found.unwrap_or_else(|at| {
            // A new branch starts with a full balance, so that its first requests may be retried.
            let budget = BranchBudget {
                branch: branch.to_owned(),
                balance_permille: self.max_balance_permille,
            };
            self.branches.insert(at, budget);
            at
        });
        &mut self.branches[at]
    }
}
