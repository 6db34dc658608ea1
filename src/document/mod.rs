//! The configuration document: sections, edits, the fold of the log and checkpoints.
