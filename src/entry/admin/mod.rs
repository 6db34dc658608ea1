//! The administration API: one configuration document, edited section by section.
//!
//! The order of the records in the log decides which edit is accepted. An edit is
//! answered only after this entry has read its record back from the log. The same
//! edit id may be sent again, through any entry, and gets the first outcome.

mod answers;
mod diff;
mod edit;
mod in_force;
mod show;
mod team;

use actix_web::web;
use actix_web::web::ServiceConfig;

pub use answers::AcceptedAnswer;
pub use answers::ConflictDetails;
pub use answers::DeleteBody;
pub use answers::DiffAnswer;
pub use answers::DocumentAnswer;
pub use answers::HistoryAnswer;
pub use answers::InForceAnswer;
pub use answers::PutBody;
pub use answers::SectionAnswer;
pub use answers::SectionHead;
pub(super) use team::authenticate_team;

/// Paths of the administration API.
pub const PATHS: [&str; 5] = [
    "/v1/config",
    "/v1/config/history",
    "/v1/config/wait",
    "/v1/config/sections/{name}",
    "/v1/config/sections/{name}/diff",
];

/// Adds the routes of the administration API.
pub fn add_routes(app: &mut ServiceConfig) {
    app.route("/v1/config", web::get().to(show::get_document))
        .route("/v1/config/history", web::get().to(show::get_history))
        .route("/v1/config/wait", web::get().to(in_force::wait_in_force))
        .route(
            "/v1/config/sections/{name}",
            web::get().to(show::get_section),
        )
        .route(
            "/v1/config/sections/{name}",
            web::put().to(edit::put_section),
        )
        .route(
            "/v1/config/sections/{name}",
            web::delete().to(edit::delete_section),
        )
        .route(
            "/v1/config/sections/{name}/diff",
            web::post().to(diff::diff_section),
        );
}
