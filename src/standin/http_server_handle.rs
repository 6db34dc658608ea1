use std::net::SocketAddr;

use actix_web::dev::ServerHandle;

/// A running HTTP server of this process: a role or a stand-in.
#[derive(Debug, Clone)]
pub struct HttpServerHandle {
    address: SocketAddr,
    server: ServerHandle,
}

impl HttpServerHandle {
    /// Wraps a server that listens on `address`.
    pub fn new(address: SocketAddr, server: ServerHandle) -> Self {
        Self { address, server }
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Stops at once; open connections are cut.
    pub async fn kill(&self) {
        self.server.stop(false).await;
    }

    /// Stops after the requests in progress.
    pub async fn stop(&self) {
        self.server.stop(true).await;
    }
}
