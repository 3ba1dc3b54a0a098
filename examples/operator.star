# An operator's file: all that is not here is off. `asterreel check --operator examples/operator.star` checks it.

health(
    # HAProxy: agent-check agent-addr 127.0.0.1 agent-port 6460 agent-inter 250ms
    agent = agent(listen = "127.0.0.1:6460", maxconn = True),
    # Probes of orchestrators, Envoy's HTTP health check, `asterreel health`
    http = listener(listen = "127.0.0.1:6461"),
    # pg_isready -h 127.0.0.1 -p 6462, HAProxy's pgsql-check
    postgres = listener(listen = "127.0.0.1:6462"),
    # Who may ask. This machine only is the default.
    allow = ["127.0.0.0/8", "::1/128"],
    # How balancers check: from this follows how long a drain is announced.
    balancer = balancer(interval_ms = 250, fall = 2, timeout_ms = 250),
    knobs = knobs(floor = 10, start_wait_ms = 3000),
)

# Cells: `asterreel cells publish examples/placement.json /tmp/placement`, then
#
# cells(
#     placement = "/tmp/placement",
#     who = ["user", {"network": [["10.1.0.0/16", "alpine-club"]]}],
#     bounds = {"alpine": bounds(requests = 100)},
#     quarantine = quarantine(members = 2),
# )

# A fleet that agrees: this gateway is one of its control members, and serves clients as well. A gateway that is only served
# says lease(me = 17, client = True, peers = [...]) with the same peers:
#
# lease(
#     me = 1,
#     peers = [peer(id = 1, address = "127.0.0.1:7101"), peer(id = 2, address = "127.0.0.1:7102"),
#              peer(id = 3, address = "127.0.0.1:7103")],
#     listen = "127.0.0.1:7101",
#     store = "lease-log",
#     duties = ["discovery", "probes"],
# )
