use std::net::SocketAddr;

use actix_web::dev::ServerHandle;

/// Controls an HTTP server that runs in this process, such as a role's or a stand-in's.
#[derive(Debug, Clone)]
pub struct HttpServerHandle {
    address: SocketAddr,
    server: ServerHandle,
}

impl HttpServerHandle {
    /// Handle of a server that listens on `address`.
    pub fn new(address: SocketAddr, server: ServerHandle) -> Self {
        Self { address, server }
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

    /// Stops gracefully: requests in progress may finish first.
    pub async fn stop(&self) {
        self.server.stop(true).await;
    }
}
