//! Serves the testbench's stand-in databases and discovery on the addresses of the example configuration, to try the gateway
//! with: start this program, then the gateway with `RELAY_CONFIG=examples/config.json`.

use asterreel_testbench::database::{self, Role};
use std::net::TcpListener;
use std::thread;

const CONFIG: &str = include_str!("config.json");

fn main() -> std::io::Result<()> {
    let from = CONFIG
        .find("{\"revision\"")
        .expect("the example configuration has an endpoint list");
    let to = CONFIG.find("]},").expect("the endpoint list has an end");
    let list = CONFIG[from..to + 2].replace('\n', " ");
    for (address, role) in [
        ("127.0.0.1:5501", Role::Primary),
        ("127.0.0.1:5502", Role::Replica),
    ] {
        let listener = TcpListener::bind(address)?;
        thread::spawn(move || database::serve_without_delay(&listener, role, None, |_| None));
    }
    println!("databases on 127.0.0.1:5501 and :5502, discovery on 127.0.0.1:8500");
    database::discovery(&TcpListener::bind("127.0.0.1:8500")?, &list);
    Ok(())
}
