//! The entry role: addresses, permits, routing and the administration API.

pub mod api_error;
mod error_code;

pub use api_error::ApiError;
pub use error_code::ErrorCode;
