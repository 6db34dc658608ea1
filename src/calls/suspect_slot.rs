use crate::weights::Digest;

/// Lets one suspect at a time run on an endpoint.
#[derive(Debug, Default)]
pub struct SuspectSlot {
    running: Option<(Digest, u32)>,
}

impl SuspectSlot {
    /// Takes the slot for a suspect; copies of one request share it.
    pub fn enter(&mut self, fingerprint: Digest) -> bool {
        match &mut self.running {
            None => {
                self.running = Some((fingerprint, 1));
                true
            }
            Some((held, copies)) if *held == fingerprint => {
                *copies += 1;
                true
            }
            Some(_) => false,
        }
    }

    /// Gives the slot back.
    pub fn leave(&mut self, fingerprint: Digest) {
        let Some((held, copies)) = &mut self.running else {
            return;
        };
        if *held != fingerprint {
            return;
        }
        *copies -= 1;
        if *copies == 0 {
            self.running = None;
        }
    }
}
