use crate::fixture::load;
use crate::fixture::record;
use crate::fixture::table;
use bergamotfork::fleet::Catalog;
use bergamotfork::fleet::ClientLimits;
use bergamotfork::fleet::Declaration;
use bergamotfork::fleet::DeclarationAge;
use bergamotfork::fleet::Declarations;
use bergamotfork::fleet::RecordVersion;
use bergamotfork::fleet::ReplicaState;
use bergamotfork::fleet::Route;
use bergamotfork::fleet::RouteKind;
use bergamotfork::fleet::TopicRecord;
use bergamotfork::fleet::TopicTable;
use bergamotfork::fleet::Workspace;
use bergamotfork::fleet::rendezvous_choose_weighted;
use bergamotfork::fleet::rendezvous_order;
use bergamotfork::fleet::rendezvous_rank;

fn route(name: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "h".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        services: vec![("s".to_owned(), 1)],
        max_attempts: 2,
        allows_anonymous: false,
        allowed_regions: Vec::new(),
    }
}

fn change(key: &str, offset: u64, value: Option<&str>) -> TopicRecord {
    TopicRecord {
        key: key.to_owned(),
        offset,
        value: value.map(|text| text.as_bytes().to_vec()),
    }
}

#[test]
fn catalog_route_longest_prefix_wins() {
    let routes = vec![
        route("short", "/a/"),
        route("long", "/a/b/"),
        route("root", "/"),
    ];
    let catalog = Catalog::new(1, routes, Vec::new(), ClientLimits::default(), Vec::new());
    let name = |path| catalog.route("h", path).map(|route| route.name.as_str());
    assert_eq!(name("/a/b/c"), Some("long"));
    assert_eq!(name("/a/bc"), Some("short"));
    assert_eq!(name("/x"), Some("root"));
    assert!(catalog.route("other", "/a/").is_none());
}

#[test]
fn catalog_workspace_by_api_key() {
    let owner = Workspace {
        name: "w".to_owned(),
        priority: Some(1),
        allowed_regions: Vec::new(),
    };
    let keys = vec!["k2".to_owned(), "k1".to_owned()];
    let catalog = Catalog::new(
        1,
        Vec::new(),
        Vec::new(),
        ClientLimits::default(),
        vec![(owner.clone(), keys)],
    );
    assert_eq!(catalog.workspace("k1"), Some(&owner));
    assert_eq!(catalog.workspace("k3"), None);
}

/// Records that state no version, so that only their positions count.
fn no_version(_record: &TopicRecord) -> Option<RecordVersion> {
    None
}

#[test]
fn topic_table_apply_record_older_offset_is_ignored() {
    let mut table = TopicTable::default();
    assert!(table.apply_record(change("a", 5, Some("new")), no_version));
    assert!(!table.apply_record(change("a", 3, Some("old")), no_version));
    assert!(!table.apply_record(change("a", 5, Some("same")), no_version));
    assert_eq!(
        table.get("a").unwrap().value.as_deref(),
        Some(b"new".as_slice())
    );
    // A single record does not imply that those before it were read.
    assert_eq!(table.end_offset(), 0);
    table.advance_end_offset(6);
    table.advance_end_offset(4);
    assert_eq!(table.end_offset(), 6);
}

#[test]
fn topic_table_apply_record_order_does_not_matter() {
    let records = [
        change("a", 1, Some("x")),
        change("b", 2, Some("y")),
        change("a", 4, None),
        change("b", 3, Some("z")),
    ];
    let end = |order: &[usize]| {
        let mut table = TopicTable::default();
        for at in order {
            table.apply_record(records[*at].clone(), no_version);
        }
        (table.get("a").cloned(), table.get("b").cloned())
    };
    let expected = end(&[0, 1, 2, 3]);
    assert_eq!(end(&[3, 2, 1, 0]), expected);
    assert_eq!(end(&[2, 0, 3, 1]), expected);
}

#[test]
fn topic_table_apply_listing_deletes_missing_keys() {
    let mut table = TopicTable::default();
    table.apply_record(change("gone", 1, Some("x")), no_version);
    table.apply_record(change("later", 9, Some("y")), no_version);
    let changes = table.apply_listing(vec![change("a", 4, Some("z"))], 6, true, no_version);
    let changed = changes.changed;
    assert!(changed.contains(&"gone".to_owned()));
    assert!(changed.contains(&"a".to_owned()));
    assert!(table.get("gone").unwrap().value.is_none());
    assert!(table.get("later").unwrap().value.is_some());
    assert_eq!(table.end_offset(), 6);
}

/// Records written while the pages of a listing are read may be on a later page, while
/// records before them are on none. The end offset must not cover them, so that they are
/// read again.
#[test]
fn topic_table_apply_listing_end_offset_excludes_later_records() {
    let mut table = TopicTable::default();
    let listing = vec![change("a", 98, Some("old")), change("m", 102, Some("new"))];
    table.apply_listing(listing, 100, true, no_version);
    assert_eq!(table.end_offset(), 100, "record 101 is not in the listing");
    table.apply_record(change("a", 101, None), no_version);
    table.advance_end_offset(103);
    assert!(table.get("a").unwrap().value.is_none());
}

#[test]
fn replica_leaving_is_not_usable() {
    let (mut table, keys) = table(0, &[1]);
    assert!(table.get(keys[0]).is_usable(10));
    let mut leaving = record("r1", 1);
    leaving.state = ReplicaState::Leaving;
    table.register(leaving, 20);
    assert!(!table.get(keys[0]).is_usable(30));
}

#[test]
fn register_new_incarnation_resets_exclusion() {
    let (mut table, keys) = table(0, &[1]);
    table.record_connect_failure(keys[0], 10);
    assert!(!table.get(keys[0]).is_usable(20));
    let mut new_incarnation = record("r1", 1);
    new_incarnation.born_unix_ms = Some(2);
    let (key, is_new_incarnation) = table.register(new_incarnation, 30);
    assert_eq!((key, is_new_incarnation), (keys[0], true));
    assert!(table.get(key).is_usable(30));
}

#[test]
fn record_connect_failure_pause_grows() {
    let (mut table, keys) = table(0, &[0]);
    let mut now_ms = 0;
    let mut pauses = Vec::new();
    for _ in 0..3 {
        table.record_connect_failure(keys[0], now_ms);
        let start_ms = now_ms;
        while !table.get(keys[0]).is_usable(now_ms) {
            now_ms += 10;
        }
        pauses.push(now_ms - start_ms);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
}

#[test]
fn replica_loading_or_down_is_not_usable() {
    let (mut table, keys) = table(0, &[0]);
    let ip = "10.0.0.1".parse().unwrap();
    let mut report = load(10, 0, 0);
    report.is_loading = true;
    table.record_load(ip, 80, report);
    assert!(!table.get(keys[0]).is_usable(20));
    report.is_loading = false;
    report.is_up = false;
    table.record_load(ip, 80, report);
    assert!(!table.get(keys[0]).is_usable(20));
}

#[test]
fn estimated_requests_adds_sends_since_the_report() {
    let (mut table, keys) = table(100, &[5]);
    let send_id = table.record_send(keys[0], 50.0, 110);
    table.record_send(keys[0], 50.0, 120);
    assert_eq!(table.get(keys[0]).estimated_requests(0.0, 130), Some(7));
    table.record_end(keys[0], send_id, 140);
    assert_eq!(table.get(keys[0]).estimated_requests(0.0, 150), Some(6));
    table.record_load("10.0.0.1".parse().unwrap(), 80, load(200, 6, 0));
    assert_eq!(table.get(keys[0]).estimated_requests(0.0, 210), Some(6));
    assert_eq!(table.get(keys[0]).estimated_requests(0.1, 260), Some(12));
}

fn declaration(version: u64, learned_ms: i64, is_time_exact: bool) -> Declaration {
    Declaration {
        model: "m".to_owned(),
        version,
        learned_ms,
        is_time_exact,
    }
}

#[test]
fn declarations_merge_ages_sets_times_after_late_start() {
    let mut early = Declarations::default();
    early.add(declaration(2, 1_000, true));
    early.add(declaration(3, 3_000, true));
    let ages = early.recent_ages(5_000);
    // A process that starts later finds only the newest one in the store, without its age.
    let mut late = Declarations::default();
    late.add(declaration(3, -8_000, false));
    assert!(!late.are_times_exact());
    late.merge_ages(&ages, 100);
    assert!(late.are_times_exact());
    let known: Vec<(u64, i64)> = late
        .for_model("m")
        .map(|d| (d.version, d.learned_ms))
        .collect();
    assert_eq!(known, [(2, 100 - 4_000), (3, 100 - 2_000)]);
}

/// A process that reads the store late learns of new weights from another process first.
#[test]
fn declarations_merge_ages_adds_newer_version() {
    let mut known = Declarations::default();
    known.add(declaration(2, 1_000, true));
    let age = DeclarationAge {
        model: "m".to_owned(),
        version: 3,
        age_ms: 400,
    };
    assert!(known.merge_ages(std::slice::from_ref(&age), 5_000));
    assert_eq!(*known.latest().unwrap(), declaration(3, 4_600, true));
    assert!(
        !known.merge_ages(std::slice::from_ref(&age), 5_100),
        "the version is new only once"
    );
    assert!(
        !known.merge_ages(std::slice::from_ref(&age), 5_100),
        "the version is new only once"
    );
    // The record of the store, which arrives later, changes nothing.
    assert!(!known.add(declaration(3, 6_000, true)));
}

#[test]
fn declarations_merge_ages_keeps_earliest_time() {
    let mut known = Declarations::default();
    known.add(declaration(2, 1_000, true));
    let age = |age_ms| DeclarationAge {
        model: "m".to_owned(),
        version: 2,
        age_ms,
    };
    known.merge_ages(&[age(100)], 2_000);
    assert_eq!(known.latest().unwrap().learned_ms, 1_000);
    known.merge_ages(&[age(1_500)], 2_000);
    assert_eq!(known.latest().unwrap().learned_ms, 500);
}

#[test]
fn rendezvous_rank_matches_rendezvous_order() {
    let names = ["a", "b", "c", "d"];
    let mut ranks: Vec<usize> = names
        .iter()
        .map(|name| rendezvous_rank(name, names.into_iter(), 7))
        .collect();
    let order: Vec<usize> = rendezvous_order(names.into_iter().zip(0..), 7);
    assert_eq!(
        order.iter().map(|at| ranks[*at]).collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3]);
}

#[test]
fn rendezvous_choose_weighted_in_proportion() {
    let names = [("a", 40.0), ("b", 200.0), ("c", 40.0), ("d", 120.0)];
    let first = |names: &[(&'static str, f64)], seed: u64| {
        let entries = names.iter().map(|(name, weight)| (*name, *weight, *name));
        rendezvous_choose_weighted(entries, seed).unwrap()
    };
    let count = |name: &str| (0..8_000).filter(|s| first(&names, *s) == name).count();
    // Weights of 40 and 200 out of 400 in total: 800 and 4,000 of 8,000 choices.
    assert!((700..900).contains(&count("a")));
    assert!((3_800..4_200).contains(&count("b")));
    let without_d = &names[..3];
    for seed in 0..1_000 {
        let before = first(&names, seed);
        assert!(before == "d" || first(without_d, seed) == before);
    }
}
