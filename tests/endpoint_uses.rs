//! Sums of the other VMs' use of endpoints.

use std::time::Duration;

use bramleyseam::decide::usage::{EndpointUse, RemoteUse, Usage, USE_EXPIRES_AFTER};
use quickcheck::quickcheck;

const ENDPOINTS: u64 = 4;

/// One VM's report and its time.
struct UseReport {
    at: Duration,
    vm: u64,
    uses: Vec<(u64, EndpointUse)>,
}

/// Pause before the report, VM, and online and batch counts by endpoint.
type RandomReport = (u8, u8, Vec<(u16, u16)>);

/// Reference: the sum of each VM's last report.
fn expected_sum(reports: &[UseReport], now: Duration, endpoint: u64) -> RemoteUse {
    let mut sum = RemoteUse::default();
    for vm in 0..4 {
        let last = reports.iter().rev().find(|report| report.vm == vm);
        let current = last.filter(|report| now < report.at + USE_EXPIRES_AFTER);
        let uses = current.into_iter().flat_map(|report| &report.uses);
        for (_, one) in uses.filter(|(at, _)| *at == endpoint) {
            sum.online += u32::from(one.online);
            sum.batch += u32::from(one.batch);
            sum.urgent += u32::from(one.urgent);
            sum.online_vms += u32::from(one.online > 0);
        }
    }
    sum
}

// Guards against running sums that drift from the VMs' last reports as reports are replaced, lapse
// and come again: slots would be granted twice, or reserved for no VM.
quickcheck! {
    fn sums_hold(random_reports: Vec<RandomReport>) -> bool {
        let mut usage = Usage::default();
        let mut reports = Vec::new();
        let mut now = Duration::ZERO;
        for (pause, vm, counts) in random_reports {
            now += Duration::from_millis(u64::from(pause) * 8);
            let uses = counts.iter().take(ENDPOINTS as usize).enumerate();
            let uses: Vec<(u64, EndpointUse)> = uses
                .map(|(at, (online, batch))| {
                    let one = EndpointUse { online: *online, batch: *batch, urgent: batch / 2 };
                    (at as u64, one)
                })
                .collect();
            usage.tick(now);
            usage.apply_report(now, u64::from(vm % 4), uses.clone());
            reports.push(UseReport { at: now, vm: u64::from(vm % 4), uses });
            let sum_matches = |at| usage.total(at) == expected_sum(&reports, now, at);
            if !(0..ENDPOINTS).all(sum_matches) {
                return false;
            }
        }
        true
    }
}
