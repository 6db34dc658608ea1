use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix_rt::time::sleep;

use crate::links::TokenBucket;

/// Burst that a link lets through after it was idle, as time at its full rate, in
/// milliseconds.
const BURST_MS: u64 = 30;

/// Backlog of a link between regions above which reads are refused as busy, in milliseconds.
const MAX_BACKLOG_MS: u64 = 1000;

/// Rate-limited network link that several transfers share.
#[derive(Debug)]
pub struct WeightLink {
    started: Instant,
    bucket: Mutex<TokenBucket>,
    full_rate_bytes_per_s: u64,
    reduced_rate_bytes_per_s: u64,
    transferred_bytes: AtomicU64,
}

impl WeightLink {
    /// Link with a rate of `rate_bytes_per_s`; 0 means no limit.
    ///
    /// `live_share_percent` of the rate is left to live requests while any of them run.
    pub fn new(rate_bytes_per_s: u64, live_share_percent: u64) -> Arc<Self> {
        let burst_bytes = rate_bytes_per_s.saturating_mul(BURST_MS) / 1000;
        let reduced_percent = 100 - live_share_percent.min(99);
        Arc::new(Self {
            started: Instant::now(),
            bucket: Mutex::new(TokenBucket::new(rate_bytes_per_s, burst_bytes)),
            full_rate_bytes_per_s: rate_bytes_per_s,
            // At least 1 for a link with a limit, as 0 means no limit.
            reduced_rate_bytes_per_s: (rate_bytes_per_s.saturating_mul(reduced_percent) / 100)
                .max(u64::from(rate_bytes_per_s > 0)),
            transferred_bytes: AtomicU64::new(0),
        })
    }

    /// Reserves `bytes` and waits until they have been transferred.
    pub async fn wait_for_transfer(&self, bytes: u64) {
        let wait_us = self.reserve(bytes);
        if wait_us > 0 {
            sleep(Duration::from_micros(wait_us)).await;
        }
    }

    /// Reserves the next `bytes` of the link and returns the time until they have been
    /// transferred, in microseconds.
    pub fn reserve(&self, bytes: u64) -> u64 {
        self.transferred_bytes.fetch_add(bytes, Ordering::Relaxed);
        let now_us = self.now_us();
        self.bucket
            .lock()
            .expect("no holder of the bucket panics")
            .reserve(now_us, bytes)
    }

    /// Time until all reserved bytes have been transferred, in milliseconds.
    pub fn backlog_ms(&self) -> u64 {
        let now_us = self.now_us();
        let bucket = self.bucket.lock().expect("no holder of the bucket panics");
        bucket.backlog_us(now_us) / 1000
    }

    fn now_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Bytes transferred so far, counted when they are reserved.
    pub fn transferred_bytes(&self) -> u64 {
        self.transferred_bytes.load(Ordering::Relaxed)
    }

    /// Reduces the rate while live requests run, and restores it afterwards.
    pub fn set_has_live_requests(&self, has_live_requests: bool) {
        let rate_bytes_per_s = match has_live_requests {
            true => self.reduced_rate_bytes_per_s,
            false => self.full_rate_bytes_per_s,
        };
        self.bucket
            .lock()
            .expect("no holder of the bucket panics")
            .set_rate(rate_bytes_per_s);
    }
}

/// Network links of one host.
#[derive(Debug, Clone)]
pub struct WeightLinks {
    /// Link for uploads to other hosts.
    pub up: Arc<WeightLink>,
    /// Link for downloads from other hosts and the origin.
    pub down: Arc<WeightLink>,
    /// Links to other regions with a limit of their own, by name of the region.
    pub region_links: Vec<(String, Arc<WeightLink>)>,
}

impl WeightLinks {
    /// Links with the given rates and no limits between regions.
    pub fn new(up_bytes_per_s: u64, down_bytes_per_s: u64, live_share_percent: u64) -> Self {
        Self {
            up: WeightLink::new(up_bytes_per_s, live_share_percent),
            down: WeightLink::new(down_bytes_per_s, live_share_percent),
            region_links: Vec::new(),
        }
    }

    /// Whether the backlog to `region` is so long that further reads would time out.
    pub fn is_congested(&self, region: &str) -> bool {
        let region_link = self.region_links.iter().find(|(name, _)| name == region);
        region_link.is_some_and(|(_, link)| link.backlog_ms() > MAX_BACKLOG_MS)
    }

    /// Reserves `bytes` for a host in `region` and waits until they have been sent.
    pub async fn wait_for_upload(&self, bytes: u64, region: &str) {
        let region_link = self.region_links.iter().find(|(name, _)| name == region);
        let region_link_us = region_link.map_or(0, |(_, link)| link.reserve(bytes));
        let up_us = self.up.reserve(bytes);
        sleep(Duration::from_micros(region_link_us.max(up_us))).await;
    }
}
