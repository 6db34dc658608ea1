use clap::ValueEnum;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Number of endpoints of the fleet.
pub(super) const ENDPOINTS: usize = 10;

/// Number of entries of the fleet.
pub(super) const ENTRIES: usize = 3;

/// Number of streams that an engine decodes at a time.
pub(super) const SLOTS: u32 = 32;

/// Time to the first token of an uncached prompt.
pub(super) const FIRST_TOKEN_MS: u64 = 150;

/// Time between the tokens of a stream that has the engine to itself.
pub(super) const TOKEN_MS: u64 = 30;

/// Increase of the time between tokens in a full batch.
pub(super) const BATCH_SLOWDOWN_PERCENT: u64 = 50;

/// Mean number of tokens of an answer.
pub(super) const TOKENS: u32 = 8;

/// Largest difference of the number of tokens from the mean.
const TOKENS_SPREAD: u32 = 4;

/// Deadline of every request, relative to its arrival.
pub(super) const DEADLINE_MS: u64 = 2000;

/// Time from the start during which arrivals are not counted.
pub(super) const WARM_UP_MS: u64 = 1500;

/// Time after the warm-up during which arrivals are counted.
pub(super) const MEASURED_MS: u64 = 6000;

/// Branches, each with an equal share.
pub(super) const BRANCHES: [&str; 4] = ["longbeach", "seaside", "florence", "yachats"];

/// Number of different prompt prefixes.
const PREFIXES: u32 = 40;

/// Length of a prompt prefix.
const PREFIX_BYTES: usize = 1024;

/// Load and fault of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum RequestsScenario {
    /// All branches within their shares, 60% of capacity.
    Steady,
    /// One branch at ten times its share, the others at 80% of theirs.
    BranchBurst,
    /// All branches at twice their share.
    Overload,
    /// One endpoint ten times slower, at 60% of capacity.
    SlowEndpoint,
    /// One endpoint that crashes and restarts repeatedly.
    Flapping,
    /// A tenth of the endpoints is killed.
    KillTenth,
    /// Prompts with common prefixes and a small cache.
    Prefix,
    /// Few requests at a time: overhead of the path compared with a direct call.
    Overhead,
}

/// One request to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Arrival {
    /// Time after the start of the run.
    pub(super) at_us: u64,
    /// Index of the branch in [`BRANCHES`].
    pub(super) branch: usize,
    /// Index of the entry.
    pub(super) entry: usize,
    /// Number of the prompt prefix.
    pub(super) prefix: u32,
    /// Number of tokens to generate.
    pub(super) tokens: u32,
}

impl RequestsScenario {
    /// Name of the scenario on the command line and in the result.
    pub(super) fn name(self) -> String {
        let value = self.to_possible_value();
        value.map_or_else(String::new, |value| value.get_name().to_owned())
    }

    /// Offered load of each branch in percent of the capacity of the fleet.
    pub(super) fn load_percent(self) -> [f64; BRANCHES.len()] {
        match self {
            Self::BranchBurst => [250.0, 20.0, 20.0, 20.0],
            Self::Overload => [50.0; 4],
            Self::Overhead => [0.0; 4],
            Self::Steady | Self::SlowEndpoint | Self::Flapping | Self::KillTenth | Self::Prefix => {
                [15.0; 4]
            }
        }
    }

    /// Number of prompt blocks that an engine caches.
    pub(super) fn cache_blocks(self) -> usize {
        match self {
            // Room for 8 of the 40 prefixes, of 16 blocks each.
            Self::Prefix => 128,
            _ => 0,
        }
    }
}

/// Requests that the fleet can finish per second when all slots are busy.
pub(super) fn capacity_per_s() -> f64 {
    let others = u64::from(SLOTS - 1);
    let interval_us =
        TOKEN_MS * 1000 + TOKEN_MS * 10 * BATCH_SLOWDOWN_PERCENT * others / u64::from(SLOTS);
    let service_us = FIRST_TOKEN_MS * 1000 + interval_us * u64::from(TOKENS - 1);
    (ENDPOINTS as u64 * u64::from(SLOTS)) as f64 * 1e6 / service_us as f64
}

/// Poisson arrivals of all branches, sorted by time.
pub(super) fn poisson_arrivals(load_percent: [f64; BRANCHES.len()], seed: u64) -> Vec<Arrival> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let end_us = (WARM_UP_MS + MEASURED_MS) as f64 * 1000.0;
    let mut arrivals = Vec::new();
    for (branch, percent) in load_percent.into_iter().enumerate() {
        let mean_us = 1e6 / (capacity_per_s() * percent / 100.0);
        let mut at_us = arrival_gap_us(&mut random, mean_us);
        while at_us < end_us {
            arrivals.push(Arrival {
                at_us: at_us as u64,
                branch,
                entry: random.random_range(0..ENTRIES),
                // Squaring makes prefixes with low numbers more frequent.
                prefix: (random.random::<f64>().powi(2) * f64::from(PREFIXES)) as u32,
                tokens: random.random_range(TOKENS - TOKENS_SPREAD..=TOKENS + TOKENS_SPREAD),
            });
            at_us += arrival_gap_us(&mut random, mean_us);
        }
    }
    arrivals.sort_unstable_by_key(|arrival| arrival.at_us);
    arrivals
}

/// Exponentially distributed time between two arrivals.
fn arrival_gap_us(random: &mut Pcg64Mcg, mean_us: f64) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    -uniform.ln() * mean_us
}

/// Prompt of an arrival: a common prefix and a unique suffix.
pub(super) fn build_prompt(arrival: &Arrival, number: usize) -> String {
    let prefix = format!("rules of beach number {:04}; ", arrival.prefix);
    let mut prompt = prefix.repeat(PREFIX_BYTES / prefix.len() + 1);
    prompt.truncate(PREFIX_BYTES);
    prompt.push_str(&format!("question {number:06}"));
    prompt
}
