//! Experiments on cells: how far a poisoned tenant reaches.

use crate::health::{plan, recorded, Setting, PATIENCE};
use anyhow::ensure;
use asterreel_rig::balancer::{Balancer, Check, Pace};
use asterreel_rig::fleet::{self, Fleet};
use asterreel_rig::gateway::Gateway;
use asterreel_rig::load::{self, goodput};
use asterreel_rig::{chart, now};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const TENANTS: usize = 24;
const CELLS: usize = 6;
/// A database that died is started again after this long.
const DOWN: Duration = Duration::from_secs(3);

/// Twenty-four tenants over six groups, one of them poisoned, with cells and without, on the same schedule.
#[expect(
    clippy::too_many_lines,
    reason = "to be split: one experiment from its processes to its chart"
)]
pub(crate) fn blast(setting: &Setting) -> anyhow::Result<()> {
    let folder = tempfile::tempdir()?;
    let (source, placement) = (
        folder.path().join("source.json"),
        folder.path().join("placement"),
    );
    // Tenants are dealt out, four to a cell.
    let cells: Vec<String> = (0..CELLS)
        .map(|cell| format!("{{\"name\":\"cell-{cell}\",\"groups\":[{cell}]}}"))
        .collect();
    let home = |tenant| {
        format!(
            "[\"tenant-{tenant}\",{{\"cell\":{},\"epoch\":1}}]",
            tenant % CELLS
        )
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
    ensure!(published.success(), "the placement was not published");
    let on = format!(
        "notify = False)\ncells(placement = '{}', who = ['user']",
        placement.display()
    );
    let mut arms = Vec::new();
    for (arm, poison, extra) in [
        ("calm", None, ""),
        ("without cells", Some(0), ""),
        ("with cells", Some(0), on.as_str()),
    ] {
        let shape = fleet::Shape {
            groups: CELLS,
            members: 3,
            ..fleet::Shape::default()
        };
        let fleet = Fleet::start(shape)?;
        let plan = plan(setting, &fleet, 0, true, extra)?;
        let _gateway = Gateway::start(&plan)?;
        let balancer = Balancer::start(
            vec![Check::Http(plan.http, "/livez".into())],
            Pace::default(),
        );
        ensure!(
            recorded(&balancer, 0, 0, |change| change.weight == 100).is_some(),
            "it never came up"
        );
        thread::sleep(Duration::from_secs(1));
        let ending = Arc::new(AtomicBool::new(false));
        let (reviving, over) = (fleet.clone(), ending.clone());
        let reviver = thread::spawn(move || {
            while !over.load(Ordering::Acquire) {
                reviving.revive(DOWN);
                thread::sleep(Duration::from_millis(50));
            }
        });
        let begun = now();
        let load = load::Shape {
            rate: 300.0,
            writes: 0.15,
            span: Duration::from_secs(20),
            clients: 8 * TENANTS,
            seed: setting.seed,
            tenants: TENANTS,
            clusters: CELLS as u64,
            poison,
        };
        let records = load::play(load, &balancer, &[plan.client]);
        ending.store(true, Ordering::Release);
        ensure!(
            reviver.join().is_ok() && now() - begun < PATIENCE.as_micros() as u64 * 10,
            "it hung"
        );
        balancer.stop();
        let by_tenant: Vec<f64> = (0..TENANTS)
            .map(|tenant| goodput(records.iter().filter(|record| record.tenant == tenant)))
            .collect();
        println!(
            "{arm}: {} deaths, {:.4} in all",
            fleet.revive(DOWN),
            goodput(records.iter())
        );
        arms.push((arm, fleet.revive(DOWN), by_tenant));
    }
    let mut table = csv::Writer::from_path(setting.out.join("cells-blast.csv"))?;
    let arms_named = |arm: &(&str, usize, Vec<f64>)| format!("{} ({} deaths)", arm.0, arm.1);
    table.write_record(
        ["tenant".to_owned(), "cell".to_owned()]
            .into_iter()
            .chain(arms.iter().map(arms_named)),
    )?;
    for tenant in 0..TENANTS {
        let goods = arms.iter().map(|arm| format!("{:.4}", arm.2[tenant]));
        table.write_record(
            [tenant.to_string(), (tenant % CELLS).to_string()]
                .into_iter()
                .chain(goods),
        )?;
    }
    table.flush()?;
    for (arm, _, goods) in &arms {
        let elsewhere = goods
            .iter()
            .enumerate()
            .filter(|(tenant, _)| tenant % CELLS != 0)
            .map(|(_, good)| *good);
        let beside = goods
            .iter()
            .enumerate()
            .filter(|(tenant, _)| tenant % CELLS == 0 && *tenant != 0);
        let worst = elsewhere.fold(1.0, f64::min);
        let worst_beside = beside.map(|(_, good)| *good).fold(1.0, f64::min);
        println!(
            "{arm}: worst of other cells {worst:.4}, worst in the poisoned one's cell {worst_beside:.4}"
        );
    }
    let line = |arm: &(&str, usize, Vec<f64>)| {
        let points = arm
            .2
            .iter()
            .enumerate()
            .map(|(tenant, good)| (tenant as f64, *good))
            .collect();
        (arm.0.to_owned(), points)
    };
    let lines: Vec<chart::Line> = arms.iter().map(line).collect();
    let title = "Worth served by tenant, tenant 0 poisoned; tenants 0, 6, 12 and 18 share a cell";
    chart::lines(
        &setting.out.join("cells-blast.svg"),
        title,
        ("tenant", "share of worth served"),
        &lines,
    )
}
