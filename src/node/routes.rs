use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::ServiceConfig;

use crate::hosts::Report;
use crate::hosts::ReportOutcome;
use crate::links::decode_call;
use crate::links::rmp_response;
use crate::node::ConfigRequest;
use crate::node::Node;
use crate::observe::Event;
use crate::observe::emit_event;

/// Estimated size of an encoded [`ReportAnswer`](crate::hosts::ReportAnswer), in bytes.
const ANSWER_BYTES: usize = 80;

/// Registers the routes that every process serves.
pub fn routes(app: &mut ServiceConfig, node: &Arc<Node>) {
    app.app_data(web::Data::from(Arc::clone(node)))
        .route("/x/report", web::post().to(receive_report))
        .route("/x/config", web::post().to(answer_config_request))
        .route("/metrics", web::get().to(render_metrics))
        .route("/health/live", web::get().to(liveness))
        .route("/health/ready", web::get().to(readiness));
}

async fn receive_report(node: web::Data<Node>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let report: Report = match decode_call(&request, &body, &node.cluster().shared_key) {
        Ok(report) => report,
        Err(fault) => return fault.response(),
    };
    let now_ms = node.now_ms();
    let outcome = node.roster().merge_report(&report, now_ms);
    if matches!(outcome, ReportOutcome::New | ReportOutcome::Replaced) {
        emit_event(
            Event::HostJoined,
            &[("host", &report.name), ("incarnation", &report.incarnation)],
        );
    }
    node.suspects().merge_records(report.suspects, now_ms);
    let answer = node.report_answer();
    node.count_control_message("received", body.len());
    node.count_control_message("sent", ANSWER_BYTES);
    rmp_response(&answer)
}

async fn answer_config_request(
    node: web::Data<Node>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    let message: ConfigRequest = match decode_call(&request, &body, &node.cluster().shared_key) {
        Ok(message) => message,
        Err(fault) => return fault.response(),
    };
    rmp_response(&node.config_answer(message.from))
}

async fn render_metrics(node: web::Data<Node>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(node.metrics().render())
}

async fn liveness() -> HttpResponse {
    HttpResponse::Ok().json("live")
}

async fn readiness(node: web::Data<Node>) -> HttpResponse {
    if node.admission().admits() && !node.is_leaving() {
        HttpResponse::Ok().json("ready")
    } else {
        HttpResponse::ServiceUnavailable().json("not ready")
    }
}
