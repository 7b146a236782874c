use std::time::Duration;

use super::fleet::address;
use crate::membership::LeavingVms;
use crate::protocol::{Vm, VmState};

const SECOND: Duration = Duration::from_secs(1);

fn vm(state: VmState) -> Vm {
    Vm {
        address: address(1, 9_000),
        zone: "ikeja".into(),
        state,
    }
}

#[test]
fn merge_hearsay_does_not_live_on() {
    let mut reader = LeavingVms::default();
    reader.observe(&[vm(VmState::Leaving)], SECOND);
    let mut one = LeavingVms::default();
    let mut two = LeavingVms::default();
    assert!(one.merge(&reader.tell(SECOND), SECOND));
    for second in 1..60 {
        let now = SECOND * second;
        two.merge(&one.tell(now), now);
        one.merge(&two.tell(now), now);
    }
    assert!(!one.contains(address(1, 9_000)) && !two.contains(address(1, 9_000)));
}

#[test]
fn observe_running_ends_leaving() {
    let mut reader = LeavingVms::default();
    reader.observe(&[vm(VmState::Leaving)], SECOND);
    assert!(reader.contains(address(1, 9_000)));
    reader.observe(&[vm(VmState::Running)], SECOND * 2);
    assert!(!reader.contains(address(1, 9_000)));
}
