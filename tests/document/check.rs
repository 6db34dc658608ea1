use crate::support::apply;
use crate::support::branch_body;
use crate::support::delete;
use crate::support::edit;
use crate::support::model_body;
use bergamotfork::document::Document;
use bergamotfork::document::Fold;
use bergamotfork::document::MAX_SECTION_BYTES;
use bergamotfork::document::MAX_SECTIONS;
use bergamotfork::document::check_edit;

fn faults(document: &Document, section: &str, body: &str) -> Vec<String> {
    match check_edit(document, &edit("e", section, 0, body)) {
        Ok(()) => Vec::new(),
        Err(faults) => faults.iter().map(ToString::to_string).collect(),
    }
}

#[track_caller]
fn assert_fault(section: &str, body: &str, expected: &str) {
    let faults = faults(&Document::default(), section, body);
    let found = faults.iter().any(|fault| fault.contains(expected));
    assert!(found, "{expected:?} is not in {faults:?}");
}

#[test]
fn check_edit_valid() {
    let document = Document::default();
    assert!(faults(&document, "model chat", &model_body(12)).is_empty());
    assert!(faults(&document, "branch north", &branch_body(20)).is_empty());
    let service = "idempotent = lookup, list\ntimeout_ms = 3000";
    assert!(faults(&document, "service desk", service).is_empty());
}

#[test]
fn check_edit_fault_texts() {
    let body = format!("{}\nreplica = 3", model_body(12));
    let unknown = "section [model chat], key \"replica\": unknown key; known keys: version";
    assert_fault("model chat", &body, unknown);
    let body = model_body(12).replace("= 12", "= many");
    assert_fault(
        "model chat",
        &body,
        "key \"replicas\": \"many\" is not a number",
    );
    assert_fault(
        "model chat",
        "version = v1",
        "key \"manifest\": the key is required",
    );
    let body = format!("{}\nbase = chat", model_body(1));
    assert_fault(
        "model chat",
        &body,
        "key \"base\": \"chat\" is not the name",
    );
    let body = format!("{}\nversion = v2", model_body(1));
    assert_fault(
        "model chat",
        &body,
        "key \"version\": the key is given more than once",
    );
    let body = format!("{}\nburst_percent = 10", branch_body(20));
    assert_fault(
        "branch north",
        &body,
        "\"10\" is not at least share_percent (20)",
    );
    assert_fault("planet x", "", "the kind is not one of");
    assert_fault("model a/b", &model_body(1), "must follow the kind");
    assert_fault("model chat", "nonsense", "not valid INI");
}

#[test]
fn check_edit_sum_of_shares() {
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "branch north", 0, &branch_body(70)));
    let document = fold.document();
    assert!(faults(document, "branch south", &branch_body(30)).is_empty());
    let over_limit = faults(document, "branch south", &branch_body(31));
    assert!(over_limit[0].contains("add up to 101 percent"));
    assert!(faults(document, "branch north", &branch_body(100)).is_empty());
}

#[test]
fn check_edit_size_limits() {
    let body_of_size = |size: usize| format!("idempotent = {}", "x".repeat(size - 13));
    let document = Document::default();
    assert!(faults(&document, "service desk", &body_of_size(MAX_SECTION_BYTES)).is_empty());
    let over_limit = faults(
        &document,
        "service desk",
        &body_of_size(MAX_SECTION_BYTES + 1),
    );
    assert!(over_limit[0].contains("65537 bytes, more than 65536"));
    let mut fold = Fold::new();
    for index in 0..MAX_SECTIONS {
        let name = format!("service s{index}");
        apply(&mut fold, edit(&name, &name, 0, "timeout_ms = 5"));
    }
    assert_eq!(fold.document().services().len(), MAX_SECTIONS);
    let over_limit = faults(fold.document(), "service more", "timeout_ms = 5");
    assert!(over_limit[0].contains("already has 500 sections"));
    assert!(faults(fold.document(), "service s1", "timeout_ms = 6").is_empty());
    for index in 0..MAX_SECTIONS {
        let name = format!("service s{index}");
        let base = fold.document().revision(&name);
        let body = body_of_size(17 * 1024);
        apply(&mut fold, edit(&format!("{name} b"), &name, base, &body));
    }
    let over_limit = faults(
        fold.document(),
        "service s1",
        &body_of_size(MAX_SECTION_BYTES),
    );
    assert!(
        over_limit[0].contains("more than 8388608"),
        "{over_limit:?}"
    );
}

#[test]
fn check_edit_delete_of_absent_section() {
    let absent = check_edit(&Document::default(), &delete("a", "model chat", 0));
    assert!(
        absent.expect_err("absent")[0]
            .to_string()
            .contains("does not exist")
    );
}

#[test]
fn document_typed_sections() {
    let mut fold = Fold::new();
    apply(&mut fold, edit("a", "model chat", 0, &model_body(12)));
    apply(&mut fold, edit("b", "branch north", 0, &branch_body(70)));
    apply(&mut fold, edit("c", "model broken", 0, "replicas = 1"));
    let document = fold.document();
    let model = document.model("chat").expect("valid");
    assert_eq!((model.replicas, model.step_replicas), (12, 1));
    assert_eq!(document.models().len(), 1);
    let branch = document.branch("north").expect("valid");
    assert_eq!(branch.models, ["chat", "draft"]);
    assert_eq!((branch.weight, branch.burst_percent), (1, 100));
    assert!(
        document
            .to_string()
            .contains("[branch north]\ntoken_digest = ")
    );
}
