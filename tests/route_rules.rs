//! Which route and service a request goes to.

use std::time::Duration;

use bramleyseam::decide::routes::{CallerLimits, Route, RouteKind, RouteTable, Rules, Share};
use quickcheck::quickcheck;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Streaming,
        timeout: Duration::from_secs(5),
        goal: Duration::from_millis(300),
        shares: vec![Share {
            service: 1,
            weight: 1.0,
        }],
        public: false,
        priority: 0,
        attempts_max: 2,
        resumable: true,
        due: Duration::from_secs(18),
        retention: Duration::from_secs(60),
        waiting_tokens_max: None,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(Rules {
        version: 1,
        routes,
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        workspaces: None,
    })
}

#[test]
fn longest_prefix() {
    let table = table(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);
    let name = |host, path| table.find(host, path).map(|route| &*route.name);
    assert_eq!(name("a.example", "/x/y/1"), Some("long"));
    assert_eq!(name("a.example", "/x/1"), Some("short"));
    assert_eq!(name("b.example", "/x/y/z/1"), Some("other"));
    // The prefix ends with a slash: a longer path segment does not match.
    assert_eq!(name("a.example", "/xx/1"), None);
    assert_eq!(name("c.example", "/x/1"), None);
}

#[test]
fn what_repeats() {
    let plain = route("r", "a.example", "/");
    let kind = |kind, resumable| {
        Route {
            kind,
            resumable,
            ..plain.clone()
        }
        .repeatable()
    };
    assert!(kind(RouteKind::Idempotent, false));
    assert!(!kind(RouteKind::NonIdempotent, true));
    assert!(kind(RouteKind::Streaming, true));
    assert!(!kind(RouteKind::Streaming, false));
    assert!(kind(RouteKind::Batch, false));
}

quickcheck! {
    // With evenly spaced draws each service gets its share by weight, within one draw.
    fn split_by_weight(weights: Vec<u8>) -> bool {
        let weights: Vec<u8> = weights.into_iter().take(5).collect();
        let total: u32 = weights.iter().map(|weight| u32::from(*weight)).sum();
        if total == 0 {
            return true;
        }
        let shares = weights.iter().enumerate();
        let route = Route {
            shares: shares
                .map(|(at, weight)| Share { service: at as u64, weight: f64::from(*weight) })
                .collect(),
            ..route("r", "a.example", "/")
        };
        let draws = total * 4;
        let mut counts = vec![0u32; weights.len()];
        for draw in 0..draws {
            let at = route.pick((f64::from(draw) + 0.5) / f64::from(draws));
            counts[at as usize] += 1;
        }
        counts
            .iter()
            .zip(&weights)
            .all(|(count, weight)| count.abs_diff(u32::from(*weight) * 4) <= 1)
    }
}
