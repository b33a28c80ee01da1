//! What instances share through the log: the catalogue, leases and once-only work.
