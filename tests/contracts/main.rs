//! Shares of branches: the fair queue and its admission.

mod fair_queue;
mod simulation;
