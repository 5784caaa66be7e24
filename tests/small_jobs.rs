//! The record of a job whose results are read one by one, under competing writers.

use std::collections::HashSet;

use bramleyseam::decide::small_jobs::{
    body_parts, join_part, BodyPart, FinishedItem, Item, ItemOutcome, SmallJobRecord,
    BODY_PARTS_MAX, PART_BYTES_MAX, TEXT_BYTES_MAX,
};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn record(items: usize) -> SmallJobRecord {
    SmallJobRecord {
        id: "job".into(),
        host: "a.example".into(),
        route: "batch".into(),
        workspace: None,
        owner: 1,
        epoch: 1,
        created_ms: 0,
        due_ms: 18_000,
        retention_ms: 60_000,
        items: (0..items).map(|at| format!("item-{at}").into()).collect(),
        tokens: vec![100; items],
        body_parts: vec![0],
        body_part_bytes: Vec::new(),
        listed: Vec::new(),
        text_parts: 0,
        text_part_bytes: Vec::new(),
        failures: Vec::new(),
        cancelled: false,
        nonce: 1,
    }
}

fn finished(item: u32, text: &str) -> FinishedItem {
    FinishedItem {
        item,
        outcome: ItemOutcome::Completed,
        text: text.into(),
    }
}

// A record of another writer whose counts can't be counted on would end the task that runs jobs.
#[test]
fn counts_at_limits() {
    let good = SmallJobRecord {
        epoch: 7,
        text_parts: 5,
        failures: vec![(0, 2)],
        ..record(5)
    };
    assert!(good.is_consistent());
    let odd = [
        SmallJobRecord {
            epoch: u64::MAX,
            ..good.clone()
        },
        SmallJobRecord {
            text_parts: u32::MAX,
            ..good.clone()
        },
        SmallJobRecord {
            failures: vec![(0, u32::MAX)],
            ..good.clone()
        },
        SmallJobRecord {
            body_parts: vec![0; 100_000],
            ..good.clone()
        },
        record(201),
    ];
    assert!(odd.iter().all(|record| !record.is_consistent()));
}

#[test]
fn texts_found() {
    let mut record = record(5);
    let mut parts = Vec::new();
    for batch in [vec![3, 1], vec![0], vec![4, 2]] {
        let done: Vec<FinishedItem> = batch
            .iter()
            .map(|item| finished(*item, &format!("t{item}")))
            .collect();
        let listing = record.list(1, 1, &done, &[], 2).unwrap();
        record = listing.record;
        parts.extend(listing.parts);
    }
    assert!(record.complete());
    for (position, item) in [3, 1, 0, 4, 2].into_iter().enumerate() {
        let (part, place) = record.text_location(position).unwrap();
        let texts = &parts.iter().find(|(number, _)| *number == part).unwrap().1;
        assert_eq!(texts[place], format!("t{item}"));
        assert_eq!(record.listed[position].item, item);
    }
}

#[test]
fn large_texts_split() {
    let record = record(3);
    let text = "x".repeat(PART_BYTES_MAX / 2 + 1);
    let done: Vec<FinishedItem> = (0..3).map(|item| finished(item, &text)).collect();
    let listing = record.list(1, 1, &done, &[], 2).unwrap();
    assert_eq!(listing.parts.len(), 3);
    assert!(listing.record.complete());
}

// A record that fits the store when its job is accepted, and no more once results are listed, would
// never list them.
#[test]
fn grown_record() {
    let with_ids = |id_bytes: usize| SmallJobRecord {
        items: (0..200)
            .map(|at| format!("{at:0>id_bytes$}").into())
            .collect(),
        tokens: vec![u32::MAX; 200],
        body_parts: vec![199; BODY_PARTS_MAX],
        body_part_bytes: vec![u32::MAX; BODY_PARTS_MAX],
        ..record(200)
    };
    let sizes = [16, 1000, 3000, 3500, 3600, 4000];
    let fits: Vec<bool> = sizes.map(|size| with_ids(size).fits_value()).into();
    assert_eq!(fits[..2], [true, true]);
    assert!(!fits[5]);
    for (size, _) in sizes.iter().zip(&fits).filter(|(_, fits)| **fits) {
        let mut record = with_ids(*size);
        let failures: Vec<(u32, u32)> = (0..200).map(|item| (item, u32::MAX / 4)).collect();
        for item in 0..200 {
            let done = [finished(item, "x")];
            record = record.list(1, 1, &done, &failures, 2).unwrap().record;
            let encoded = serde_json::to_vec(&record).unwrap().len();
            assert!(encoded <= PART_BYTES_MAX, "{encoded} bytes");
        }
    }
}

// Readers take memory by these sizes; that of a part which another program wrote is not known.
#[test]
fn noted_sizes() {
    let text = "x".repeat(50_000);
    let done: Vec<FinishedItem> = (0..20).map(|item| finished(item, &text)).collect();
    let before = SmallJobRecord {
        text_parts: 1,
        ..record(20)
    };
    let listing = before.list(1, 1, &done, &[], 2).unwrap();
    let encoded = |texts: &Vec<String>| serde_json::to_vec(texts).unwrap().len();
    let sizes: Vec<usize> = listing
        .parts
        .iter()
        .map(|(_, texts)| encoded(texts))
        .collect();
    assert_eq!(sizes.len(), 2);
    let page_bytes = |record: &SmallJobRecord, after| record.page_bytes(after, usize::MAX);
    let record = listing.record;
    assert!((sizes[0] + sizes[1]..sizes[0] + sizes[1] + 4).contains(&page_bytes(&record, 0)));
    assert!((sizes[1]..sizes[1] + 2).contains(&page_bytes(&record, 19)));
    assert_eq!(page_bytes(&record, 20), 0);
    let unknown = SmallJobRecord {
        text_part_bytes: Vec::new(),
        ..record
    };
    assert_eq!(page_bytes(&unknown, 19), TEXT_BYTES_MAX);
}

// A part's size was the length of its texts, which grow up to six times when they are encoded, so that
// the store rejected it.
#[test]
fn encoded_size() {
    let record = record(40);
    for unit in ["\u{1}", "\"", "\\", "\u{1f600}", "x"] {
        let text = unit.repeat(50_000 / unit.len());
        let done: Vec<FinishedItem> = (0..40).map(|item| finished(item, &text)).collect();
        let listing = record.list(1, 1, &done, &[], 2).unwrap();
        assert!(!listing.record.listed.is_empty());
        for (_, texts) in &listing.parts {
            assert!(serde_json::to_vec(texts).unwrap().len() <= PART_BYTES_MAX);
        }
    }
}

// The same for the items of a job, whose headers and paths are encoded too.
#[test]
fn encoded_items() {
    let item = |at: usize| Item {
        id: format!("item-{at}").into(),
        path: "\u{1}".repeat(10_000),
        headers: vec![("x-a".into(), "\"".repeat(10_000))],
        body: String::new(),
        tokens: 100,
    };
    let items: Vec<Item> = (0..40).map(item).collect();
    for part in body_parts(items.clone()).unwrap() {
        assert!(serde_json::to_vec(&part.items).unwrap().len() <= PART_BYTES_MAX);
    }
}

#[test]
fn bodies_found() {
    let items: Vec<Item> = (0..7)
        .map(|at| Item {
            id: format!("item-{at}").into(),
            path: "/x/1".into(),
            headers: Vec::new(),
            body: "A".repeat(PART_BYTES_MAX / 3),
            tokens: 100,
        })
        .collect();
    assert_bodies_found(items);
}

fn assert_bodies_found(items: Vec<Item>) {
    let parts = body_parts(items.clone()).unwrap();
    let mut record = record(items.len());
    record.body_parts = parts.iter().map(|part| part.first).collect();
    let joined = |parts: &[BodyPart], first: usize| {
        let mut joined = Vec::new();
        for (at, part) in parts.iter().enumerate() {
            join_part(
                &mut joined,
                part.items.clone(),
                record.is_continued(first + at),
            );
        }
        joined
    };
    assert_eq!(joined(&parts, 0), items);
    for (at, item) in items.iter().enumerate() {
        let location = record.body_location(at as u32).unwrap();
        let (first, last) = (
            *location.parts.start() as usize,
            *location.parts.end() as usize,
        );
        let found = joined(&parts[first..=last], first);
        assert_eq!(found[location.index], *item);
    }
    for part in &parts {
        assert!(serde_json::to_vec(&part.items).unwrap().len() <= PART_BYTES_MAX);
    }
}

// An item that fits no value of the store was refused, though its submission is within the limits.
#[test]
fn oversized_item() {
    let item = |at: usize, body_bytes: usize| Item {
        id: format!("item-{at}").into(),
        path: "/".into(),
        headers: vec![("x-a".into(), "a".into())],
        body: "ABCD".repeat(body_bytes / 4),
        tokens: 100,
    };
    let sizes = [
        100,
        PART_BYTES_MAX + 1,
        200,
        300,
        3 * PART_BYTES_MAX,
        PART_BYTES_MAX,
        PART_BYTES_MAX / 2,
    ];
    let items = sizes.iter().enumerate();
    assert_bodies_found(items.map(|(at, bytes)| item(at, *bytes)).collect());
    assert!(body_parts(vec![item(0, 23 * PART_BYTES_MAX)]).is_none());
}

// What is not the body of an item can't be split.
#[test]
fn oversized_path() {
    let item = Item {
        id: "i".into(),
        path: "/".repeat(PART_BYTES_MAX),
        headers: Vec::new(),
        body: String::new(),
        tokens: 100,
    };
    assert!(body_parts(vec![item]).is_none());
}

// A VM is paused with finished results that are not yet listed; another VM claims the job and lists
// the items. When the first VM resumes, it must not list them a second time, at another position.
#[test]
fn paused_owner() {
    let first = record(2);
    let claimed = first.claim(2, 9).unwrap();
    assert!(claimed.list(1, 1, &[finished(0, "t")], &[], 3).is_none());
    let listed = claimed
        .list(2, 2, &[finished(0, "t")], &[], 4)
        .unwrap()
        .record;
    assert!(listed.list(2, 2, &[finished(0, "again")], &[], 5).is_none());
    // The same process after it reclaimed the job: its old epoch is no longer valid.
    let again = listed.claim(1, 6).unwrap();
    assert!(again.list(1, 1, &[finished(1, "t")], &[], 7).is_none());
}

// Failure counts are kept in the record. Otherwise each new owner would count from zero, and an
// item that fails on each run would be retried without end when its owners change.
#[test]
fn failures_carried() {
    let record = record(2);
    let counted = record.list(1, 1, &[], &[(1, 2)], 3).unwrap().record;
    let claimed = counted.claim(2, 4).unwrap();
    assert_eq!(claimed.failures, [(1, 2)]);
    let ended = claimed
        .list(2, 2, &[finished(1, "")], &[(1, 2)], 5)
        .unwrap()
        .record;
    assert!(ended.failures.is_empty());
}

quickcheck! {
    // Several owners claim, list, hand over and cancel in random order, each based on the record
    // that it last read; a write succeeds only if that record is still current. No item is listed
    // twice, no position changes, and nothing is listed after the job has ended.
    fn positions_stay(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut stored = record(8);
        let mut revision = 1u64;
        let mut seen = vec![(stored.clone(), revision); 3];
        for _ in 0..200 {
            let vm = rng.random_range(0..3usize);
            if rng.random_bool(0.5) {
                seen[vm] = (stored.clone(), revision);
            }
            let (view, expect) = seen[vm].clone();
            let owner = vm as u64 + 1;
            let nonce = rng.random();
            let written = match rng.random_range(0..20) {
                0..3 => view.claim(owner, nonce),
                3 => view.hand_over(owner, 0, nonce),
                4 => view.cancel(nonce).filter(|_| rng.random_bool(0.1)),
                _ => {
                    let done: Vec<FinishedItem> = (0..rng.random_range(1..3))
                        .map(|_| finished(rng.random_range(0..8), "t"))
                        .collect();
                    view.list(owner, view.epoch, &done, &[], nonce).map(|listing| listing.record)
                }
            };
            let Some(written) = written else { continue };
            if expect != revision {
                continue;
            }
            let kept = written.listed.starts_with(&stored.listed);
            let frozen = !stored.cancelled || written.listed == stored.listed;
            let items: HashSet<u32> = written.listed.iter().map(|row| row.item).collect();
            if !kept || !frozen || items.len() != written.listed.len() {
                return false;
            }
            stored = written;
            revision += 1;
        }
        true
    }
}
