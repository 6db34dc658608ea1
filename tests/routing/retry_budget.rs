use arbtest::arbtest;

use bergamotfork::calls::RetryBudget;

#[test]
fn try_retry_stays_within_ratio() {
    arbtest(|u| {
        let mut budget = RetryBudget::new(80, 3);
        let (mut requests, mut retries) = (0, 0);
        for _ in 0..500 {
            if u.arbitrary()? {
                budget.count_request("a");
                requests += 1;
            } else {
                retries += u64::from(budget.try_retry("a"));
            }
            assert!(retries * 1000 <= requests * 80 + 3000);
        }
        Ok(())
    });
}

#[test]
fn try_retry_branches_are_independent() {
    let mut budget = RetryBudget::new(80, 1);
    assert!(budget.try_retry("a"));
    assert!(!budget.try_retry("a"));
    assert!(budget.try_retry("b"));
}
