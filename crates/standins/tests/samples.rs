//! Checks that the sample settings parse and agree with the stand-ins' deployments.

use catalogue::CatalogueEntry;
use googletest::prelude::*;
use persimmonlift::settings::InstanceSettings;
use standins::deployment::DeploymentKind;
use standins::fleet::FleetSettings;
use std::path::PathBuf;
use testcases::cases;

fn sample(deployment: &str, file: &str) -> Result<String> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../settings");
    std::fs::read_to_string(path.join(deployment).join(file)).or_fail()
}

fn check_fleet(kind: DeploymentKind, name: &str) -> Result<()> {
    let settings: FleetSettings = toml::from_str(&sample(name, "standins.toml")?).or_fail()?;
    verify_that!(settings.deployment, eq(kind))?;
    let zones = kind.plan().zones;
    verify_that!(settings.instances.iter().all(|it| zones.contains(&it.zone)), eq(true))
}

fn check_instance(kind: DeploymentKind, name: &str, file: &str) -> Result<()> {
    let settings = match InstanceSettings::parse(&sample(name, file)?) {
        Ok(settings) => settings,
        Err(faults) => return fail!("{faults:?}"),
    };
    let fleet: FleetSettings = toml::from_str(&sample(name, "standins.toml")?).or_fail()?;
    let listed = fleet.instances.iter().find(|it| it.id == settings.instance.id);
    verify_that!(listed.map(|it| it.peer), some(eq(settings.listen.peer)))?;
    verify_that!(fleet.listen.log, eq(settings.platform.log))?;
    verify_that!(settings.instance.deployment, eq(&kind.plan().name))
}

fn check_catalogue(kind: DeploymentKind, name: &str) -> Result<()> {
    let key = sample(name, "caller.key")?;
    for entry in kind.entries(key.trim()) {
        let file = format!("catalogue/{}.toml", entry.name);
        let sample: CatalogueEntry = toml::from_str(&sample(name, &file)?).or_fail()?;
        verify_that!(sample, eq(&entry))?;
    }
    Ok(())
}

cases! {
    trust_fleet => check_fleet(DeploymentKind::Trust, "trust"),
    dongelek_fleet => check_fleet(DeploymentKind::Dongelek, "dongelek"),
    trust_instance_1 => check_instance(DeploymentKind::Trust, "trust", "node-1.toml"),
    trust_instance_2 => check_instance(DeploymentKind::Trust, "trust", "node-2.toml"),
    dongelek_instance_1 => check_instance(DeploymentKind::Dongelek, "dongelek", "node-1.toml"),
    dongelek_instance_2 => check_instance(DeploymentKind::Dongelek, "dongelek", "node-2.toml"),
    trust_catalogue => check_catalogue(DeploymentKind::Trust, "trust"),
    dongelek_catalogue => check_catalogue(DeploymentKind::Dongelek, "dongelek"),
}
