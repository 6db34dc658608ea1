//! Permits, the permit table, the dispatch ledger, pauses and crash suspects.

mod answers_under_way;
mod close_signs;
mod crash_model;
mod part_model;
mod pauses;
mod permits;
mod split_causes;
mod stops;
mod suspect_parts;
mod suspects;
