"""Guards against two holders of the duties where nobody checks fencing tokens.

There a late call of an earlier holder takes effect: it repeats a usage report with
other counts, or returns workers that the new holder has ordered.
"""

import pytest
from duty_network import DutyNetwork

# Numbers of hosts and seeds.
DEPLOYMENTS = [(7, 1), (7, 2), (7, 3), (86, 1)]
# Hosts that compete for the duties although another one holds them: hosts that do not
# hear each other may all be candidates. Without any, the hosts elect the candidates.
RIVALS = [(), ("h0-0", "h0-1", "h1-2")]
# Latencies of the store within which two hosts may ask at the same time. Calls to it
# time out after a second and more.
SLOW_STORE_S = (0.05, 0.4)
LATENCIES_S = [(0.001, 0.02), SLOW_STORE_S]
# A lost holder is replaced within this time.
REPLACEMENT_MS = 15_000

pytestmark = [
    pytest.mark.parametrize(("host_count", "seed"), DEPLOYMENTS),
    pytest.mark.parametrize("rivals", RIVALS, ids=["elected", "rivals"]),
    pytest.mark.parametrize("latency_s", LATENCIES_S, ids=["fast", "slow"]),
]


@pytest.fixture
async def network(monkeypatch, host_count, seed, latency_s, rivals):
    network = DutyNetwork(monkeypatch, host_count, seed, latency_s, rivals)
    network.start_all()
    await network.run(14_000)
    assert network.calls
    yield network
    assert network.list_violations() == []
    await network.close()


async def test_a_fault_free_deployment_has_one_holder(network):
    await network.run(15_000)
    assert len({call.host for call in network.calls}) <= 2


@pytest.mark.parametrize(
    ("store", "cloud"),
    [(True, True), (True, False), (False, False)],
    ids=["store and cloud", "store", "hosts only"],
)
async def test_a_holder_that_is_cut_off_does_not_act_beside_the_next_one(
    network, store, cloud
):
    for _ in range(3):
        holder = network.find_holder()
        network.cut_off([holder], store=store, cloud=cloud)
        await network.run(network.rng.randrange(500, 9_000))
        network.heal()
        await network.run(network.rng.randrange(1_000, 8_000))


async def test_the_parts_of_a_partition_do_not_both_act(network):
    # One part reaches the cloud but not the store.
    names = sorted(network.network.hosts)
    network.cut_off(names[: len(names) // 2], store=True, cloud=False)
    await network.run(12_000)
    network.heal()
    await network.run(8_000)


async def test_a_frozen_holder_does_not_act_when_it_wakes(network):
    for _ in range(3):
        holder = network.find_holder()
        network.freeze(holder)
        await network.run(network.rng.randrange(300, 8_000))
        network.thaw(holder)
        await network.run(network.rng.randrange(1_000, 8_000))


@pytest.mark.parametrize("is_planned", [True, False])
async def test_a_holder_that_restarts_does_not_act_beside_the_next_one(
    network, is_planned
):
    for _ in range(3):
        holder = network.find_holder()
        await network.restart(holder, is_planned, network.rng.randrange(200, 3_000))
        await network.run(network.rng.randrange(1_000, 8_000))


async def test_a_lost_holder_is_replaced(network):
    holder = network.find_holder()
    network.freeze(holder)
    since_ms = network.now_ms
    await network.run(REPLACEMENT_MS)
    assert any(call.host != holder and call.at_ms > since_ms for call in network.calls)
