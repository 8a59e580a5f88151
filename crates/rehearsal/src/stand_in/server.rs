//! An HTTP server that can be killed and started again at its address.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use havengate_node::http_server::{Handler, HttpServer, HttpServerConfig, HttpServerHandle};

/// How often listening is tried again while the address is still taken by the life before.
const LISTEN_ATTEMPTS: u32 = 100;
/// Time between two attempts.
const LISTEN_PAUSE: Duration = Duration::from_millis(20);

/// The server of a stand-in.
pub struct StandInServer {
    address: SocketAddr,
    config: HttpServerConfig,
    handler: Arc<dyn Handler>,
    server: Mutex<Option<HttpServerHandle>>,
}

impl StandInServer {
    /// Listens at `address`; port 0 takes a free one.
    ///
    /// # Errors
    /// When the address can't be listened at.
    pub fn start(address: SocketAddr, config: HttpServerConfig, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let server = HttpServer::bind(address, config.clone(), Arc::clone(&handler))?;
        let address = server.local_address();
        Ok(StandInServer { address, config, handler, server: Mutex::new(Some(server)) })
    }

    /// Where it listens, also while it is closed.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and drops all connections, in the middle of whatever they carry.
    pub fn close(&self) {
        self.lock().take();
    }

    /// Listens again after [`StandInServer::close`].
    ///
    /// # Errors
    /// When the address can't be listened at.
    pub fn reopen(&self) -> io::Result<()> {
        let mut server = self.lock();
        if server.is_none() {
            *server = Some(self.bind_again()?);
        }
        Ok(())
    }

    /// The connections of the life before are closed in the background, so the address may be taken for a moment.
    fn bind_again(&self) -> io::Result<HttpServerHandle> {
        let mut attempts = 0;
        loop {
            match HttpServer::bind(self.address, self.config.clone(), Arc::clone(&self.handler)) {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts < LISTEN_ATTEMPTS => {
                    attempts += 1;
                    thread::sleep(LISTEN_PAUSE);
                }
                bound => return bound,
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<HttpServerHandle>> {
        self.server.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
