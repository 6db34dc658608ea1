use crate::weights::Digest;

/// Lets one suspect at a time run on an endpoint.
#[derive(Debug, Default)]
pub struct SuspectSlot {
    holder: Option<(Digest, u32)>,
}

impl SuspectSlot {
    /// Takes the slot for a suspect; copies of one request share it.
    pub fn try_acquire(&mut self, fingerprint: Digest) -> bool {
        match &mut self.holder {
            None => {
                self.holder = Some((fingerprint, 1));
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
    pub fn release(&mut self, fingerprint: Digest) {
        let Some((held, copies)) = &mut self.holder else {
            return;
        };
        if *held != fingerprint {
            return;
        }
        *copies -= 1;
        if *copies == 0 {
            self.holder = None;
        }
    }
}
