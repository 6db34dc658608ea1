/// Path on which hosts read a piece, before `MODEL/VERSION/INDEX`.
pub const PIECE_PATH: &str = "/piece/";

/// Path on which other entries read a piece from its primary holder, which reads it
/// from the origin if it is not cached.
pub const PRIMARY_PIECE_PATH: &str = "/home-piece/";

/// Path on which other entries read a piece only if it is cached.
pub(super) const HELD_PIECE_PATH: &str = "/held-piece/";

/// Path on which other entries ask whether a piece is cached.
pub(super) const HELD_STATUS_PATH: &str = "/held-status/";

/// Path on which hosts read a manifest, before `MODEL/VERSION`.
pub const MANIFEST_PATH: &str = "/manifest/";

/// Path on which other entries read a manifest from its primary holder.
pub(super) const PRIMARY_MANIFEST_PATH: &str = "/home-manifest/";
