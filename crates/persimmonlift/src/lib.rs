//! An entry instance: it stands between callers and endpoints.
