use std::time::Duration;

use super::{CALL_INTERVAL, HOLD_LIMIT, SUSPENSION_DELAY, SuspensionGuard};
use crate::time::Timestamp;

fn suspended() -> (SuspensionGuard<u32>, Timestamp) {
    let mut guard = SuspensionGuard::new(Timestamp::ZERO);
    let now = Timestamp::ZERO + CALL_INTERVAL + SUSPENSION_DELAY;
    assert!(guard.observe(now));
    (guard, now)
}

#[test]
fn a_loop_that_is_called_in_time_was_not_suspended() {
    let mut guard: SuspensionGuard<u32> = SuspensionGuard::new(Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    for _ in 0..100 {
        now = now + CALL_INTERVAL + SUSPENSION_DELAY.mul_f64(0.99);
        assert!(!guard.observe(now));
        assert_eq!(guard.admit(1), Some(1));
    }
}

#[test]
fn commands_after_a_suspension_wait_in_order_for_the_confirmation() {
    let (mut guard, now) = suspended();
    assert_eq!(guard.admit(1), None);
    assert_eq!(guard.admit(2), None);
    assert!(guard.expire(now + HOLD_LIMIT.mul_f64(0.9)).is_empty());
    assert_eq!(guard.confirm(), [1, 2]);
    assert_eq!(guard.admit(3), Some(3));
}

#[test]
fn commands_are_not_held_for_ever() {
    let (mut guard, now) = suspended();
    assert_eq!(guard.admit(1), None);
    let wake = guard.wake(Timestamp::NEVER, now);
    assert!(wake <= now + HOLD_LIMIT);
    assert_eq!(guard.expire(now + HOLD_LIMIT), [1]);
    assert!(!guard.is_holding());
}

#[test]
fn a_second_suspension_extends_the_hold() {
    let (mut guard, now) = suspended();
    assert_eq!(guard.admit(1), None);
    let later = now + Duration::from_secs(60);
    assert!(guard.observe(later));
    assert!(guard.expire(later).is_empty());
    assert_eq!(guard.confirm(), [1]);
}
