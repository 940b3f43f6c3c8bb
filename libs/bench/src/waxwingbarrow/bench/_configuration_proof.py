"""Proof that published documents come into force on all daemons and never revert.

Each publication must be in force within `IN_FORCE_LIMIT_S`, while a sampler polls the
revision of every daemon. The naive design puts every publication of the log in force in
log order; replayed records and concurrent operators must make it fail.
"""

import asyncio
import json
import tempfile
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

from result import Err

from waxwingbarrow.bench._deployment import (
    OPERATOR_KEY,
    DaemonPlan,
    Deployment,
)
from waxwingbarrow.bench._documents import BOOKING_SERVICE, make_booking_document
from waxwingbarrow.bench._results import PromiseResult
from waxwingbarrow.platform import HttpSession

IN_FORCE_LIMIT_S = 9.0
SAMPLE_INTERVAL_S = 0.1
RETENTION_S = 12
PEERED_HOSTS = ("host-a1", "host-a2", "host-b1", "host-b2")
# Has no peers and is the peer of none: it gets documents only through the platform.
PEERLESS_HOST = "host-c1"
LATE_HOST = "host-c2"  # started last, also without peers
SETTINGS = {
    "log_append_timeout_ms": 1_500,
    "log_poll_ms": 500,
    "checkpoint_interval_ms": 200,
    "log_retention_s": RETENTION_S,
    "key_max_age_s": 2,
    "host_list_interval_ms": 200,
    "readiness_grace_ms": 0,
}


class ConfigurationProof:
    """Deployment, operators, sampler and counts of one proof run."""

    def __init__(self, directory: Path) -> None:
        self.deployment = Deployment(directory, dict(SETTINGS))
        self.session = HttpSession(keep_alive=False)
        self.cases = 0
        self.violations: list[str] = []
        self.naive_violations = 0
        self.events: Counter[str] = Counter()
        self.serial = 0
        self.revision = 0
        self.accepted_revisions: set[int] = set()
        self.highest_revision: dict[str, int] = {}
        self.stopped_hosts: set[str] = set()
        # Hosts that have been ready since they were last started.
        self.once_ready_hosts: set[str] = set()

    # Starting processes, setting faults and sending requests.

    async def start_daemon(self, name: str) -> None:
        """Start a daemon with the started `PEERED_HOSTS` as peers, if it has peers."""
        known = self.deployment.daemons
        self.deployment.overrides["peers"] = (
            []
            if name in (PEERLESS_HOST, LATE_HOST)
            else [
                f"127.0.0.1:{known[peer].peer_port}"
                for peer in PEERED_HOSTS
                if peer in known and peer != name
            ]
        )
        data_centre = f"dc-{name[5]}"
        await self.deployment.start_daemon(DaemonPlan(name, data_centre))
        self.stopped_hosts.discard(name)
        self.once_ready_hosts.discard(name)

    async def set_platform_faults(self, **faults: Any) -> None:
        """Replace the faults of the platform stand-in."""
        url = f"{self.deployment.platform_url}/standin/faults"
        await self.deployment.post(url, faults)

    async def request(
        self, method: str, host: str, path: str, body: bytes = b""
    ) -> tuple[int, dict[str, Any]]:
        """Send an operator's request; the status is 0 if there is no response."""
        sent = await self.session.request(
            method,
            f"{self.deployment.daemons[host].url}{path}",
            body=body,
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout_ms=4_000,
        )
        if isinstance(sent, Err):
            return 0, {}
        return sent.ok_value.status, sent.ok_value.read_json_object() or {}

    async def read_log(self) -> list[dict[str, Any]]:
        """Return the retained entries of the stream ``control``."""
        url = f"{self.deployment.platform_url}/v1/streams/control/records"
        first = 0
        while True:
            sent = await self.session.request(
                "GET", f"{url}?from={first}&limit=10000", timeout_ms=3_000
            )
            data = sent.unwrap().read_json_object() or {}
            if "records" in data:
                records: list[dict[str, Any]] = data["records"]
                return records
            first = int(data["first_offset"])

    # Sampling the revisions of all hosts.

    async def read_revision(self, host: str) -> int | None:
        """Return the revision in force, 0 for none; None if the host is not ready."""
        status, data = await self.request("GET", host, "/v1/operator/status")
        if status != 200 or data["lifecycle"] != "ready":
            return None
        for item in data["services"]:
            if item["service"] == BOOKING_SERVICE:
                return int(item["revision"])
        return 0

    async def sample(self) -> None:
        """Poll all hosts and record violations until cancelled.

        A host must not return to a lower revision, even after a restart, and a ready
        host must stay ready until it is killed.
        """
        while True:
            for host in tuple(self.deployment.daemons):
                if host in self.stopped_hosts:
                    continue
                revision = await self.read_revision(host)
                if host in self.stopped_hosts:
                    continue  # killed while the request was in flight
                if revision is None:
                    self.events["samples of starting hosts"] += 1
                    if host in self.once_ready_hosts:
                        self.violations.append(f"{host}: no longer ready")
                    continue
                self.once_ready_hosts.add(host)
                self.events["samples"] += 1
                highest_revision = self.highest_revision.get(host, 0)
                if revision < highest_revision:
                    self.violations.append(
                        f"{host}: {highest_revision} reverted to {revision}"
                    )
                self.highest_revision[host] = max(highest_revision, revision)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    # Publishing documents.

    def make_document(self) -> str:
        """Return a document that differs from all earlier ones."""
        self.serial += 1
        document = json.loads(make_booking_document())
        document["accounts"][0]["requests_per_s"] = 1_000 + self.serial
        return json.dumps(document)

    async def put_document(
        self, host: str, base: int, author: str = "operator"
    ) -> tuple[int, dict[str, Any]]:
        """Publish a new document on revision `base`; record its revision on success."""
        path = f"/v1/operator/documents/{BOOKING_SERVICE}"
        query = f"?base_revision={base}&author={author}"
        status, data = await self.request(
            "PUT", host, path + query, self.make_document().encode()
        )
        if status == 200:
            self.revision = int(data["revision"])
            self.accepted_revisions.add(self.revision)
        return status, data

    async def publish(self, name: str, host: str, hosts: Sequence[str]) -> None:
        """Publish a document and check that it is in force on `hosts` in time."""
        started = time.monotonic()
        status, data = await self.put_document(host, self.revision)
        if status != 200:
            self.cases += 1
            self.violations.append(f"{name}: the publication got {status} {data}")
            return
        await self.expect_in_force(name, hosts, started)

    async def expect_in_force(
        self, name: str, hosts: Sequence[str], started: float | None = None
    ) -> None:
        """Check that the last accepted revision is in force on `hosts` in time.

        Parameters
        ----------
        started : float or None
            Time of the publication in seconds of the monotonic clock; None for now.
        """
        self.cases += 1
        started = time.monotonic() if started is None else started
        waiting_hosts = set(hosts)
        while waiting_hosts and time.monotonic() - started < IN_FORCE_LIMIT_S:
            for host in tuple(waiting_hosts):
                if await self.read_revision(host) == self.revision:
                    waiting_hosts.discard(host)
            await asyncio.sleep(0.02)
        elapsed_ms = int((time.monotonic() - started) * 1000)
        self.events[f"{name}: ms"] = max(self.events[f"{name}: ms"], elapsed_ms)
        for host in waiting_hosts:
            self.violations.append(f"{name}: not in force on {host}")

    # Scenarios.

    async def run_restart(self) -> None:
        """Publish while a daemon is down; it must get the document when it restarts."""
        self.stopped_hosts.add("host-a2")
        self.deployment.daemons["host-a2"].process.kill()
        others = [host for host in (*PEERED_HOSTS, PEERLESS_HOST) if host != "host-a2"]
        await self.publish("daemon killed", "host-a1", others)
        await self.start_daemon("host-a2")
        await self.expect_in_force("daemon restarted", ["host-a2"])

    async def run_lost_answers(self) -> None:
        """Publish while the log loses responses, hangs or stores an append twice."""
        everyone = (*PEERED_HOSTS, PEERLESS_HOST)
        for name, faults in {
            "append answer lost": {"lose_answers": 1},
            "append answer hanging": {"lose_answers": 1, "lose_by_hanging": True},
            "append stored twice": {"append_twice": 1},
        }.items():
            await self.set_platform_faults(**faults)
            await self.publish(name, "host-b1", everyone)
        await self.set_platform_faults()

    async def run_race(self) -> None:
        """Let two operators publish on the same base; one must receive a conflict."""
        for first, second in (("host-a1", "host-b1"), ("host-b2", "host-a2")):
            base = self.revision
            answers = await asyncio.gather(
                self.put_document(first, base, "ann"),
                self.put_document(second, base, "bob"),
            )
            self.cases += 1
            statuses = sorted(status for status, _ in answers)
            if statuses != [200, 409]:
                self.violations.append(f"race: statuses {statuses}")
                continue
            conflict = next(data for status, data in answers if status == 409)
            winner = "ann" if answers[0][0] == 200 else "bob"
            if (conflict["winner_offset"], conflict["winner_author"]) != (
                self.revision,
                winner,
            ) or not conflict["type"].endswith("publication-conflict"):
                self.violations.append(f"race: the conflict says {conflict}")
            await self.expect_in_force("race", (*PEERED_HOSTS, PEERLESS_HOST))

    async def run_replay(self) -> None:
        """Append all earlier publications again, with their own and with new ids."""
        url = f"{self.deployment.platform_url}/v1/streams/control/records"
        old_records = [
            entry["record"]
            for entry in await self.read_log()
            if entry["record"]["kind"] == "publish"
        ]
        records_with_new_ids = [
            {**record, "record_id": f"replayed-{serial}"}
            for serial, record in enumerate(old_records)
        ]
        await self.set_platform_faults(replay_entries=100)
        await self.deployment.post(url, {"records": old_records + records_with_new_ids})
        await asyncio.sleep(0.5)
        await self.expect_in_force(
            "old records replayed", (*PEERED_HOSTS, PEERLESS_HOST)
        )
        await self.set_platform_faults()
        await self.publish(
            "after the replay", "host-a1", (*PEERED_HOSTS, PEERLESS_HOST)
        )

    async def count_naive(self) -> None:
        """Count logged publications that only the naive design puts in force."""
        for entry in await self.read_log():
            is_publication = entry["record"]["kind"] == "publish"
            if is_publication and entry["offset"] not in self.accepted_revisions:
                self.naive_violations += 1

    async def run_cut_data_centre(self) -> None:
        """Cut a data centre off from the platform; it must get documents from peers."""
        await self.set_platform_faults(cut_callers=["host-b1", "host-b2"])
        await asyncio.sleep(0.6)  # longer than `log_poll_ms`, so that open polls end
        await self.publish("data centre cut off", "host-a1", PEERED_HOSTS)
        status, _ = await self.put_document("host-b1", self.revision)
        self.cases += 1
        if status == 200:
            self.violations.append("a host without the log accepted a publication")
        await self.set_platform_faults()
        await self.publish("data centre back", "host-b2", PEERED_HOSTS)

    async def run_partition(self) -> None:
        """Cut the host without peers off from the platform, three times.

        During the second and third cut, the log drops the publication that the host
        missed; during the third also the checkpoint that covers it.
        """
        await self.set_platform_faults(cut_callers=[PEERLESS_HOST])
        await asyncio.sleep(0.6)
        before = self.revision
        await self.publish("partition", "host-a1", PEERED_HOSTS)
        self.cases += 1
        if await self.read_revision(PEERLESS_HOST) != before:
            self.violations.append("partition: the last document is not in force")
        await self.set_platform_faults()
        await self.expect_in_force("partition healed", [PEERLESS_HOST])
        await self.set_platform_faults(cut_callers=[PEERLESS_HOST])
        await asyncio.sleep(0.6)
        await self.publish("long partition", "host-b1", PEERED_HOSTS)
        await self.trim_log(keeps_checkpoint=True)
        await self.set_platform_faults()
        await self.expect_in_force("long partition healed", [PEERLESS_HOST])
        await self.set_platform_faults(cut_callers=[PEERLESS_HOST])
        await asyncio.sleep(0.6)
        await self.publish("longer partition", "host-a2", PEERED_HOSTS)
        await self.trim_log(keeps_checkpoint=False)
        await self.set_platform_faults()
        await self.expect_in_force("expired checkpoint replaced", [PEERLESS_HOST])

    async def trim_log(self, keeps_checkpoint: bool) -> None:
        """Wait for a checkpoint of the last revision and trim the log up to it.

        If the log loses that checkpoint too, the host that is cut off waits for the
        next one, and its last document has to stay in force until then.
        """
        deadline = time.monotonic() + RETENTION_S
        while time.monotonic() < deadline:
            last = (await self.read_log())[-1]
            covered_offset = last["record"]["body"].get("upto_offset", 0)
            if covered_offset >= self.revision:
                first = covered_offset + 1 if keeps_checkpoint else last["offset"] + 1
                await self.set_platform_faults(
                    cut_callers=[PEERLESS_HOST], trim_to={"control": first}
                )
                self.events["log trimmed"] += 1
                return
            await asyncio.sleep(0.2)
        self.violations.append("no checkpoint was written in time")

    async def run_late_start(self) -> None:
        """Start a host without peers after the log has dropped its first records."""
        entries = await self.read_log()
        if entries[0]["offset"] == 0:
            self.violations.append("late start: nothing has expired")
        await self.start_daemon(LATE_HOST)
        await self.expect_in_force("late start", [LATE_HOST])
        path = f"/v1/operator/documents/{BOOKING_SERVICE}"
        documents = [
            await self.request("GET", host, path) for host in ("host-a1", LATE_HOST)
        ]
        self.cases += 1
        if documents[0] != documents[1]:
            self.violations.append("late start: the documents differ")
        await self.publish(
            "after the late start", LATE_HOST, (*PEERED_HOSTS, PEERLESS_HOST, LATE_HOST)
        )


async def run_in(directory: Path) -> ConfigurationProof:
    """Run all scenarios; settings and output of the processes go to `directory`."""
    proof = ConfigurationProof(directory)
    sampler: asyncio.Task[None] | None = None
    everyone = (*PEERED_HOSTS, PEERLESS_HOST)
    try:
        await proof.deployment.start_platform("--max_age_s", str(RETENTION_S))
        for name in everyone:
            await proof.start_daemon(name)
        await proof.deployment.wait_ready()
        sampler = asyncio.create_task(proof.sample())
        for host in everyone:
            await proof.publish("calm", host, everyone)
        await proof.run_restart()
        await proof.run_lost_answers()
        await proof.run_race()
        await proof.run_replay()
        await proof.count_naive()
        await proof.run_cut_data_centre()
        await proof.run_partition()
        await proof.run_late_start()
        return proof
    finally:
        if sampler is not None:
            sampler.cancel()
            await asyncio.gather(sampler, return_exceptions=True)
        proof.deployment.stop()


def run_configuration_proof() -> PromiseResult:
    """Count publications that were late, lost or reverted.

    Returns
    -------
    PromiseResult
        Cases are publications and checks. The events contain, per scenario, the
        longest time in ms until the document was in force.
    """
    with tempfile.TemporaryDirectory(prefix="waxwingbarrow-") as directory:
        proof = asyncio.run(run_in(Path(directory)))
    found: Mapping[str, int] = Counter(f"violation: {v}" for v in proof.violations)
    return PromiseResult(
        cases=proof.cases,
        violations=len(proof.violations),
        naive_violations=proof.naive_violations,
        events={**proof.events, **found},
    )
