use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use actix_web::web::Bytes;
use actix_web::web::ServiceConfig;

use crate::hosts::Heard;
use crate::hosts::Report;
use crate::links::decode_call;
use crate::links::rmp_response;
use crate::node::ConfigPull;
use crate::node::Node;
use crate::observe::Event;
use crate::observe::emit_event;

/// Bytes of an encoded [`ReportAnswer`], about.
const ANSWER_BYTES: usize = 80;

/// Routes that every process serves.
pub fn routes(app: &mut ServiceConfig, node: &Arc<Node>) {
    app.app_data(web::Data::from(Arc::clone(node)))
        .route("/x/report", web::post().to(report))
        .route("/x/config", web::post().to(config))
        .route("/metrics", web::get().to(metrics))
        .route("/health/live", web::get().to(live))
        .route("/health/ready", web::get().to(ready));
}

async fn report(node: web::Data<Node>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let report: Report = match decode_call(&request, &body, &node.cluster().shared_key) {
        Ok(report) => report,
        Err(fault) => return fault.response(),
    };
    let now_ms = node.now_ms();
    let heard = node.roster().heard(&report, now_ms);
    if matches!(heard, Heard::New | Heard::Replaced) {
        emit_event(
            Event::HostJoined,
            &[("host", &report.name), ("incarnation", &report.incarnation)],
        );
    }
    node.suspects().merge_records(report.suspects, now_ms);
    let answer = node.report_answer();
    node.count_control("received", body.len());
    node.count_control("sent", ANSWER_BYTES);
    rmp_response(&answer)
}

async fn config(node: web::Data<Node>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let pull: ConfigPull = match decode_call(&request, &body, &node.cluster().shared_key) {
        Ok(pull) => pull,
        Err(fault) => return fault.response(),
    };
    rmp_response(&node.config_answer(pull.from))
}

async fn metrics(node: web::Data<Node>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(node.metrics().render())
}

async fn live() -> HttpResponse {
    HttpResponse::Ok().json("live")
}

async fn ready(node: web::Data<Node>) -> HttpResponse {
    if node.admission().admits() && !node.is_leaving() {
        HttpResponse::Ok().json("ready")
    } else {
        HttpResponse::ServiceUnavailable().json("not ready")
    }
}
