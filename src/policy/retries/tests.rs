use super::*;

#[test]
fn budget_refills_with_arrivals_up_to_its_maximum() {
    let mut budget = RetryBudget::default();
    for _ in 0..20 {
        assert!(budget.try_spend(1.0));
    }
    assert!(!budget.try_spend(1.0), "all is spent");
    assert!(
        budget.try_spend(0.0),
        "a retry without cost needs no budget"
    );
    for _ in 0..1_000 {
        budget.deposit();
    }
    assert_eq!(budget.retries, MAX_BUDGET);
}
