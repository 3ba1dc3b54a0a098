//! `asterreel cells`: checks and publishes placements, and looks up tenants in them.

use super::print_line;
use asterreel::cells::placement::{Placement, Published};
use asterreel::cells::{record, Epoch};
use clap::Subcommand;
use std::error::Error;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub(crate) enum CellsCommand {
    /// Check a placement written as JSON, and show how it distributes tenants
    Plan {
        /// The placement: epoch, cells, spread, order, ranges, homes
        source: PathBuf,
    },
    /// Check a placement and write it in the form that gateways read, replacing the file atomically
    Publish {
        /// The placement as JSON
        source: PathBuf,
        /// The file that gateways read; one of the same or a newer epoch is not replaced
        target: PathBuf,
    },
    /// Show the cell and groups of a tenant in a published placement
    Where {
        /// The published file
        placement: PathBuf,
        /// The tenant's name
        tenant: String,
    },
}

/// Runs a subcommand of `asterreel cells`.
pub(crate) fn run(command: &CellsCommand) -> Result<(), Box<dyn Error>> {
    match command {
        CellsCommand::Plan { source } => plan(source),
        CellsCommand::Publish { source, target } => publish(source, target),
        CellsCommand::Where { placement, tenant } => {
            let bytes = std::fs::read(placement).map_err(|error| with_path(placement, &error))?;
            let published = record::decode(&bytes, Epoch::default())
                .map_err(|error| with_path(placement, &error))?;
            let place = published.place(tenant, b"");
            let home = place.home;
            let name = published
                .cells()
                .get(usize::from(home.cell.0))
                .map_or("?", |cell| &cell.name);
            let groups: Vec<String> = place.groups().iter().map(u64::to_string).collect();
            let stage = match (home.held, home.settling) {
                (true, _) => ", writes held",
                (_, true) => ", settling",
                _ => "",
            };
            print_line(&format!(
                "{tenant}: cell {name}, groups {}, epoch {}{stage}",
                groups.join(" "),
                home.epoch.0
            ));
            Ok(())
        }
    }
}

/// The text of an error, with the path that it concerns.
fn with_path(path: &Path, error: &dyn std::fmt::Display) -> String {
    format!("{}: {error}", path.display())
}

/// Reads and checks a placement written as JSON.
fn read_source(path: &Path) -> Result<(Published, Placement), Box<dyn Error>> {
    let text = std::fs::read(path).map_err(|error| with_path(path, &error))?;
    let mut json = serde_json::Deserializer::from_slice(&text);
    let published: Published = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| with_path(path, &format!("{}: {}", error.path(), error.inner())))?;
    let placement = Placement::new(published.clone()).map_err(|error| with_path(path, &error))?;
    Ok((published, placement))
}

/// The number of made-up tenants with which `plan` shows the distribution.
const SAMPLE_TENANTS: usize = 1_000;

fn plan(path: &Path) -> Result<(), Box<dyn Error>> {
    let (published, placement) = read_source(path)?;
    let names: Vec<String> = (0..SAMPLE_TENANTS)
        .map(|tenant| format!("tenant-{tenant}"))
        .collect();
    let mut counts = vec![0usize; placement.cells().len()];
    for name in &names {
        counts[usize::from(placement.place(name, b"").home.cell.0)] += 1;
    }
    print_line(&format!(
        "epoch {}: {} tenants are assigned to a cell by name",
        published.epoch.0,
        published.homes.len()
    ));
    for (cell, count) in placement.cells().iter().zip(counts) {
        let share = count as f64 * 100.0 / SAMPLE_TENANTS as f64;
        print_line(&format!(
            "cell {}: groups {:?}, {share:.1}% of the tenants that are not assigned by name",
            cell.name, cell.groups
        ));
    }
    let overlap = placement.overlap(names.iter().map(String::as_str));
    let full_overlap = overlap.full as f64 * 100.0 / overlap.pairs.max(1) as f64;
    print_line(&format!(
        "two tenants share at most {} groups; {full_overlap:.1}% of the pairs share all of their groups",
        overlap.max_shared
    ));
    Ok(())
}

fn publish(path: &Path, target: &Path) -> Result<(), Box<dyn Error>> {
    let (published, _) = read_source(path)?;
    match std::fs::read(target) {
        Ok(bytes) => match record::decode(&bytes, Epoch::default()) {
            Ok(current) if current.epoch >= published.epoch => {
                let (new, old) = (published.epoch.0, current.epoch.0);
                return Err(with_path(
                    target,
                    &format!(
                        "epoch {new} does not follow {old}, the epoch of the published file; \
                         set a higher epoch"
                    ),
                )
                .into());
            }
            // Gateways reject a file that can't be decoded, so it may be replaced.
            Ok(_) | Err(_) => {}
        },
        Err(error) if error.kind() == io::ErrorKind::NotFound => {}
        Err(error) => return Err(with_path(target, &error).into()),
    }
    let folder = target
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let name = target.file_name().ok_or_else(|| {
        with_path(
            target,
            &"is not a file name; give the path of the file to write",
        )
    })?;
    let temporary = folder.join(format!(
        ".{}.{}",
        name.to_string_lossy(),
        std::process::id()
    ));
    let written = write_and_sync(&temporary, &record::encode(&published)?)
        .and_then(|()| std::fs::rename(&temporary, target));
    if let Err(error) = written {
        let _ = std::fs::remove_file(&temporary);
        return Err(with_path(target, &error).into());
    }
    // Makes the rename durable: it is an entry of the folder.
    std::fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(|error| with_path(folder, &error))?;
    print_line(&format!(
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
