//! Macro for tables of named test cases.
//!
//! Each line of a table has the name of a case and the call that checks it. Every case
//! becomes a test of its own, so a failure shows its name. The checks return
//! `googletest::Result<()>`.

/// Declares one test per line: `name => check(arguments)`.
///
/// `cases!` declares plain tests, `cases! { async ... }` tokio tests on the current
/// thread, and `cases! { paused ... }` such tokio tests with paused time.
#[macro_export]
macro_rules! cases {
    (async $($name:ident => $check:expr),+ $(,)?) => {
        $(
            #[tokio::test]
            async fn $name() -> googletest::Result<()> {
                $check.await
            }
        )+
    };
    (paused $($name:ident => $check:expr),+ $(,)?) => {
        $(
            #[tokio::test(start_paused = true)]
            async fn $name() -> googletest::Result<()> {
                $check.await
            }
        )+
    };
    ($($name:ident => $check:expr),+ $(,)?) => {
        $(
            #[test]
            fn $name() -> googletest::Result<()> {
                $check
            }
        )+
    };
}
