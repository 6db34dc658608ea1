//! Permits, the permit table, the dispatch ledger, pauses and crash suspects.

mod pauses;
mod permits;
mod suspects;
