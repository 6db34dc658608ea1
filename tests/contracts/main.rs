//! Shares of branches: the fair queue and its refusals.

mod fair_queue;
mod simulation;
