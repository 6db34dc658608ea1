//! Permits, the permit table, the dispatch ledger, the verdict and crash suspects.

mod pauses;
mod permits;
mod suspects;
