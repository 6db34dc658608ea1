//! Tests of the configuration document: records, the fold, checkpoints, following the
//! log, and the check of an edit.

mod check;
mod fold;
mod follow;
mod properties;
mod records;
mod support;
