"""Readers of the store that hang after an outage, and send new flows to a draining host. See claim.txt."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import world as w

SILENT_S = 4.5      # platform_down of the site file
DRAIN_S = 3.0       # DrainTimeoutMs
CONTACT_S = 4.0     # ContactMs
LINGER_S = 8.0      # how long the draining host serves after its report


async def post(world, client, route, number):
    """One request on a flow of its own, as the clients of non-idempotent routes send it."""
    for attempt in range(3):
        flow = client.open(route)
        if await flow.connect():
            await flow.request(f"{client.ip}-{number}-{attempt}", 4.0, 600)
            flow.close()
            await asyncio.sleep(0.2)
            flow.abandon()
            return
        flow.abandon()


async def load(world, client, route, per_s, until):
    number, tasks = 0, []
    while time.monotonic() < until:
        number += 1
        tasks.append(asyncio.ensure_future(post(world, client, route, number)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)


async def sleeper(world, client, route, number, wake_at):
    """A client with one flow for many requests, whose pause becomes longer than IdleTimeoutMs."""
    flow = client.open(route)
    if not await flow.connect():
        return
    await flow.request(f"feed-{number}-a")
    await asyncio.sleep(max(wake_at - time.monotonic(), 0))
    if flow.state == "open":
        await flow.request(f"feed-{number}-b", 3.0)
    flow.close()


async def scenario(world):
    zones = ["zone-a", "zone-b", "zone-c"]
    entries = [world.add_entry(zone) for zone in zones[:2]]
    hosts = [world.add_host("posts", zone) for zone in zones]
    clients = [world.add_client(zone) for zone in ("zone-a", "zone-b", "zone-b")]
    await world.start(lambda: [world.route("r-post", 8080, "posts"), world.route("r-feed", 8443, "posts", "idempotent", 3000)])
    post_route, feed_route = (world.ip(4, 1), 8080), (world.ip(4, 1), 8443)

    begin = time.monotonic()
    outage_at = begin + 18.5
    drain_at = outage_at + SILENT_S + CONTACT_S + 2.0
    end = drain_at + LINGER_S
    tasks = [asyncio.ensure_future(sleeper(world, clients[0], feed_route, n, outage_at + 2.1 + 0.01 * n))
             for n in range(45)]
    tasks.append(asyncio.ensure_future(load(world, clients[0], post_route, 5, end)))
    tasks.append(asyncio.ensure_future(load(world, clients[1], post_route, 45, end)))
    tasks.append(asyncio.ensure_future(load(world, clients[2], post_route, 45, end)))

    await asyncio.sleep(outage_at - time.monotonic())
    if world.trouble:
        world.store.set_mode("silent")
    await asyncio.sleep(outage_at + SILENT_S - time.monotonic())
    if world.trouble:
        world.store.set_mode("normal")
    await asyncio.sleep(CONTACT_S)
    reads = {it.name: await world.metric(it, "daisydoor_platform_reads_total") for it in world.processes}

    # A release of one host: the new one starts first, the old one drains.
    await asyncio.sleep(drain_at - 2.0 - time.monotonic())
    new = world.add_host("posts", "zone-a")
    await new.start()
    new.agent.start(False)
    await asyncio.sleep(1.0)
    new.register()
    await asyncio.sleep(drain_at - time.monotonic())
    leaving = hosts[0]
    leaving.state = "draining"
    acknowledged_at = leaving.register()
    await asyncio.sleep(end - time.monotonic())
    for it in [p for p in world.processes if p.name in reads]:
        after = await world.metric(it, "daisydoor_platform_reads_total")
        world.record(f"{it.name} has made {after - reads[it.name]:.0f} calls to the store since 4 s after its return")
    await asyncio.gather(*tasks)

    # For the record only: a route that is added now.
    world.publish(world.routes + [world.route("r-new", 9000, "posts")])
    await asyncio.sleep(4)
    opened = 0
    for _ in range(10):
        flow = clients[1].open((world.ip(4, 1), 9000))
        opened += await flow.connect()
    world.record(f"{opened} of 10 flows of a route that was added 4 s before could be opened")

    broken = []
    sent = {(f.client.number, f.port): f.syn_at for c in clients for f in c.flows.values()}
    late = [(at, key) for at, key in leaving.opened if at > acknowledged_at + DRAIN_S + 0.2]
    # An opening packet has copies for up to 0.6 s: only flows whose first copy was sent after the bound count.
    late = [(at, key) for at, key in late if at - 0.65 > acknowledged_at + DRAIN_S]
    for at, key in late:
        broken.append(f"DRAIN: flow {w.ip_text(key[0])}:{key[1]} was opened at {leaving.name} "
                      f"{(at - acknowledged_at) * 1000:.0f} ms after the store had acknowledged that it is draining")
    return broken


w.play(scenario, FOLDER)
