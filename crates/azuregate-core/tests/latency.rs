//! The threshold from which an answer counts as late.

use azuregate_core::latency::LatencyEstimator;

#[test]
fn late_threshold_by_recorded_times() {
    let cases: &[(&[u64], Option<u64>)] = &[
        // No estimate before the first answer.
        (&[], None),
        // The lower limit of the threshold applies.
        (&[1, 1, 1], Some(50)),
        (&[100], Some(600)),
        // Steady times narrow the deviation.
        (&[100; 50], Some(100)),
    ];
    for (taken_ms, late_threshold_ms) in cases {
        let mut estimator = LatencyEstimator::default();
        for taken_ms in *taken_ms {
            estimator.record(*taken_ms);
        }
        assert_eq!(estimator.late_threshold_ms(), *late_threshold_ms, "{taken_ms:?}");
    }
}

// Guards against aborting and repeating reads that are merely slow: with exponential
// service times, at most 1 in 200 may count as late.
#[test]
fn slow_answers_are_rarely_late() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut estimator = LatencyEstimator::default();
    let (count, mut late) = (20_000, 0);
    for _ in 0..count {
        let taken_ms = (-(1.0 - rng.f64()).ln() * 20.0) as u64;
        late += u64::from(estimator.late_threshold_ms().is_some_and(|limit| taken_ms > limit));
        estimator.record(taken_ms);
    }
    assert!(late <= count / 200, "{late} of {count} are late");
}
