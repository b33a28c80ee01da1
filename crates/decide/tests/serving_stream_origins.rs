//! Origins of streams, and what the listed versions tell of unknown ones.

use catalogue::EngineRole;
use decide::serving::endpoint_list::ListedEndpoint;
use decide::serving::stream_origins::{
    ListedVersions, StreamOrigin, StreamOrigins, VersionView, stream_key,
};
use googletest::prelude::*;
use std::time::{Duration, Instant};
use testcases::cases;

cases! {
    origin_is_known_by_the_id => known(),
    // Guards against a stream that goes on at the version of another one with the same id.
    streams_with_one_id_and_two_origins_are_unknown => ambiguous(),
    oldest_streams_are_dropped => dropped(),
    only_listed_version_is_that_of_all_streams => only(),
    // Guards against a conclusion from a list that this instance has not known for long enough.
    versions_from_before_the_start_are_unknown => from_before_the_start(),
    // Guards against a stream that goes on at the only version in one instance's list, which is out of date.
    views_agree_on_a_version_that_none_contradicts => agreement(),
    origin_fits_its_pool_and_version => fitting(),
}

fn engine(id: &str, version: &str) -> ListedEndpoint {
    ListedEndpoint {
        id: id.into(),
        pool: "engines".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "a".into(),
        version: version.into(),
        slots: 1,
        is_ready: true,
        role: Some(EngineRole::Mixed),
        started_at_ms: 1,
        sequence: 0,
        is_preemptible: false,
        leaves_in: None,
    }
}

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin::of(&engine("e", version))
}

fn known() -> Result<()> {
    let mut origins = StreamOrigins::default();
    verify_that!(origins.record(stream_key("one"), &origin("v1")), eq(true))?;
    verify_that!(origins.record(stream_key("one"), &origin("v1")), eq(false))?;
    origins.record(stream_key("two"), &origin("v2"));
    verify_that!(origins.get(stream_key("one")), some(eq(&origin("v1"))))?;
    verify_that!(origins.get(stream_key("two")), some(eq(&origin("v2"))))?;
    verify_that!(origins.get(stream_key("three")), none())
}

fn ambiguous() -> Result<()> {
    let mut origins = StreamOrigins::default();
    origins.record(stream_key("one"), &origin("v1"));
    verify_that!(origins.record(stream_key("one"), &origin("v2")), eq(true))?;
    verify_that!(origins.record(stream_key("one"), &origin("v1")), eq(false))?;
    verify_that!(origins.get(stream_key("one")), none())?;
    verify_that!(origins.is_ambiguous(stream_key("one")), eq(true))
}

fn dropped() -> Result<()> {
    let mut origins = StreamOrigins::default();
    for stream in 0..100_000 {
        origins.record(stream, &origin("v1"));
    }
    verify_that!(origins.get(0), none())?;
    verify_that!(origins.get(99_999), some(eq(&origin("v1"))))
}

fn only_version(version: &str) -> VersionView {
    VersionView::Only(version.into())
}

fn only() -> Result<()> {
    let mut versions = ListedVersions::default();
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let (old, new) = (engine("e1", "v1"), engine("e2", "v2"));
    let pool = "engines".into();
    verify_that!(versions.view(&pool, Some(start), true), eq(&VersionView::Unsure))?;
    versions.record([&old].into_iter(), at(1));
    verify_that!(versions.view(&pool, Some(at(1)), false), eq(&only_version("v1")))?;
    versions.record([&old, &new].into_iter(), at(20));
    verify_that!(versions.view(&pool, Some(at(10)), false), eq(&VersionView::Several))?;
    versions.record([&new].into_iter(), at(25));
    verify_that!(versions.view(&pool, Some(at(19)), false), eq(&VersionView::Several))?;
    verify_that!(versions.view(&pool, Some(at(21)), false), eq(&only_version("v2")))?;
    verify_that!(versions.view(&"others".into(), Some(at(21)), false), eq(&VersionView::Unsure))
}

fn from_before_the_start() -> Result<()> {
    let mut versions = ListedVersions::default();
    let start = Instant::now() + Duration::from_secs(60);
    versions.record([&engine("e1", "v1")].into_iter(), start);
    let before = Some(start - Duration::from_secs(1));
    let pool = "engines".into();
    verify_that!(versions.view(&pool, before, false), eq(&VersionView::Unsure))?;
    verify_that!(versions.view(&pool, None, false), eq(&VersionView::Unsure))?;
    verify_that!(versions.view(&pool, before, true), eq(&only_version("v1")))
}

fn agreement() -> Result<()> {
    let agree = |views: &[VersionView]| VersionView::agree(views.iter().cloned());
    let (v1, v2) = (only_version("v1"), only_version("v2"));
    verify_that!(agree(&[VersionView::Unsure, v1.clone(), v1.clone()]), some(eq("v1")))?;
    verify_that!(agree(&[v1.clone(), v2]), none())?;
    verify_that!(agree(&[v1, VersionView::Several]), none())?;
    verify_that!(agree(&[VersionView::Unsure]), none())?;
    verify_that!(agree(&[]), none())
}

fn fitting() -> Result<()> {
    let other_pool = ListedEndpoint { pool: "others".into(), ..engine("e", "v1") };
    verify_that!(origin("v1").fits(&engine("f", "v1")), eq(true))?;
    verify_that!(origin("v1").fits(&engine("f", "v2")), eq(false))?;
    verify_that!(origin("v1").fits(&other_pool), eq(false))
}
