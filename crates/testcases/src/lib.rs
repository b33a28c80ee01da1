//! A macro that names each test case.
//!
//! A table of cases reads as a list of names with the call that checks each of
//! them. Every name becomes a test of its own, so a failure names its case. The
//! checks return `googletest::Result<()>`.

/// Declares one test a line: `name => check(arguments)`.
///
/// `cases!` makes plain tests. `cases! { async ... }` makes tokio tests on the
/// current thread, and `cases! { paused ... }` the same with paused time.
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
