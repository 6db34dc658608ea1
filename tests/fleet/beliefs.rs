use crate::fixture::load;
use crate::fixture::record;
use crate::fixture::table;
use bergamotfork::fleet::Catalog;
use bergamotfork::fleet::ClientLimits;
use bergamotfork::fleet::Declaration;
use bergamotfork::fleet::DeclarationAge;
use bergamotfork::fleet::Declarations;
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
fn catalog_workspace_by_key() {
    let owner = Workspace {
        name: "w".to_owned(),
        priority: Some(1),
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

#[test]
fn ledger_apply_never_goes_back() {
    let mut ledger = TopicTable::default();
    assert!(ledger.apply_record(change("a", 5, Some("new"))));
    assert!(!ledger.apply_record(change("a", 3, Some("old"))));
    assert!(!ledger.apply_record(change("a", 5, Some("same"))));
    assert_eq!(
        ledger.get("a").unwrap().value.as_deref(),
        Some(b"new".as_slice())
    );
    // One record says nothing of those before it.
    assert_eq!(ledger.end_offset(), 0);
    ledger.advance_end_offset(6);
    ledger.advance_end_offset(4);
    assert_eq!(ledger.end_offset(), 6);
}

#[test]
fn ledger_apply_any_order_gives_the_same() {
    let records = [
        change("a", 1, Some("x")),
        change("b", 2, Some("y")),
        change("a", 4, None),
        change("b", 3, Some("z")),
    ];
    let end = |order: &[usize]| {
        let mut ledger = TopicTable::default();
        for at in order {
            ledger.apply_record(records[*at].clone());
        }
        (ledger.get("a").cloned(), ledger.get("b").cloned())
    };
    let expected = end(&[0, 1, 2, 3]);
    assert_eq!(end(&[3, 2, 1, 0]), expected);
    assert_eq!(end(&[2, 0, 3, 1]), expected);
}

#[test]
fn ledger_apply_listing_drops_what_it_lacks() {
    let mut ledger = TopicTable::default();
    ledger.apply_record(change("gone", 1, Some("x")));
    ledger.apply_record(change("later", 9, Some("y")));
    let changed = ledger.apply_listing(vec![change("a", 4, Some("z"))], 6);
    assert!(changed.contains(&"gone".to_owned()));
    assert!(changed.contains(&"a".to_owned()));
    assert!(ledger.get("gone").unwrap().value.is_none());
    assert!(ledger.get("later").unwrap().value.is_some());
    assert_eq!(ledger.end_offset(), 6);
}

/// Records that are written while the pages of a listing are read may be on a
/// later page, and others before them on none: they are read again.
#[test]
fn ledger_apply_listing_does_not_cover_what_came_meanwhile() {
    let mut ledger = TopicTable::default();
    let listing = vec![change("a", 98, Some("old")), change("m", 102, Some("new"))];
    ledger.apply_listing(listing, 100);
    assert_eq!(ledger.end_offset(), 100, "the record 101 was not seen");
    ledger.apply_record(change("a", 101, None));
    ledger.advance_end_offset(103);
    assert!(ledger.get("a").unwrap().value.is_none());
}

#[test]
fn replica_leaving_gets_no_work() {
    let (mut table, keys) = table(0, &[1]);
    assert!(table.get(keys[0]).is_usable(10));
    let mut leaving = record("r1", 1);
    leaving.state = ReplicaState::Leaving;
    table.register(leaving, 20);
    assert!(!table.get(keys[0]).is_usable(30));
}

#[test]
fn replica_reborn_under_its_id_is_new() {
    let (mut table, keys) = table(0, &[1]);
    table.record_connect_failure(keys[0], 10);
    assert!(!table.get(keys[0]).is_usable(20));
    let mut reborn = record("r1", 1);
    reborn.born_unix_ms = Some(2);
    let (key, is_new) = table.register(reborn, 30);
    assert_eq!((key, is_new), (keys[0], true));
    assert!(table.get(key).is_usable(30));
}

#[test]
fn replica_unreachable_is_tried_again_ever_later() {
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
fn replica_loading_or_down_gets_no_work() {
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
fn replica_known_requests_adds_sends_since_the_report() {
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
fn declarations_ages_spread_to_late_starters() {
    let mut old = Declarations::default();
    old.add(declaration(2, 1_000, true));
    old.add(declaration(3, 3_000, true));
    let notes = old.recent_ages(5_000);
    // A process that starts finds only the newest, and not its age.
    let mut late = Declarations::default();
    late.add(declaration(3, -8_000, false));
    assert!(!late.are_times_exact());
    late.merge_ages(&notes, 100);
    assert!(late.are_times_exact());
    let known: Vec<(u64, i64)> = late
        .for_model("m")
        .map(|d| (d.version, d.learned_ms))
        .collect();
    assert_eq!(known, [(2, 100 - 4_000), (3, 100 - 2_000)]);
}

/// A process that reads the store late begins with new weights at once.
#[test]
fn declarations_newer_version_is_learned_from_others() {
    let mut known = Declarations::default();
    known.add(declaration(2, 1_000, true));
    let note = DeclarationAge {
        model: "m".to_owned(),
        version: 3,
        age_ms: 400,
    };
    assert!(known.merge_ages(std::slice::from_ref(&note), 5_000));
    assert_eq!(*known.latest().unwrap(), declaration(3, 4_600, true));
    assert!(
        !known.merge_ages(std::slice::from_ref(&note), 5_100),
        "news only once"
    );
    assert!(
        !known.merge_ages(std::slice::from_ref(&note), 5_100),
        "news only once"
    );
    // Its record, which comes later, changes nothing.
    assert!(!known.add(declaration(3, 6_000, true)));
}

#[test]
fn declarations_earliest_age_stays() {
    let mut known = Declarations::default();
    known.add(declaration(2, 1_000, true));
    let note = |age_ms| DeclarationAge {
        model: "m".to_owned(),
        version: 2,
        age_ms,
    };
    known.merge_ages(&[note(100)], 2_000);
    assert_eq!(known.latest().unwrap().learned_ms, 1_000);
    known.merge_ages(&[note(1_500)], 2_000);
    assert_eq!(known.latest().unwrap().learned_ms, 500);
}

#[test]
fn rendezvous_rank_agrees_on_every_process() {
    let names = ["a", "b", "c", "d"];
    let mut slots: Vec<usize> = names
        .iter()
        .map(|name| rendezvous_rank(name, names.into_iter(), 7))
        .collect();
    let order: Vec<usize> = rendezvous_order(names.into_iter().zip(0..), 7);
    assert_eq!(
        order.iter().map(|at| slots[*at]).collect::<Vec<_>>(),
        [0, 1, 2, 3]
    );
    slots.sort_unstable();
    assert_eq!(slots, [0, 1, 2, 3]);
}

#[test]
fn rendezvous_choose_weighted_in_proportion() {
    let names = [("a", 40.0), ("b", 200.0), ("c", 40.0), ("d", 120.0)];
    let first = |names: &[(&'static str, f64)], seed: u64| {
        let entries = names.iter().map(|(name, weight)| (*name, *weight, *name));
        rendezvous_choose_weighted(entries, seed).unwrap()
    };
    let count = |name: &str| (0..8_000).filter(|s| first(&names, *s) == name).count();
    // Weights of 40 and 200 of 400 in all: 800 and 4,000 of 8,000 choices.
    assert!((700..900).contains(&count("a")));
    assert!((3_800..4_200).contains(&count("b")));
    let without_d = &names[..3];
    for seed in 0..1_000 {
        let before = first(&names, seed);
        assert!(before == "d" || first(without_d, seed) == before);
    }
}
