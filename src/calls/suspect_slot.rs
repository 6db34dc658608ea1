use crate::weights::Digest;

/// Lets one crash suspect at a time run on an endpoint.
#[derive(Debug, Default)]
pub struct SuspectSlot {
    // Fingerprint of the request that holds the slot, and the number of its running copies.
    holder: Option<(Digest, u32)>,
}

impl SuspectSlot {
    /// Takes the slot for a suspect, or returns false if another request holds it.
    ///
    /// Copies of one request share the slot.
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

    /// Releases the slot for one copy of a request.
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
