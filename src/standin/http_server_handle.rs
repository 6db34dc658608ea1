use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use actix_web::dev::ServerHandle;

use crate::links::RequestsUnderWay;

/// Controls an HTTP server that runs in this process, such as a role's or a stand-in's.
#[derive(Debug, Clone)]
pub struct HttpServerHandle {
    address: SocketAddr,
    server: ServerHandle,
    /// Whether connections end with the next answer.
    is_closing: Arc<AtomicBool>,
    /// Requests that were read and not answered yet.
    under_way: Arc<RequestsUnderWay>,
}

impl HttpServerHandle {
    /// Handle of a server that listens on `address`, and closes a connection after an answer
    /// once `is_closing` is set.
    pub fn new(
        address: SocketAddr,
        server: ServerHandle,
        is_closing: Arc<AtomicBool>,
        under_way: Arc<RequestsUnderWay>,
    ) -> Self {
        Self {
            address,
            server,
            is_closing,
            under_way,
        }
    }

    /// Address the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of the server, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops immediately and closes open connections.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }

    /// Closes each connection after its next answer from now on, so that none is cut by the
    /// stop while its client uses it.
    pub fn close_after_answers(&self) {
        self.is_closing.store(true, Ordering::Release);
    }

    /// Waits until the requests that are under way now have ended.
    pub async fn wait_for_earlier(&self) {
        self.under_way.wait_for_earlier().await;
    }

    /// Stops gracefully: requests in progress may finish first.
    pub async fn stop(&self) {
        self.close_after_answers();
        self.server.stop(true).await;
    }
}
