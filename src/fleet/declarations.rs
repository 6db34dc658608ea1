use crate::fleet::DeclarationAge;
use crate::observe::Event;
use crate::observe::LogLine;

/// Declarations remembered.
const MAX_DECLARATIONS: usize = 32;

/// Declarations told to others: older ones bind no further.
const MAX_REPORTED: usize = 4;

/// A version of weights that the operator declared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Steady time at which the system learned of it; before the start of the
    /// process for one that is older.
    pub learned_ms: i64,
    /// Whether that time is known, and not only a bound.
    pub is_time_exact: bool,
}

/// A declaration as a record of the store holds it.
#[derive(Debug)]
pub struct DeclarationRecord {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Offset of the record.
    pub offset: u64,
    /// Whether the record came after the first listing, and so just now.
    pub is_after_listing: bool,
}

/// The operator's declarations, each with its own time.
///
/// A process that starts late finds a declaration in the store without its age.
/// It takes it for due, until another process tells the age.
#[derive(Debug, Default)]
pub struct Declarations {
    // In the order of their arrival, which is that of rising versions.
    declarations: Vec<Declaration>,
}

impl Declarations {
    /// Takes a declaration; returns whether it is new.
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

    /// Takes what a record of the store declares; returns whether it is new.
    ///
    /// What a first listing holds may be of any age: it counts as due.
    pub fn add_record(&mut self, record: DeclarationRecord, now_ms: i64, apply_ms: i64) -> bool {
        let line = LogLine::new(Event::WeightsDeclared)
            .text("model", &record.model)
            .number("version", record.version)
            .number("offset", record.offset)
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
            line.write();
        }
        is_new
    }

    /// Takes what another process knows; returns whether a version is new.
    pub fn merge_ages(&mut self, notes: &[DeclarationAge], now_ms: i64) -> bool {
        let mut is_news = false;
        for note in notes {
            let learned_ms = now_ms - i64::try_from(note.age_ms).unwrap_or(i64::MAX / 2);
            let same = |known: &&mut Declaration| {
                known.model == note.model && known.version == note.version
            };
            match self.declarations.iter_mut().find(same) {
                Some(known) if known.is_time_exact => {
                    known.learned_ms = known.learned_ms.min(learned_ms);
                }
                Some(known) => {
                    known.learned_ms = learned_ms;
                    known.is_time_exact = true;
                }
                None => is_news |= self.insert_by_version(note, learned_ms),
            }
        }
        is_news
    }

    /// Takes a version that only others knew; returns whether it is the latest.
    fn insert_by_version(&mut self, note: &DeclarationAge, learned_ms: i64) -> bool {
        let declaration = Declaration {
            model: note.model.clone(),
            version: note.version,
            learned_ms,
            is_time_exact: true,
        };
        let later = self
            .declarations
            .iter()
            .position(|known| known.model == note.model && known.version > note.version);
        match later {
            Some(at) => {
                self.declarations.insert(at, declaration);
                false
            }
            None => {
                LogLine::new(Event::WeightsDeclared)
                    .text("model", &note.model)
                    .number("version", note.version)
                    .number("age_ms", note.age_ms)
                    .write();
                self.add(declaration)
            }
        }
    }

    /// Declarations of `model`, by rising version.
    pub fn for_model<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Declaration> {
        self.declarations.iter().filter(move |d| d.model == model)
    }

    /// The latest declaration.
    pub fn latest(&self) -> Option<&Declaration> {
        self.declarations.last()
    }

    /// Whether the age of every declaration is known.
    pub fn are_times_exact(&self) -> bool {
        self.declarations
            .iter()
            .all(|declaration| declaration.is_time_exact)
    }

    /// The latest declarations with their ages, for others.
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
