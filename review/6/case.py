"""A machine with an old view forgets flows by a shorter idle time than the one in force, and resets them when it is well again."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-2"))

from world import CONTACT_S, Client, Host, World, ip_number, run  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["ub-bayangol", "ub-khanuul", "ub-sukhbaatar"]
# Machines and hosts as on the sheet of the Consortium: 5 edge and 10 side machines in 3 zones.
ENTRIES = [0, 0, 1, 1, 2]
LEDGER_HOSTS = [0, 0, 0, 1, 1, 2, 2]
STATEMENT_HOSTS = [0, 1, 2]
ROUTE = (ip_number("127.198.0.1"), 443)
FLOWS = 120
FORMER_IDLE_MS = 6000
IDLE_MS = 15_000
REFUSAL_S = 8.9
REFUSED_MACHINES = 5  # 0.35 of 15


def configuration(version, idle_ms):
    return {"Version": version,
            "Routes": [{"Name": "feed", "Host": "127.198.0.1", "Prefix": "/443/", "Service": "ledger",
                        "Type": "idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 200, "Priority": 2}],
            "Services": [{"Name": "ledger", "HealthCheckPath": "/health", "MaxConnections": 2000},
                         {"Name": "statements", "HealthCheckPath": "/health", "MaxConnections": 2000}],
            "Limits": {"IdleTimeoutMs": idle_ms}}


def machines_to_refuse(world, agents):
    """The processes that watch the store for the others, and machines beside hosts of the service."""
    result = sorted(world.store.watching(3.0))[:REFUSED_MACHINES]
    result += [name for name, _, _, service in agents if service == "ledger" and name not in result]
    return result[:REFUSED_MACHINES]


async def main():
    world = World(FOLDER, seed=None)
    bad = []

    def on_open_flow_reset(flow, holder):
        if not world.is_excused(flow):
            bad.append(flow)
            world.violation(f"FLOW the system reset a flow that was idle for {flow.idle_s:.1f} s and is open at "
                            f"{holder.name}, which lives")

    world.on_open_flow_reset = on_open_flow_reset
    entries, agents = [], []
    for i, zone in enumerate(ENTRIES):
        entries.append((f"edge-{i + 1}", ZONES[zone], 10 + i, None))
    for i, zone in enumerate(LEDGER_HOSTS):
        agents.append((f"side-ledger-{i + 1}", ZONES[zone], 50 + i, "ledger"))
    for i, zone in enumerate(STATEMENT_HOSTS):
        agents.append((f"side-statements-{i + 1}", ZONES[zone], 70 + i, "statements"))
    world.store.put("op/config", configuration(3, FORMER_IDLE_MS))
    for name, zone, last, service in agents:
        world.hosts[name] = Host(world, name, service, zone, world.ip(last))
        await world.hosts[name].start()
    seeds = [f"{world.ip(10 + i)}:{world.admin_port}" for i in (0, 2, 4)]
    for name, zone, last, service in entries + agents:
        # Each machine reaches the store at an address of its own, so that it can be refused alone.
        await world.start_store_for(name, last)
        role = "relay_entry" if service is None else "relay_agent"
        world.write_settings(name, role, zone, last, seeds, True, service)
        world.start_process(name)
        if service is None:
            world.router.add(world.ip(last), zone)
    clients = [Client(world, world.ip(150 + i), zone) for i, zone in enumerate(ZONES)]
    for it in clients:
        await it.start()
    await asyncio.sleep(max(0.0, 10.0 - world.now()))
    refused = machines_to_refuse(world, agents)
    if TROUBLE:
        world.store.silent.update(refused)
        world.note("the store answers these machines no more", names=",".join(refused))
    refused_at = world.now()
    await asyncio.sleep(0.1)
    world.store.put("op/config", configuration(8, IDLE_MS))
    world.note("configuration acknowledged", version=8, idle_ms=IDLE_MS)
    await asyncio.sleep(0.1)

    flows = [clients[i % 3].new_flow(ROUTE) for i in range(FLOWS)]

    async def use(i, flow, name):
        return bool(flow.phase == "open" and await flow.ask(f"feed-{i}-{name}", 3.0))

    async def open_and_use(i, flow):
        return await flow.open() and await use(i, flow, "first")

    tasks = []
    for i, flow in enumerate(flows):
        tasks.append(asyncio.create_task(open_and_use(i, flow)))
        await asyncio.sleep(0.005)
    first = sum(await asyncio.gather(*tasks))
    await asyncio.sleep(max(0.0, refused_at + REFUSAL_S - world.now()))
    world.store.silent.clear()
    world.in_touch_from = world.now() + CONTACT_S
    world.note("all machines reach the store")
    await asyncio.sleep(CONTACT_S + 0.5)
    held = sum(1 for it in flows if any(host.has_open(it.id) for host in world.hosts.values()))
    world.note("second requests begin", open_flows=held)
    second = sum(await asyncio.gather(*(use(i, flow, "second") for i, flow in enumerate(flows))))
    print(f"first requests served {first}, open flows {held}, second requests served {second}, "
          f"open flows reset {len(bad)}")
    world.note("end", first=first, open=held, second=second, open_flows_reset=len(bad))
    if held < FLOWS / 2:
        return 2
    return 1 if bad else 0


run(main)
