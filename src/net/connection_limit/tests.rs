//! Shares of the connection limit, and waiting for a permit.

use super::*;

#[test]
fn allowance_is_an_equal_share_of_the_limit() {
    for (descriptors, hubs, expected) in [
        (256, 24, 2),
        (256, 48, 2),
        (256, 49, 1),
        (256, 96, 1),
        (256, 97, 0),
        (1024, 240, 2),
        (1024, 300, 1),
        (64, 16, 1),
        (64, 17, 0),
    ] {
        let limit = ConnectionLimit::new(descriptors);
        let links: Vec<LinkHandle> = (0..hubs).map(|_| limit.register_link()).collect();
        assert_eq!(links[0].allowance(2), expected, "{descriptors} descriptors, {hubs} hubs");
    }
}

#[tokio::test(start_paused = true)]
async fn released_permit_goes_to_a_waiting_dial_and_cancelled_waiters_are_not_counted() {
    let limit = ConnectionLimit::new(16);
    let link = limit.register_link();
    let mut permits = Vec::new();
    for _ in 0..4 {
        assert!(!link.is_exhausted());
        permits.push(link.acquire(false).await.expect("a permit"));
    }
    assert!(link.is_exhausted() && !link.has_waiters());
    let is_exhausted =
        |result: io::Result<ConnectionPermit>| result.err().map(|e| e.kind()) == Some(DESCRIPTORS_EXHAUSTED);
    assert!(is_exhausted(link.acquire(false).await), "a dial that no call depends on does not wait");
    let begun = tokio::time::Instant::now();
    assert!(is_exhausted(link.acquire(true).await) && begun.elapsed() >= ACQUIRE_TIMEOUT);
    assert!(!link.has_waiters(), "a dial that timed out no longer waits");
    let waiting = tokio::spawn(link.acquire(true));
    tokio::task::yield_now().await;
    assert!(link.has_waiters());
    permits.pop();
    let permit = waiting.await.expect("completed").expect("the released permit");
    assert!(link.is_exhausted() && !link.has_waiters());
    let cancelled = tokio::spawn(link.acquire(true));
    tokio::task::yield_now().await;
    assert!(link.has_waiters());
    cancelled.abort();
    assert!(cancelled.await.is_err() && !link.has_waiters());
    drop((permit, permits));
    assert!(!link.is_exhausted());
}
