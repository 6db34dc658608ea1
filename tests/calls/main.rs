//! Permits, the permit table, the dispatch ledger, the verdict and crash suspects.

mod permits;
mod suspects;
