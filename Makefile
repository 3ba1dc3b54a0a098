.PHONY: build test lint run bench

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --all -- --check
	cargo clippy --locked --workspace --all-targets -- -D warnings

# The example's configuration; start the toy server first (see README).
run: build
	RELAY_CONFIG=examples/config.json target/release/asterreel

# Both deployments on the operators' benches, against the scores recorded last: make bench WHY="what changed"
bench:
	deploy/regression "$(WHY)"
