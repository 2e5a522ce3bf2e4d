//! Policies between their own type and that of the calls.

use std::collections::{BTreeMap, BTreeSet};

use azuregate::operators::convert;
use azuregate_core::{
    names::{BackendId, ServiceName, ZoneName},
    policy::{Cap, Policy, Shares, Shift, WHOLE_PPM},
    time::Millis,
};
use proptest::prelude::*;

fn shares() -> impl Strategy<Value = Shares> {
    prop_oneof![
        Just(BTreeMap::new()),
        (0..=WHOLE_PPM, "[a-z]{1,8}-a", "[a-z]{1,8}-b").prop_map(|(ppm, a, b)| {
            [(ZoneName::new(&a), ppm), (ZoneName::new(&b), WHOLE_PPM - ppm)].into()
        }),
    ]
}

fn cap() -> impl Strategy<Value = Cap> {
    (1..=WHOLE_PPM, 1..u64::MAX).prop_map(|(share_ppm, window_ms)| Cap { share_ppm, window_ms })
}

fn shift() -> impl Strategy<Value = Shift> {
    (shares(), shares(), any::<u64>(), cap()).prop_map(|(from, to, start, cap)| Shift {
        from_share_ppm: from,
        to_share_ppm: to,
        start_at_ms: Millis(start),
        cap,
    })
}

prop_compose! {
    fn policy()(
        service in "[a-z0-9.-]{1,63}",
        version in any::<u64>(),
        operation_id in "[a-z0-9]{0,20}",
        zone_share_ppm in shares(),
        cap in cap(),
        shift in prop::option::of(shift()),
        drains in prop::collection::btree_set("[a-z0-9-]{1,20}", 0..5),
        times in (any::<u64>(), 1..u64::MAX, any::<u64>()),
    ) -> Policy {
        let drains: BTreeSet<_> = drains.iter().map(|id| BackendId::new(id)).collect();
        let (shift_delay_ms, timeout_ms, queue_ms) = times;
        Policy {
            service: ServiceName::new(&service),
            version,
            operation_id,
            zone_share_ppm,
            cap,
            shift,
            shift_delay_ms,
            drains,
            timeout_ms,
            queue_ms,
        }
    }
}

proptest! {
    #[test]
    fn a_policy_survives_the_round_trip(policy in policy()) {
        prop_assert_eq!(convert::from_proto(convert::to_proto(&policy)), Ok(policy));
    }

    #[test]
    fn arbitrary_policies_never_panic(
        service in any::<String>(),
        drains in prop::collection::vec(any::<String>(), 0..3),
        shares in prop::collection::btree_map(any::<String>(), any::<u32>(), 0..3),
        cap in prop::option::of((any::<u32>(), any::<u64>())),
        timeout_ms in any::<u64>(),
    ) {
        let cap = cap.map(|(share_ppm, window_ms)| azuregate_schema::v1::Cap { share_ppm, window_ms });
        let _ = convert::from_proto(azuregate_schema::v1::Policy {
            service, drains, cap, timeout_ms, zone_share_ppm: shares,
            ..azuregate_schema::v1::Policy::default()
        });
    }
}
