//! Endpoints that only items use are back in use soon after single failures.

use std::time::Duration;

use bramleyseam::decide::endpoints::EJECT_FAILURES;
use bramleyseam::decide::online::Online;
use bramleyseam::decide::retry::AttemptStage;
use bramleyseam::standin::table::endpoint_configs;
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// An item that nobody runs for so long while slots are free counts as lost.
const IDLE_MAX: Duration = Duration::from_secs(5);
const FAILURE_INTERVAL: Duration = Duration::from_secs(60);
const ITEM_TIME: Duration = Duration::from_secs(2);
const FAILURES: u32 = 8;

// Items that complete did not end a row of failures: each single failure, minutes apart, ejected the
// endpoint for twice as long as the one before, and items waited up to 30 s for it.
#[test]
fn failures_far_apart() {
    let mut longest = Duration::ZERO;
    for shares_evidence in [false, true] {
        let mut online = Online::new(0, SmallRng::seed_from_u64(3));
        online
            .endpoints
            .configure(endpoint_configs(3, 1, 7.0, |_| 1));
        online
            .evidence
            .set_enabled(shares_evidence, &mut online.endpoints);
        let endpoint = online.endpoints.rows[0].id;
        for failure in 1..=EJECT_FAILURES + FAILURES {
            let failed_at = FAILURE_INTERVAL * failure;
            online.item_run_failed(failed_at, endpoint, AttemptStage::MaybeSent);
            let usable = |at: &Duration| online.endpoints.rows[0].usable(*at);
            let steps = (0..600).map(|step| failed_at + Duration::from_millis(100) * step);
            let back_at = steps.clone().find(usable).unwrap_or(Duration::MAX);
            longest = longest.max(back_at - failed_at);
            // Then an item completes there every other second.
            let mut now = back_at;
            while now < failed_at + FAILURE_INTERVAL {
                online.item_succeeded(now, endpoint);
                online.evidence.tick(now, &mut online.endpoints);
                now += ITEM_TIME;
            }
        }
    }
    assert!(longest < IDLE_MAX, "{longest:?}");
}
