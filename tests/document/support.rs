use bergamotfork::document::Edit;
use bergamotfork::document::Fold;
use bergamotfork::document::LogRecord;
use bergamotfork::document::RecordOutcome;
use bergamotfork::weights::Digest;

pub fn edit(edit_id: &str, section: &str, base_revision: u64, body: &str) -> Edit {
    Edit {
        edit_id: edit_id.to_owned(),
        team: "ops".to_owned(),
        section: section.to_owned(),
        base_revision,
        body: Some(body.to_owned()),
    }
}

pub fn delete(edit_id: &str, section: &str, base_revision: u64) -> Edit {
    Edit {
        body: None,
        ..edit(edit_id, section, base_revision, "")
    }
}

/// Applies `edit` as the next record.
pub fn apply(fold: &mut Fold, edit: Edit) -> RecordOutcome {
    fold.apply_record(fold.head(), &LogRecord::Edit(edit).encode())
}

pub fn model_body(replicas: u32) -> String {
    let manifest = Digest::of_bytes(b"weights");
    format!("version = v1\nmanifest = {manifest}\nreplicas = {replicas}")
}

pub fn branch_body(share_percent: u32) -> String {
    let token = Digest::of_bytes(b"token");
    format!("token_digest = {token}\nshare_percent = {share_percent}\nmodels = chat, draft")
}
