"""Entries of another writer, which name no host to use, close every host on whose machine they are."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from world import ACK, FIN, HEARTBEAT, Client, Host, World, ip_number, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["ub-bayangol", "ub-khanuul", "ub-sukhbaatar"]
# Machines and hosts as on the sheet of the Consortium: 5 edge and 10 side machines in 3 zones.
ENTRIES = [0, 0, 1, 1, 2]
LEDGER_HOSTS = [0, 0, 0, 1, 1, 2, 2]
STATEMENT_HOSTS = [0, 1, 2]
ROUTES = {"ledger": (ip_number("127.198.0.1"), 443), "statements": (ip_number("127.198.0.2"), 443)}
TRAFFIC_S = 10.0
END_S = 25.0
DEADLINE_S = 3.0
RETRIES = 2


def configuration():
    routes = [{"Name": name, "Host": f"127.198.0.{i + 1}", "Prefix": "/443/", "Service": name, "Type": "idempotent",
               "TimeoutMs": 3000, "TargetLatencyMs": 200, "Priority": 2} for i, name in enumerate(ROUTES)]
    return {"Version": 3, "Routes": routes,
            "Services": [{"Name": name, "HealthCheckPath": "/health", "MaxConnections": 2000} for name in ROUTES],
            "Limits": {"IdleTimeoutMs": 15000}}


async def write_foreign_entries(world):
    """Another product runs beside each host and has its own entry, with its own service and port. It is leaving, and
    writes as often as a host."""
    hosts = list(world.hosts.values())
    world.note("entries of another writer", count=len(hosts))
    sequence = 0
    while True:
        sequence += 1
        for i, host in enumerate(hosts):
            world.store.put(f"servers/other-{i}", {
                "Id": f"other-{i}", "Service": "other-product", "Address": f"{host.ip}:{world.app_port + 40}",
                "Zone": host.zone, "Version": "v7", "Concurrency": 5, "State": "draining", "ColdRemainingMs": 0,
                "Sequence": sequence, "born": host.born + 1000})
        await asyncio.sleep(HEARTBEAT)


async def use(world, client, i, counts):
    service = "ledger" if i % 4 else "statements"
    end = world.now() + DEADLINE_S
    for attempt in range(1 + RETRIES):
        flow = client.new_flow(ROUTES[service])
        is_open = await flow.open()
        world.note("opening", request=f"q{i}", attempt=attempt, result=flow.phase)
        if is_open and await flow.ask(f"q{i}-{attempt}", max(0.1, end - world.now())):
            counts["served"] += 1
            flow.send(FIN | ACK, flow.next, flow.received)
            return
        if world.now() > end:
            break
    counts["not_served"] += 1


async def main():
    world = World(FOLDER)
    entries, agents = [], []
    for i, zone in enumerate(ENTRIES):
        entries.append((f"edge-{i + 1}", ZONES[zone], 10 + i, None))
    for i, zone in enumerate(LEDGER_HOSTS):
        agents.append((f"side-ledger-{i + 1}", ZONES[zone], 50 + i, "ledger"))
    for i, zone in enumerate(STATEMENT_HOSTS):
        agents.append((f"side-statements-{i + 1}", ZONES[zone], 70 + i, "statements"))
    world.store.put("op/config", configuration())
    for name, zone, last, service in agents:
        world.hosts[name] = Host(world, name, service, zone, world.ip(last))
        await world.hosts[name].start()
    await asyncio.sleep(0.1)
    if TROUBLE:
        asyncio.create_task(write_foreign_entries(world))
    seeds = [f"{world.ip(10 + i)}:{world.admin_port}" for i in (0, 2, 4)]
    for name, zone, last, service in entries + agents:
        await world.start_store_for(name, last)
        role = "relay_entry" if service is None else "relay_agent"
        world.write_settings(name, role, zone, last, seeds, True, service)
        world.start_process(name)
        if service is None:
            world.router.add(world.ip(last), zone)
    clients = [Client(world, world.ip(150 + i), zone) for i, zone in enumerate(ZONES)]
    for it in clients:
        await it.start()
    await asyncio.sleep(max(0.0, TRAFFIC_S - world.now()))
    counts = {"served": 0, "not_served": 0}
    tasks, i = [], 0
    while world.now() < END_S:
        tasks.append(asyncio.create_task(use(world, clients[i % 3], i, counts)))
        i += 1
        await asyncio.sleep(0.02)
    await asyncio.gather(*tasks)
    dead = [name for name, it in world.processes.items() if it.poll() is not None]
    print(f"requests {i}, served {counts['served']}, not served {counts['not_served']}, processes ended {len(dead)}")
    world.note("end", **counts)
    if dead:
        return 2
    if counts["served"] == 0:
        world.violation("Fault: no request is served")
    return 1 if counts["served"] == 0 else 0


run(main)
