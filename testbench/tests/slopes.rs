//! Slopes of a role's figures over the size of the fleet, from the tables of all sizes.

use asterreel_testbench::scale::slopes;
use asterreel_testbench::scale::table::{self, Change, Load, START};
use std::collections::BTreeMap;
use std::path::Path;

const SIZES: [u32; 5] = [25, 50, 100, 200, 410];
const AT_REST: &str = "at rest";

fn load(gateways: u32, memory_kib: f64) -> Load {
    let (event, role, of) = (AT_REST.to_owned(), "leader".to_owned(), "median".to_owned());
    let messages_in_s = Some(f64::from(gateways).powi(2));
    Load {
        gateways,
        event,
        role,
        of,
        memory_kib,
        messages_in_s,
        descriptors: 8.0,
        ..Load::default()
    }
}

/// The row of a fleet's start, at which `reached` gateways acted on a first version.
fn started(gateways: u32, reached: usize) -> Change {
    let (event, awaited) = (START.to_owned(), gateways as usize);
    Change {
        gateways,
        event,
        awaited,
        reached,
        ..Change::default()
    }
}

/// The slopes of these tables: by figure, its shape, the increase per gateway, and the value at 0 gateways.
fn slopes_of(loads: &[Load], changes: &[Change]) -> BTreeMap<String, (String, f64, f64)> {
    let folder = tempfile::tempdir().expect("a folder");
    let file = |name: &str| folder.path().join(name);
    table::write(&file("loads.csv"), &SIZES, loads).expect("written");
    table::write(&file("changes.csv"), &SIZES, changes).expect("written");
    slopes::write(
        &file("loads.csv"),
        &file("changes.csv"),
        &file("slopes.csv"),
        AT_REST,
    )
    .expect("fitted");
    read(&file("slopes.csv"))
}

fn read(path: &Path) -> BTreeMap<String, (String, f64, f64)> {
    let mut table = csv::Reader::from_path(path).expect("a table");
    let rows = table
        .deserialize::<BTreeMap<String, String>>()
        .map(|row| row.expect("a row"));
    let number = |text: &str| text.parse::<f64>().expect("a number");
    let of = |row: BTreeMap<String, String>| {
        let found = (
            row["shape"].clone(),
            number(&row["per_gateway"]),
            number(&row["at_zero"]),
        );
        (row["figure"].clone(), found)
    };
    rows.map(of).collect()
}

#[test]
fn shapes_are_distinguished_and_missing_figures_have_no_slope() {
    let loads = SIZES.map(|gateways| load(gateways, 12_000.0 + 5.25 * f64::from(gateways)));
    let changes = SIZES.map(|gateways| started(gateways, gateways as usize));
    let found = slopes_of(&loads, &changes);
    assert_eq!(found["memory_kib"], ("linear".to_owned(), 5.25, 12_000.0));
    assert_eq!(found["descriptors"], ("linear".to_owned(), 0.0, 8.0));
    assert_eq!(found["messages_in_s"].0, "quadratic");
    assert!(!found.contains_key("member_messages_in_s"), "{found:?}");
}

#[test]
fn fleet_that_did_not_agree_is_left_out() {
    let mut loads = SIZES.map(|gateways| load(gateways, 5.0 * f64::from(gateways)));
    let mut changes = SIZES.map(|gateways| started(gateways, gateways as usize));
    loads[4].memory_kib = 1e9;
    changes[4].reached = 300;
    let found = slopes_of(&loads, &changes);
    assert_eq!(found["memory_kib"], ("linear".to_owned(), 5.0, 0.0));
}

/// Tables of older builds lack the columns on traffic between control members. Writing the rows of another size must
/// not fail on such rows or lose them.
#[test]
fn table_without_member_columns_is_read_and_kept() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("loads.csv");
    let header =
        "gateways,event,seconds,role,of,cpu_percent,messages_in_s,messages_out_s,bytes_in_s,bytes_out_s,\
                  memory_kib,descriptors,connections,disk_bytes_s";
    let row = "25,at rest,10.0,leader,median,2.4,21.3,21.4,744.2,705.0,12080.0,60.0,49.0,55660.2";
    std::fs::write(&path, format!("{header}\n{row}\n")).expect("written");
    table::write(&path, &[50], &[load(50, 1.0)]).expect("written");
    let mut table = csv::Reader::from_path(&path).expect("a table");
    let rows: Vec<Load> = table.deserialize().collect::<Result<_, _>>().expect("read");
    assert_eq!(
        rows.iter().map(|row| row.gateways).collect::<Vec<_>>(),
        [25, 50]
    );
    assert_eq!(
        (rows[0].messages_in_s, rows[0].member_messages_in_s),
        (Some(21.3), None)
    );
}
