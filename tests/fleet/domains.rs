//! Rules on failure domains: the regions in which a request may be served, and evacuations.

use std::net::SocketAddr;

use crate::fixture::record;
use bergamotfork::fleet::CandidateInput;
use bergamotfork::fleet::Catalog;
use bergamotfork::fleet::ClientLimits;
use bergamotfork::fleet::DomainRules;
use bergamotfork::fleet::Evacuations;
use bergamotfork::fleet::Exclusion;
use bergamotfork::fleet::ListedEntry;
use bergamotfork::fleet::ReplicaKey;
use bergamotfork::fleet::ReplicaTable;
use bergamotfork::fleet::Residency;
use bergamotfork::fleet::Route;
use bergamotfork::fleet::RouteKind;
use bergamotfork::fleet::Workspace;
use bergamotfork::fleet::candidates;
use bergamotfork::fleet::entries_in_allowed_regions;
use bergamotfork::fleet::excluding_rule;

/// Failure domains of the replicas of [`fleet`]; the region of `x` is not known.
const DOMAINS: [&str; 4] = ["a", "b", "c", "x"];

fn regions() -> Vec<(String, String)> {
    let pairs = [("a", "east"), ("b", "east"), ("c", "west")];
    pairs.map(|(d, r)| (d.to_owned(), r.to_owned())).to_vec()
}

fn list(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// One replica in each failure domain.
fn fleet() -> (ReplicaTable, Vec<ReplicaKey>) {
    let mut table = ReplicaTable::default();
    let keys = DOMAINS.iter().zip(1..).map(|(domain, host)| {
        let mut record = record(&format!("r{host}"), host);
        record.failure_domain = (*domain).to_owned();
        table.register(record, 0).0
    });
    let keys = keys.collect();
    (table, keys)
}

/// What becomes of the replicas of [`fleet`] for a request, and the rule that leaves it without
/// any.
fn choose(
    residency: &Residency,
    evacuations: &Evacuations,
    tried: &[usize],
) -> (Vec<Option<Exclusion>>, usize, Option<Exclusion>) {
    let (table, keys) = fleet();
    let regions = regions();
    let tried: Vec<ReplicaKey> = tried.iter().map(|at| keys[*at]).collect();
    let input = CandidateInput {
        now_ms: 0,
        service: "chat",
        kind: RouteKind::Idempotent,
        domains: DomainRules {
            residency,
            evacuations,
            regions: &regions,
        },
        tried_replicas: &tried,
        model: None,
        begin_within_ms: &|_, _| None,
        is_within_cold_share: &|_| true,
    };
    let exclusions = keys.iter().map(|k| input.exclusion(*k, table.get(*k)));
    let count = candidates(&table, &input).len();
    (exclusions.collect(), count, excluding_rule(&table, &input))
}

fn evacuated(domains: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for domain in domains {
        assert!(evacuations.set(domain, true));
    }
    evacuations
}

/// Guards against a request without rules that loses replicas, also those in a failure domain
/// whose region is not known.
#[test]
fn exclusion_without_rules_none() {
    let (exclusions, count, rule) = choose(&Residency::default(), &Evacuations::default(), &[]);
    assert_eq!(exclusions, [None; 4]);
    assert_eq!((count, rule), (4, None));
}

/// Guards against a request that leaves its regions, or that goes to a failure domain whose
/// region is not known.
#[test]
fn exclusion_residency_other_regions() {
    let outside = Some(Exclusion::Residency);
    let (exclusions, count, _) = choose(
        &Residency::new(&list(&["east"])),
        &Evacuations::default(),
        &[0],
    );
    let tried = Some(Exclusion::AlreadyTried);
    assert_eq!(exclusions, [tried, None, outside, outside]);
    assert_eq!(count, 1);
    // The name of a failure domain is not that of its region.
    let (exclusions, count, rule) = choose(
        &Residency::new(&list(&["a", "x"])),
        &Evacuations::default(),
        &[],
    );
    assert_eq!(exclusions, [outside; 4]);
    assert_eq!((count, rule), (0, outside));
}

/// Guards against requests that go to one of several evacuated failure domains, or to none any
/// more after the evacuation was taken back.
#[test]
fn exclusion_evacuated_until_taken_back() {
    let mut evacuations = evacuated(&["c", "a"]);
    let gone = Some(Exclusion::Evacuated);
    let (exclusions, count, _) = choose(&Residency::default(), &evacuations, &[]);
    assert_eq!(exclusions, [gone, None, gone, None]);
    assert_eq!(count, 2);
    assert!(!evacuations.set("c", true));
    assert!(evacuations.set("c", false));
    assert!(!evacuations.set("c", false));
    let (exclusions, ..) = choose(&Residency::default(), &evacuations, &[]);
    assert_eq!(exclusions, [gone, None, None, None]);
}

/// Guards against a refusal whose cause names the wrong rule.
#[test]
fn excluding_rule_evacuation_before_residency() {
    let east = Residency::new(&list(&["east"]));
    let (_, count, rule) = choose(&east, &evacuated(&["a", "b"]), &[]);
    assert_eq!((count, rule), (0, Some(Exclusion::Evacuated)));
    let (_, count, rule) = choose(&east, &evacuated(&["c"]), &[0, 1]);
    assert_eq!((count, rule), (0, Some(Exclusion::Residency)));
    let (_, count, rule) = choose(&Residency::default(), &evacuated(&DOMAINS), &[]);
    assert_eq!((count, rule), (0, Some(Exclusion::Evacuated)));
}

/// Guards against lists of which only one counts, and against an empty intersection that is
/// taken for no rule.
#[test]
fn residency_lists_intersect() {
    let mut residency = Residency::new(&[]);
    assert!(!residency.is_restricted() && residency.allows(None));
    residency.narrow(&list(&["east", "west"]));
    residency.narrow(&[]);
    assert!(residency.allows(Some("east")) && !residency.allows(None));
    residency.narrow(&list(&["west", "north"]));
    assert!(residency.allows(Some("west")));
    assert!(!residency.allows(Some("east")) && !residency.allows(Some("north")));
    residency.narrow(&list(&["north"]));
    assert!(residency.is_restricted() && !residency.allows(Some("west")));
    assert!(!residency.allows(Some("north")));
}

/// Guards against an operator who is told too early, twice or never that a failure domain has
/// no request left.
#[test]
fn evacuations_newly_idle_once() {
    let mut evacuations = evacuated(&["a", "b"]);
    let in_flight = |domain: &str| u32::from(domain == "b");
    assert_eq!(evacuations.newly_idle(in_flight), ["a"]);
    assert!(evacuations.newly_idle(in_flight).is_empty());
    assert_eq!(evacuations.newly_idle(|_| 0), ["b"]);
    evacuations.set("a", false);
    evacuations.set("a", true);
    assert_eq!(evacuations.newly_idle(|_| 0), ["a"]);
}

fn route(path_prefix: &str, host: &str, allowed_regions: &[&str]) -> Route {
    Route {
        name: format!("{host}{path_prefix}"),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RouteKind::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        services: vec![("chat".to_owned(), 1)],
        max_attempts: 2,
        allows_anonymous: false,
        allowed_regions: list(allowed_regions),
    }
}

/// Guards against a directory that follows the routes of another host, or only one of several.
#[test]
fn catalog_host_residency_all_routes() {
    let routes = vec![
        route("/a/", "h", &["east", "west"]),
        route("/b/", "h", &[]),
        route("/c/", "h", &["west"]),
        route("/a/", "i", &["north"]),
        route("/a/", "j", &[]),
    ];
    let owner = Workspace {
        name: "w".to_owned(),
        priority: None,
        allowed_regions: list(&["south"]),
    };
    let owners = vec![(owner.clone(), Vec::new())];
    let catalog = Catalog::new(1, routes, Vec::new(), ClientLimits::default(), owners);
    assert_eq!(
        catalog.host_residency("h"),
        Residency::new(&list(&["west"]))
    );
    assert_eq!(
        catalog.host_residency("i"),
        Residency::new(&list(&["north"]))
    );
    assert!(!catalog.host_residency("j").is_restricted());
    assert!(!catalog.host_residency("k").is_restricted());
    assert_eq!(catalog.workspace_named("w"), Some(&owner));
    assert_eq!(catalog.workspace_named("v"), None);
}

/// Guards against a directory that sends clients of restricted routes through a third region,
/// or that leaves them without an answer.
#[test]
fn entries_in_allowed_regions_own_allowed_or_all() {
    let front: SocketAddr = "10.0.0.1:80".parse().unwrap();
    let entry = |region| ListedEntry {
        front,
        failure_domain: region,
        region,
    };
    let entries = vec![entry("east"), entry("west"), entry("north")];
    let named = |region: &str, allowed: &[&str]| -> Vec<&str> {
        let residency = Residency::new(&list(allowed));
        entries_in_allowed_regions(entries.clone(), region, &residency)
            .iter()
            .map(|entry| entry.region)
            .collect()
    };
    assert_eq!(named("east", &["west"]), ["east", "west"]);
    assert_eq!(named("east", &["east"]), ["east"]);
    assert_eq!(named("south", &["north"]), ["north"]);
    assert_eq!(named("south", &["south"]), ["east", "west", "north"]);
    assert_eq!(named("east", &[]), ["east", "west", "north"]);
}
