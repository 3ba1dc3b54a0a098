//! The experiment on cells: which other tenants are affected by a tenant whose queries crash databases.

use crate::health::{plan, recorded, Setting, TIMEOUT};
use anyhow::ensure;
use asterreel_testbench::balancer::{Balancer, Check, CheckSettings};
use asterreel_testbench::fleet::{self, Fleet};
use asterreel_testbench::gateway::Gateway;
use asterreel_testbench::load::{self, goodput, Record};
use asterreel_testbench::{chart, now};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

const TENANTS: usize = 24;
const CELLS: usize = 6;
/// The tenant whose reads crash the database that executes them, in runs with poison.
const POISONED_TENANT: usize = 0;
/// Time from the crash of a database to its restart.
const RESTART_DELAY: Duration = Duration::from_secs(3);
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between the gateway's full weight and the first request.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// A variant of the run; all variants use the same request schedule.
struct Arm {
    name: &'static str,
    poison: Option<usize>,
    /// More arguments of `health(...)`, and further calls, in the operator's file.
    operator: String,
}

/// The result of a run.
struct Measured {
    name: &'static str,
    deaths: usize,
    /// By tenant, the share of the worth of its requests that was earned.
    goodput: Vec<f64>,
}

/// Runs 24 tenants on six groups with the same request schedule: without poison, and with one poisoned tenant, without
/// cells and with them. Writes the table and the chart.
pub(crate) fn blast_radius(setting: &Setting) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let placement = publish_placement(setting, folder.path())?;
    let all = arms(&placement)
        .into_iter()
        .map(|arm| run(setting, &arm))
        .collect::<anyhow::Result<Vec<Measured>>>()?;
    write_table(&setting.out.join("cells-blast.csv"), &all)?;
    all.iter().for_each(print_worst);
    draw(&setting.out.join("cells-blast.svg"), &all)
}

fn arms(placement: &Path) -> [Arm; 3] {
    let cells = format!(
        "notify = False)\ncells(placement = '{}', who = ['user']",
        placement.display()
    );
    [
        Arm {
            name: "calm",
            poison: None,
            operator: String::new(),
        },
        Arm {
            name: "without cells",
            poison: Some(POISONED_TENANT),
            operator: String::new(),
        },
        Arm {
            name: "with cells",
            poison: Some(POISONED_TENANT),
            operator: cells,
        },
    ]
}

/// Publishes a placement that assigns tenants to cells in turn, and returns its path.
fn publish_placement(setting: &Setting, folder: &Path) -> anyhow::Result<PathBuf> {
    let source = folder.join("source.json");
    let placement = folder.join("placement");
    let cells: Vec<String> = (0..CELLS)
        .map(|cell| format!("{{\"name\":\"cell-{cell}\",\"groups\":[{cell}]}}"))
        .collect();
    let home = |tenant| {
        let cell = tenant % CELLS;
        format!("[\"tenant-{tenant}\",{{\"cell\":{cell},\"epoch\":1}}]")
    };
    let homes: Vec<String> = (0..TENANTS).map(home).collect();
    let text = format!(
        "{{\"epoch\":1,\"cells\":[{}],\"spread\":1,\"order\":\"bytes\",\"ranges\":[],\"homes\":[{}]}}",
        cells.join(","),
        homes.join(",")
    );
    std::fs::write(&source, text)?;
    let published = Command::new(&setting.program)
        .args(["cells", "publish"])
        .arg(&source)
        .arg(&placement)
        .status()?;
    ensure!(
        published.success(),
        "`asterreel cells publish` failed: {published}; its output above says why"
    );
    Ok(placement)
}

/// Runs one arm with its own databases and gateway.
fn run(setting: &Setting, arm: &Arm) -> anyhow::Result<Measured> {
    let shape = fleet::Shape {
        groups: CELLS,
        members: 3,
        ..fleet::Shape::default()
    };
    let fleet = Fleet::start(shape)?;
    let plan = plan(setting, &fleet, 0, true, &arm.operator)?;
    let _gateway = Gateway::start(&plan)?;
    let check = Check::Http(plan.http, "/livez".into());
    let balancer = Balancer::start(vec![check], CheckSettings::default());
    let ready = recorded(&balancer, 0, 0, |change| change.weight == 100);
    ensure!(
        ready.is_some(),
        "the gateway did not reach weight 100 within {TIMEOUT:?}"
    );
    thread::sleep(SETTLE_TIME);
    let restarter = Restarter::start(&fleet);
    let started_at = now();
    let records = load::run(load_shape(setting, arm), &balancer, &[plan.client]);
    restarter.stop()?;
    let took = now() - started_at;
    ensure!(
        took < TIMEOUT.as_micros() as u64 * 10,
        "the load took {took} us, more than ten times {TIMEOUT:?}"
    );
    balancer.stop();
    let deaths = fleet.revive(RESTART_DELAY);
    let all = goodput(records.iter());
    println!("{}: {deaths} deaths, {all:.4} in all", arm.name);
    Ok(Measured {
        name: arm.name,
        deaths,
        goodput: (0..TENANTS)
            .map(|tenant| tenant_goodput(&records, tenant))
            .collect(),
    })
}

fn load_shape(setting: &Setting, arm: &Arm) -> load::Shape {
    load::Shape {
        rate: 300.0,
        writes: 0.15,
        span: Duration::from_secs(20),
        clients: 8 * TENANTS,
        seed: setting.seed,
        tenants: TENANTS,
        clusters: CELLS as u64,
        poison: arm.poison,
    }
}

fn tenant_goodput(records: &[Record], tenant: usize) -> f64 {
    goodput(records.iter().filter(|record| record.tenant == tenant))
}

/// A thread that restarts crashed databases.
struct Restarter {
    stopping: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Restarter {
    fn start(fleet: &Arc<Fleet>) -> Restarter {
        let stopping = Arc::new(AtomicBool::new(false));
        let (fleet, stop) = (fleet.clone(), stopping.clone());
        let thread = thread::spawn(move || {
            while !stop.load(Ordering::Acquire) {
                fleet.revive(RESTART_DELAY);
                thread::sleep(RESTART_CHECK_INTERVAL);
            }
        });
        Restarter { stopping, thread }
    }

    fn stop(self) -> anyhow::Result<()> {
        self.stopping.store(true, Ordering::Release);
        ensure!(
            self.thread.join().is_ok(),
            "the thread that restarts databases panicked"
        );
        Ok(())
    }
}

fn write_table(path: &Path, all: &[Measured]) -> anyhow::Result<()> {
    let mut table = csv::Writer::from_path(path)?;
    let columns = all
        .iter()
        .map(|one| format!("{} ({} deaths)", one.name, one.deaths));
    let fixed = ["tenant".to_owned(), "cell".to_owned()];
    table.write_record(fixed.into_iter().chain(columns))?;
    for tenant in 0..TENANTS {
        let values = all.iter().map(|one| format!("{:.4}", one.goodput[tenant]));
        let fixed = [tenant.to_string(), (tenant % CELLS).to_string()];
        table.write_record(fixed.into_iter().chain(values))?;
    }
    table.flush()?;
    Ok(())
}

/// Prints the lowest goodput of a tenant outside the poisoned tenant's cell, and of the other tenants in its cell.
fn print_worst(measured: &Measured) {
    let worst = |is_counted: &dyn Fn(usize) -> bool| {
        let counted = measured.goodput.iter().enumerate();
        let counted = counted.filter(|(tenant, _)| is_counted(*tenant));
        counted.map(|(_, goodput)| *goodput).fold(1.0, f64::min)
    };
    let same_cell = |tenant: usize| tenant % CELLS == POISONED_TENANT % CELLS;
    let elsewhere = worst(&|tenant| !same_cell(tenant));
    let beside = worst(&|tenant| same_cell(tenant) && tenant != POISONED_TENANT);
    println!(
        "{}: worst of other cells {elsewhere:.4}, worst in the poisoned one's cell {beside:.4}",
        measured.name
    );
}

fn draw(path: &Path, all: &[Measured]) -> anyhow::Result<()> {
    let line = |one: &Measured| {
        let points = one.goodput.iter().enumerate();
        let points = points.map(|(tenant, goodput)| (tenant as f64, *goodput));
        (one.name.to_owned(), points.collect())
    };
    let lines: Vec<chart::Line> = all.iter().map(line).collect();
    let title = "Worth served by tenant, tenant 0 poisoned; tenants 0, 6, 12 and 18 share a cell";
    chart::lines(path, title, ("tenant", "share of worth served"), &lines)
}
