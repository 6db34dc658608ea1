/// Cause of the refusal of a request that is suspected of several crashes.
pub(super) const CRASH_SUSPECT: &str = "crash_suspect";

/// Cause of the end of a send whose replica has a later incarnation.
pub(super) const REPLICA_ENDED: &str = "replica_ended";

/// Cause of the end of a send whose replica has crashed, as far as the signs tell, where the
/// end of the connection alone would be that of the answer.
pub(super) const REPLICA_CRASHED: &str = "replica_crashed";

/// Cause of the end of a send whose replica is on a silent host.
pub(super) const HOST_SILENT: &str = "host_silent";

/// Cause of the refusal of a request on a connection beyond the limit.
pub(super) const CONNECTION_LIMIT: &str = "connection";

/// Cause of the end of a send whose replica may no longer begin it, as newer weights are due.
pub(super) const WEIGHTS_DUE: &str = "weights_due";

/// Cause of the end of a request by a stop of the process.
pub(super) const STOPPING: &str = "stopping";

/// Cause of the end of a request whose client closed its connection.
pub(super) const CLIENT_LEFT: &str = "client_left";
