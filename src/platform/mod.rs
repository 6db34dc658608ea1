//! Clients of the platform: log, origin, host list, engine and service.

mod order_no;

pub use order_no::OrderNo;
