//! When an answer is late.

use azuregate_core::late::UsualTime;

#[test]
fn an_answer_is_late_well_past_the_usual_time() {
    let cases: &[(&[u64], Option<u64>)] = &[
        // Nothing is usual before the first answer.
        (&[], None),
        // Below the floor, scheduling is all that differs.
        (&[1, 1, 1], Some(50)),
        (&[100], Some(300)),
        // Steady answers narrow it down.
        (&[100; 50], Some(100)),
    ];
    for (taken_ms, late_after_ms) in cases {
        let mut usual = UsualTime::default();
        for taken_ms in *taken_ms {
            usual.record(*taken_ms);
        }
        assert_eq!(usual.late_after_ms(), *late_after_ms, "{taken_ms:?}");
    }
}
