//! `asterreel cells`: placements are checked, published and asked for a tenant.

use super::say;
use asterreel::cells::placement::{Placement, Published};
use asterreel::cells::{record, Epoch};
use clap::Subcommand;
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(crate) enum CellsCommand {
    /// Check a placement written as JSON, and say how it spreads tenants
    Plan {
        /// The placement: epoch, cells, spread, order, ranges, homes
        source: PathBuf,
    },
    /// Check it and write it as gateways read it: the old file or the new one, never half
    Publish {
        /// The placement as JSON
        source: PathBuf,
        /// The file that gateways look at; one of a newer epoch there is not replaced
        target: PathBuf,
    },
    /// Say where a tenant lives by a published placement
    Where {
        /// The published file
        placement: PathBuf,
        /// The tenant's name
        tenant: String,
    },
}

/// Carries out a command on placements.
pub(crate) fn run(command: &CellsCommand) -> Result<(), Box<dyn Error>> {
    match command {
        CellsCommand::Plan { source } => plan(source),
        CellsCommand::Publish { source, target } => publish(source, target),
        CellsCommand::Where { placement, tenant } => {
            let bytes = std::fs::read(placement).map_err(|error| at(placement, &error))?;
            let placed =
                record::decode(&bytes, Epoch::default()).map_err(|error| at(placement, &error))?;
            let place = placed.place(tenant, b"");
            let home = place.home;
            let name = placed
                .cells()
                .get(usize::from(home.cell.0))
                .map_or("?", |cell| &cell.name);
            let groups: Vec<String> = place.groups().iter().map(u64::to_string).collect();
            let stage = match (home.held, home.settling) {
                (true, _) => ", writes held",
                (_, true) => ", settling",
                _ => "",
            };
            say(&format!(
                "{tenant}: cell {name}, groups {}, epoch {}{stage}",
                groups.join(" "),
                home.epoch.0
            ));
            Ok(())
        }
    }
}

fn at(path: &Path, error: &dyn std::fmt::Display) -> String {
    format!("{}: {error}", path.display())
}

fn source(path: &Path) -> Result<(Published, Placement), Box<dyn Error>> {
    let text = std::fs::read(path).map_err(|error| at(path, &error))?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    let published: Published = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| at(path, &format!("{}: {}", error.path(), error.inner())))?;
    let placement = Placement::new(published.clone()).map_err(|error| at(path, &error))?;
    Ok((published, placement))
}

/// Tenants that are made up to show how a placement spreads them.
const SAMPLE: usize = 1_000;

fn plan(path: &Path) -> Result<(), Box<dyn Error>> {
    let (published, placement) = source(path)?;
    let names: Vec<String> = (0..SAMPLE)
        .map(|tenant| format!("tenant-{tenant}"))
        .collect();
    let mut counts = vec![0usize; placement.cells().len()];
    for name in &names {
        counts[usize::from(placement.place(name, b"").home.cell.0)] += 1;
    }
    say(&format!(
        "epoch {}: {} tenants placed by name",
        published.epoch.0,
        published.homes.len()
    ));
    for (cell, count) in placement.cells().iter().zip(counts) {
        let share = count as f64 * 100.0 / SAMPLE as f64;
        say(&format!(
            "cell {}: groups {:?}, {share:.1}% of tenants that are not",
            cell.name, cell.groups
        ));
    }
    let overlap = placement.overlap(names.iter().map(String::as_str));
    let full_overlap = overlap.full as f64 * 100.0 / overlap.pairs.max(1) as f64;
    say(&format!(
        "two tenants share {} groups at most; {full_overlap:.1}% of pairs share all of theirs",
        overlap.max_shared
    ));
    Ok(())
}

fn publish(path: &Path, target: &Path) -> Result<(), Box<dyn Error>> {
    let (published, _) = source(path)?;
    match std::fs::read(target) {
        Ok(bytes) => match record::decode(&bytes, Epoch::default()) {
            Ok(there) if there.epoch >= published.epoch => {
                let (new, old) = (published.epoch.0, there.epoch.0);
                return Err(at(
                    target,
                    &format!("epoch {new} does not follow {old}, which is there"),
                )
                .into());
            }
            // What can't be read is no placement in force anywhere.
            Ok(_) | Err(_) => {}
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(at(target, &error).into()),
    }
    let folder = target
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let name = target
        .file_name()
        .ok_or_else(|| at(target, &"is no file"))?;
    let next = folder.join(format!(
        ".{}.{}",
        name.to_string_lossy(),
        std::process::id()
    ));
    let written = write_and_sync(&next, &record::encode(&published)?)
        .and_then(|()| std::fs::rename(&next, target));
    if let Err(error) = written {
        let _ = std::fs::remove_file(&next);
        return Err(at(target, &error).into());
    }
    // The name itself must be on the disk, too.
    std::fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|error| at(folder, &error))?;
    say(&format!(
        "{}: epoch {}",
        target.display(),
        published.epoch.0
    ));
    Ok(())
}

fn write_and_sync(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut file = std::fs::File::create(path)?;
    file.write_all(bytes)?;
    file.sync_all()
}
