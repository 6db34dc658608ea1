//! What an entry believes and decides, each decision with the load it answers.

mod admission;
mod beliefs;
mod fixture;
mod retries;
