use crate::fleet::DeclarationAge;
use crate::fleet::LogPosition;
use crate::observe::Event;
use crate::observe::LogLine;

/// Largest number of declarations that are kept; with one more the oldest is removed.
const MAX_DECLARATIONS: usize = 32;

/// Largest age of a declaration, in ms: longer than any process runs, and small enough for
/// sums of such times.
const MAX_AGE_MS: u64 = 10 * 365 * 24 * 3_600 * 1_000;

/// Number of the latest declarations that are reported to other processes: older ones
/// require no action any more.
const MAX_REPORTED: usize = 4;

/// A version of weights that the operator declared, which all engines are to load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Monotonic time of this process at which any process first learned of the
    /// declaration, as far as known; negative when that was before this process started.
    pub learned_ms: i64,
    /// Whether `learned_ms` is known exactly; otherwise it is assumed, as by
    /// [`Declarations::add_record`].
    pub is_time_exact: bool,
}

/// A declaration as read from a record of the store.
#[derive(Debug)]
pub struct DeclarationRecord {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Packed position of the record in the log.
    pub offset: u64,
    /// Whether the record arrived after the first listing, so that it was written
    /// just now.
    pub is_after_listing: bool,
}

/// The operator's declarations, each with the time at which it was learned.
///
/// A process that starts after a declaration finds it in the store without its age.
/// It treats the declaration as due until another process reports the age.
#[derive(Debug, Default)]
pub struct Declarations {
    // In the order of arrival; the versions of each model rise.
    declarations: Vec<Declaration>,
}

impl Declarations {
    /// Adds a declaration; returns false when the model has that version or a later one.
    pub fn add(&mut self, declaration: Declaration) -> bool {
        let is_known = |known: &Declaration| {
            known.model == declaration.model && known.version >= declaration.version
        };
        if self.declarations.iter().any(is_known) {
            return false;
        }
        if self.declarations.len() >= MAX_DECLARATIONS {
            self.declarations.remove(0);
        }
        self.declarations.push(declaration);
        true
    }

    /// Adds the declaration of a record of the store; returns whether it is new.
    ///
    /// A record of the first listing may have any age: it counts as `apply_ms` old,
    /// which makes it due.
    pub fn add_record(&mut self, record: DeclarationRecord, now_ms: i64, apply_ms: i64) -> bool {
        let line = LogLine::new(Event::WeightsDeclared)
            .text("model", &record.model)
            .number("version", record.version)
            .number("offset", LogPosition::unpack(record.offset).offset)
            .flag("age_known", record.is_after_listing);
        let learned_ms = if record.is_after_listing {
            now_ms
        } else {
            now_ms - apply_ms
        };
        let is_new = self.add(Declaration {
            model: record.model,
            version: record.version,
            learned_ms,
            is_time_exact: record.is_after_listing,
        });
        if is_new {
            line.enqueue();
        }
        is_new
    }

    /// Merges the ages that another process reports; returns whether this added a version
    /// that is the latest of its model. The earliest exact time of a declaration is kept.
    pub fn merge_ages(&mut self, ages: &[DeclarationAge], now_ms: i64) -> bool {
        let mut has_new_version = false;
        for age in ages {
            let learned_ms = now_ms - age.age_ms.min(MAX_AGE_MS) as i64;
            let is_same =
                |known: &&mut Declaration| known.model == age.model && known.version == age.version;
            match self.declarations.iter_mut().find(is_same) {
                Some(known) if known.is_time_exact => {
                    known.learned_ms = known.learned_ms.min(learned_ms);
                }
                Some(known) => {
                    known.learned_ms = learned_ms;
                    known.is_time_exact = true;
                }
                None => has_new_version |= self.insert_by_version(age, learned_ms),
            }
        }
        has_new_version
    }

    /// Inserts a version that only other processes knew; returns whether it is the
    /// latest of its model.
    fn insert_by_version(&mut self, age: &DeclarationAge, learned_ms: i64) -> bool {
        let declaration = Declaration {
            model: age.model.clone(),
            version: age.version,
            learned_ms,
            is_time_exact: true,
        };
        let next_version_at = self
            .declarations
            .iter()
            .position(|known| known.model == age.model && known.version > age.version);
        match next_version_at {
            Some(at) => {
                self.declarations.insert(at, declaration);
                false
            }
            None => {
                LogLine::new(Event::WeightsDeclared)
                    .text("model", &age.model)
                    .number("version", age.version)
                    .number("age_ms", age.age_ms)
                    .enqueue();
                self.add(declaration)
            }
        }
    }

    /// Declarations of `model`, by ascending version.
    pub fn for_model<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Declaration> {
        self.declarations.iter().filter(move |d| d.model == model)
    }

    /// The declaration that was added last, of any model.
    pub fn latest(&self) -> Option<&Declaration> {
        self.declarations.last()
    }

    /// Whether the time of every declaration is exact.
    pub fn are_times_exact(&self) -> bool {
        self.declarations
            .iter()
            .all(|declaration| declaration.is_time_exact)
    }

    /// The latest declarations whose age is known, with their ages, for other processes.
    pub fn recent_ages(&self, now_ms: i64) -> Vec<DeclarationAge> {
        self.declarations
            .iter()
            .rev()
            .filter(|declaration| declaration.is_time_exact)
            .take(MAX_REPORTED)
            .map(|declaration| DeclarationAge {
                model: declaration.model.clone(),
                version: declaration.version,
                age_ms: u64::try_from(now_ms - declaration.learned_ms).unwrap_or(0),
            })
            .collect()
    }
}
