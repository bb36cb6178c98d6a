use std::time::Duration;

use super::{HOLD_LIMIT, LEAP, PULSE, PauseGuard};
use crate::time::Timestamp;

fn paused() -> (PauseGuard<u32>, Timestamp) {
    let mut guard = PauseGuard::new(Timestamp::ZERO);
    let now = Timestamp::ZERO + PULSE + LEAP;
    assert!(guard.observe(now));
    (guard, now)
}

#[test]
fn a_loop_that_is_called_in_time_is_not_paused() {
    let mut guard: PauseGuard<u32> = PauseGuard::new(Timestamp::ZERO);
    let mut now = Timestamp::ZERO;
    for _ in 0..100 {
        now = now + PULSE + LEAP.mul_f64(0.99);
        assert!(!guard.observe(now));
        assert_eq!(guard.admit(1), Some(1));
    }
}

#[test]
fn commands_after_a_pause_wait_in_order_for_the_confirmation() {
    let (mut guard, now) = paused();
    assert_eq!(guard.admit(1), None);
    assert_eq!(guard.admit(2), None);
    assert!(guard.expire(now + HOLD_LIMIT.mul_f64(0.9)).is_empty());
    assert_eq!(guard.confirm(), [1, 2]);
    assert_eq!(guard.admit(3), Some(3));
}

#[test]
fn commands_are_not_held_for_ever() {
    let (mut guard, now) = paused();
    assert_eq!(guard.admit(1), None);
    let wake = guard.wake(Timestamp::NEVER, now);
    assert!(wake <= now + HOLD_LIMIT);
    assert_eq!(guard.expire(now + HOLD_LIMIT), [1]);
    assert!(!guard.is_holding());
}

#[test]
fn a_second_pause_holds_on() {
    let (mut guard, now) = paused();
    assert_eq!(guard.admit(1), None);
    let later = now + Duration::from_secs(60);
    assert!(guard.observe(later));
    assert!(guard.expire(later).is_empty());
    assert_eq!(guard.confirm(), [1]);
}
