/// Sizes and link rates from which the lower bound is computed.
#[derive(Debug, Clone, Copy)]
pub struct BoundInput {
    /// Size of the version.
    pub bytes: u64,
    /// Number of hosts that receive it.
    pub hosts: u64,
    /// Number of regions, including the origin's.
    pub regions: u64,
    /// Rate of the origin's link.
    pub origin_bytes_per_s: u64,
    /// Rate of a host's link each way, or of both directions together when shared.
    pub host_bytes_per_s: u64,
    /// Whether both directions of a host's link share its rate.
    pub shared_link: bool,
    /// Rate of the link between two regions, each way.
    pub crossing_bytes_per_s: u64,
}

/// Lower bound of the time in which any scheme can bring the version to every host.
///
/// After Kumar and Ross, "Peer-assisted file distribution: the minimum
/// distribution time" (2006), with a term for each cut between regions.
pub fn lower_bound_ms(input: &BoundInput) -> u64 {
    let bytes = input.bytes as f64;
    let hosts = input.hosts as f64;
    let origin = input.origin_bytes_per_s as f64;
    let host = input.host_bytes_per_s as f64;
    let shared_ways = if input.shared_link { 2.0 } else { 1.0 };
    let from_origin = bytes / origin;
    let into_host = bytes / host;
    let into_all_hosts = shared_ways * hosts * bytes / (origin + hosts * host);
    // Every other region has a link into a region.
    let entering_links = (input.regions.saturating_sub(1)) as f64;
    let into_region = match input.regions {
        0 | 1 => 0.0,
        _ => bytes / (entering_links * input.crossing_bytes_per_s as f64),
    };
    let bound_s = from_origin
        .max(into_host)
        .max(into_all_hosts)
        .max(into_region);
    (bound_s * 1000.0).round() as u64
}
