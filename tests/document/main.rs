//! The configuration document: records, the fold, checkpoints and the check
//! of an edit's meaning.

mod check;
mod fold;
mod follow;
mod properties;
mod records;
mod support;
