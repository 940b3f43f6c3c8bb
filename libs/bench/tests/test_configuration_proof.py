"""Guards against a configuration proof that overlooks a violation."""

import asyncio
import contextlib

import pytest

from waxwingbarrow.bench import _configuration_proof
from waxwingbarrow.bench._configuration_proof import ConfigurationProof


@pytest.mark.parametrize(
    ("revisions", "expected"),
    [
        ([None, 0, 1, 2, 2], []),
        ([2, 1], ["h: 2 reverted to 1"]),
        ([2, 0, 2], ["h: 2 reverted to 0"]),
        ([1, None, 1], ["h: no longer ready"]),
    ],
)
def test_sampler_reports_reverted_documents_and_hosts_no_longer_ready(
    revisions, expected, tmp_path, monkeypatch
):
    monkeypatch.setattr(_configuration_proof, "SAMPLE_INTERVAL_S", 0)
    remaining = list(revisions)

    async def read_revision(self, host):
        if not remaining:
            raise EOFError
        return remaining.pop(0)

    monkeypatch.setattr(ConfigurationProof, "read_revision", read_revision)

    async def sample():
        proof = ConfigurationProof(tmp_path)
        proof.deployment.daemons["h"] = None
        with contextlib.suppress(EOFError):
            await proof.sample()
        return proof.violations

    assert asyncio.run(sample()) == expected


def test_document_that_is_not_in_force_in_time_is_a_violation(tmp_path, monkeypatch):
    monkeypatch.setattr(_configuration_proof, "IN_FORCE_LIMIT_S", 0.05)

    async def read_revision(self, host):
        return {"fast": 2, "slow": 1}[host]

    monkeypatch.setattr(ConfigurationProof, "read_revision", read_revision)

    async def expect():
        proof = ConfigurationProof(tmp_path)
        proof.revision = 2
        await proof.expect_in_force("calm", ["fast", "slow"])
        return proof.violations

    assert asyncio.run(expect()) == ["calm: not in force on slow"]
