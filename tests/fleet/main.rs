//! The fleet module: the view of the fleet, admission of requests, and the retry budget.

mod admission;
mod cold;
mod directory;
mod domains;
mod fixture;
mod fleet_view;
mod heartbeats;
mod listing_turn;
mod notices;
mod record_order;
mod retries;
mod rewind;
mod silence;
