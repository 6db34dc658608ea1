use crate::http1::Http1Error;
use crate::http1::ReceiveRoom;

/// Decides whether a body that is being read may grow.
pub trait BodyLimit {
    /// Admits a body of which `bytes` have arrived.
    ///
    /// # Errors
    ///
    /// [`Http1Error::BodyTooLarge`] or [`Http1Error::NoMemory`].
    fn admit(&mut self, bytes: usize) -> Result<(), Http1Error>;

    /// Length for which room was taken before the body arrives.
    fn announced_bytes(&self) -> usize {
        0
    }

    /// Takes room for a larger receive buffer while the body arrives.
    fn take_receive_room(&self) -> Option<ReceiveRoom> {
        None
    }
}

impl BodyLimit for usize {
    fn admit(&mut self, bytes: usize) -> Result<(), Http1Error> {
        if bytes > *self {
            return Err(Http1Error::BodyTooLarge);
        }
        Ok(())
    }
}

impl<L: BodyLimit> BodyLimit for &mut L {
    fn admit(&mut self, bytes: usize) -> Result<(), Http1Error> {
        (**self).admit(bytes)
    }

    fn announced_bytes(&self) -> usize {
        (**self).announced_bytes()
    }

    fn take_receive_room(&self) -> Option<ReceiveRoom> {
        (**self).take_receive_room()
    }
}
